package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * The program in a process of its own, among stand-ins for pods, discovery, the platform and
 * clients.
 */
abstract class SidecarTestBase {
    /** What serves one connection of a stand-in. */
    interface ConnectionHandler {
        void handle(DataInputStream in, DataOutputStream out) throws Exception;
    }

    /** A stand-in that listens; it keeps what it was told, and its open connections. */
    final class FakeServer implements Closeable {
        volatile ServerSocket serverSocket =
                new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        private final ConnectionHandler serving;
        final List<String> received = new CopyOnWriteArrayList<>();
        final List<Socket> openSockets = new CopyOnWriteArrayList<>();
        volatile int closedCount;

        FakeServer(ConnectionHandler serving) throws IOException {
            this.serving = serving;
            accept(serverSocket);
            closeables.add(this);
        }

        private void accept(ServerSocket from) {
            startDaemonThread(
                    () -> {
                        while (true) {
                            Socket s = from.accept();
                            s.setTcpNoDelay(true);
                            openSockets.add(s);
                            startDaemonThread(
                                    () -> {
                                        try (s) {
                                            serving.handle(
                                                    new DataInputStream(s.getInputStream()),
                                                    new DataOutputStream(s.getOutputStream()));
                                        } finally {
                                            openSockets.remove(s);
                                            closedCount++;
                                        }
                                    });
                        }
                    });
        }

        /** Listens again where it did before it was closed, as a process that starts anew. */
        void listenAgain() throws IOException {
            var again = new ServerSocket();
            again.setReuseAddress(true);
            again.bind(serverSocket.getLocalSocketAddress());
            serverSocket = again;
            accept(again);
        }

        /** Where it listens, or did before it was closed. */
        SocketAddress localSocketAddress() {
            return serverSocket.getLocalSocketAddress();
        }

        String hostPort() {
            return "127.0.0.1:" + serverSocket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            serverSocket.close();
            for (Socket s : openSockets) {
                s.close();
            }
        }
    }

    interface ThrowingRunnable {
        void run() throws Exception;
    }

    static void startDaemonThread(ThrowingRunnable work) {
        Thread t =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The other side has gone: so does this one.
                            }
                        });
        t.setDaemon(true);
        t.start();
    }

    /** How a pod answers a query; false ends the connection. */
    interface PodBehavior {
        boolean respond(String query, DataOutputStream out) throws Exception;
    }

    final List<Closeable> closeables = new ArrayList<>();
    final List<FakeServer> pods = new ArrayList<>();
    final List<String> discoveryLines = new CopyOnWriteArrayList<>();
    // Which those are may change within a test, as it may for the program.
    volatile FakeServer discovery = new FakeServer(this::serveDiscovery);
    volatile FakeServer platform = new FakeServer(this::servePlatform);
    volatile boolean watchesSilent;
    volatile String ballotResponse = "OK 1 2 live 1 5000";
    volatile String progressLine = "* progress 1 2 live 1 5000";

    /**
     * The configuration's word on discovery: subscribe, or automatic where it tells changes
     * unasked.
     */
    String discoveryMode = "subscribe";

    /**
     * Descriptors the process may hold, set as the hard limit of the system; 0 for what the machine
     * gives.
     */
    int descriptorLimit;

    /** What the program is started with besides. */
    final List<String> extraArguments = new ArrayList<>();

    Process process;
    int port;
    @TempDir Path folder;

    SidecarTestBase() throws IOException {}

    @AfterEach
    void stopAll() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        for (Closeable c : closeables) {
            c.close();
        }
    }

    FakeServer startPod(PodBehavior answers) throws IOException {
        FakeServer[] self = new FakeServer[1];
        self[0] =
                new FakeServer(
                        (in, out) -> {
                            in.skipBytes(in.readInt() - 4);
                            out.write(
                                    new byte[] {
                                        'R', 0, 0, 0, 8, 0, 0, 0, 0, 'S', 0, 0, 0, 8, 'a', 0, 'b', 0
                                    });
                            out.write(new byte[] {'Z', 0, 0, 0, 5, 'I'});
                            while (in.read() == 'Q') {
                                byte[] text = in.readNBytes(in.readInt() - 4);
                                String query =
                                        new String(
                                                text, 0, text.length - 1, StandardCharsets.UTF_8);
                                self[0].received.add(query);
                                if (!answers.respond(query, out)) {
                                    return;
                                }
                            }
                        });
        pods.add(self[0]);
        return self[0];
    }

    static byte[] encodeMessage(char type, byte[]... parts) throws IOException {
        var body = new ByteArrayOutputStream();
        for (byte[] p : parts) {
            body.write(p);
        }
        var out = new ByteArrayOutputStream();
        var data = new DataOutputStream(out);
        data.writeByte(type);
        data.writeInt(4 + body.size());
        data.write(body.toByteArray());
        return out.toByteArray();
    }

    static final byte[] ROW_DESCRIPTION_BODY = {
        0, 1, 'p', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 1
    };

    /** Row, CommandComplete, ReadyForQuery. */
    static byte[] rowResponse(byte[] value) throws IOException {
        byte[] head = {
            0, 1, 0, (byte) (value.length >> 16), (byte) (value.length >> 8), (byte) value.length
        };
        var out = new ByteArrayOutputStream();
        out.write(encodeMessage('T', ROW_DESCRIPTION_BODY));
        out.write(encodeMessage('D', head, value));
        out.write(encodeMessage('C', "SELECT 1\0".getBytes(StandardCharsets.US_ASCII)));
        out.write(encodeMessage('Z', new byte[] {'I'}));
        return out.toByteArray();
    }

    static boolean sendRow(DataOutputStream out, String value) throws IOException {
        out.write(rowResponse(value.getBytes(StandardCharsets.UTF_8)));
        return true;
    }

    static boolean sendError(DataOutputStream out, String code) throws IOException {
        out.write(
                encodeMessage(
                        'E',
                        ("SERROR\0C" + code + "\0Mno\0\0").getBytes(StandardCharsets.US_ASCII)));
        out.write(encodeMessage('Z', new byte[] {'I'}));
        return true;
    }

    void serveDiscovery(DataInputStream in, DataOutputStream out) throws Exception {
        discovery.received.add(readLine(in));
        while (!readLine(in).isEmpty()) {}
        out.writeBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        int said = 0;
        while (!watchesSilent) {
            String text = said < discoveryLines.size() ? discoveryLines.get(said++) + "\n" : "\n";
            // In two chunks: a line may be split anywhere.
            int half = text.length() / 2;
            for (String part : List.of(text.substring(0, half), text.substring(half))) {
                out.writeBytes(
                        part.isEmpty()
                                ? ""
                                : Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
            }
            Thread.sleep(50);
        }
        Thread.sleep(30_000);
    }

    void servePlatform(DataInputStream in, DataOutputStream out) throws Exception {
        String says = readLine(in);
        platform.received.add(says);
        out.writeBytes((says.equals("NOTIFY") ? "OK\r\n" + progressLine : ballotResponse) + "\r\n");
        while (says.equals("NOTIFY")) {
            Thread.sleep(100);
            out.writeBytes(watchesSilent ? "" : "*\r\n");
        }
    }

    static String readLine(DataInputStream in) throws IOException {
        var text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            text.append((char) c);
        }
        return text.toString().trim();
    }

    String podJson(int i, int build, String state) {
        return String.format(
                "{\"instanceId\":\"p%d\",\"hostPort\":\"%s\",\"zone\":\"%s\",\"machineType\":\"m\","
                        + "\"cell\":0,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":0,\"build\":%d}",
                i, pods.get(i).hostPort(), i % 2 == 0 ? "a" : "b", state, build);
    }

    String podListJson(long version, boolean whole, String... entries) {
        return "{\"generation\":"
                + version
                + ",\"reset\":"
                + whole
                + ",\"instances\":["
                + String.join(",", entries)
                + "]}";
    }

    static String routeJson(String name, String repeat) {
        return "{\"name\":\""
                + name
                + "\",\"aimNs\":500000000,\"deadlineNs\":1500000000,\"worth\":1.0,\"repeat\":\""
                + repeat
                + "\",\"keyScope\":\"zone\",\"windowNs\":400000000,\"lateWorth\":0.2}";
    }

    static String configJson(
            String listen, String discovery, String platform, String known, int sockets) {
        return "{\"name\":\"n0\",\"listen\":\""
                + listen
                + "\",\"discovery\":\""
                + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":"
                + sockets
                + "},"
                + "\"release_api\":{\"address\":\""
                + platform
                + "\",\"news\":{\"build\":1,\"stage\":2,"
                + "\"phase\":\"live\",\"cap\":1.0,\"age_ms\":9000}},\"known\":"
                + known
                + ",\"settings\":{"
                + "\"rank\":0,\"balancers\":1,\"zone\":\"a\",\"zones\":[\"a\",\"b\"],\"discovery\":\"subscribe\","
                + "\"stepNs\":5000000,\"grades\":["
                + routeJson("get", "safe")
                + ","
                + routeJson("put", "keyed")
                + "],"
                + "\"familyInfo\":{\"control\":\"majority\",\"ayesNeeded\":1,\"votesToRevert\":1,"
                + "\"bakeNs\":200000000,\"voteStandsNs\":4000000000,\"voteWaitNs\":500000000,"
                + "\"steps\":[0.1,0.5,1.0],\"mostShares\":[0.2,0.7,1.0],\"windowNs\":2000000000,\"uncounted\":2},"
                + "\"contract\":{\"answerSlackNs\":20000000,\"stopSendingWithinNs\":250000000,\"coldShare\":0.3,"
                + "\"warmAfterNs\":2000000000,\"fallMultiple\":3,\"fallNs\":1000000000,"
                + "\"askWithinNs\":10000000000},\"policyLimits\":{\"maxAttempts\":4,\"cancel\":true,"
                + "\"retryAfter\":true,\"maxRetryAfterNs\":1000000000,\"connectTimeoutNs\":250000000,"
                + "\"connIdleNs\":1000000000}}}";
    }

    void startSidecar() throws Exception {
        startSidecar(256);
    }

    Path writeConfig(int sockets) throws IOException {
        String[] entries = new String[pods.size()];
        Arrays.setAll(entries, i -> podJson(i, 1, "ready"));
        return Files.writeString(
                folder.resolve("config.json"),
                configJson(
                                "127.0.0.1:" + port,
                                discovery.hostPort(),
                                platform.hostPort(),
                                podListJson(7, true, entries),
                                sockets)
                        .replace(
                                "\"discovery\":\"subscribe\"",
                                "\"discovery\":\"" + discoveryMode + "\""));
    }

    String logText() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            return "";
        }
    }

    void sendHangup() throws Exception {
        assertEquals(
                0, new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start().waitFor());
    }

    void startSidecar(int sockets) throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Path file = writeConfig(sockets);
        // From another class path and with other flags, where these properties are set.
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty(
                                        "sidecar.classpath",
                                        extraArguments.isEmpty()
                                                ? lean()
                                                : System.getProperty("java.class.path"))));
        String flags = System.getProperty("sidecar.flags", "-Xmx40m -XX:MaxDirectMemorySize=40m");
        command.addAll(List.of(flags.split(" ")));
        command.addAll(
                List.of(System.getProperty("sidecar.main", ServeMain.class.getName()), "serve"));
        command.addAll(extraArguments);
        if (descriptorLimit > 0) {
            command.addAll(
                    0,
                    List.of("sh", "-c", "ulimit -n " + descriptorLimit + " && exec \"$@\"", "sh"));
        }
        var b = new ProcessBuilder(command);
        b.environment().put("LB_CONFIG", file.toString());
        process =
                b.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        awaitTrue(
                () -> {
                    try (Client c = new Client()) {
                        c.sendQuery("");
                        return c.readMessage().equals("I");
                    } catch (IOException e) {
                        return false;
                    }
                });
    }

    /**
     * The class path without what is loaded only where switched on: each jar on it would take a
     * descriptor.
     */
    private static String lean() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(
                        e ->
                                !e.endsWith(".jar")
                                        || e.matches(".*/(netty|core|settings|sidecar)-[^/]*"))
                .collect(Collectors.joining(File.pathSeparator));
    }

    static void awaitTrue(BooleanSupplier holds) throws InterruptedException {
        long end = System.nanoTime() + 20_000_000_000L;
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "waited in vain");
            Thread.sleep(10);
        }
    }

    /** Asks again until a row comes. */
    void awaitServed(Client client) throws InterruptedException {
        awaitTrue(
                () -> {
                    try {
                        return client.execute(selectSql("1", 1400)).equals("TDvC");
                    } catch (IOException e) {
                        return false;
                    }
                });
    }

    /** Ends all open connections of a stand-in. */
    static void closeConnections(FakeServer listener) throws IOException {
        for (Socket s : listener.openSockets) {
            s.close();
        }
    }

    /**
     * A client's connection; an answer reads as its type, a row with its value, an error with its
     * code.
     */
    final class Client implements Closeable {
        final Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        final DataInputStream in = new DataInputStream(socket.getInputStream());

        Client() throws IOException {
            this(true);
        }

        Client(boolean greets) throws IOException {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(10_000);
            if (greets) {
                socket.getOutputStream().write(startupMessage());
                while (!readMessage().equals("Z")) {}
            }
        }

        void sendQuery(String text) throws IOException {
            socket.getOutputStream().write(queryMessage(text));
        }

        String readMessage() throws IOException {
            char type = (char) in.readUnsignedByte();
            byte[] body = in.readNBytes(in.readInt() - 4);
            String text = new String(body, StandardCharsets.UTF_8);
            return switch (type) {
                case 'D' -> "D" + text.substring(6);
                case 'E' ->
                        "E"
                                + text.replaceAll("(?s).*\0C(.{5})\0.*", "$1")
                                + (text.contains("\0D") ? " with advice" : "");
                default -> String.valueOf(type);
            };
        }

        /** The whole answer to one command. */
        String readResponse() throws IOException {
            var s = new StringBuilder();
            for (String m = readMessage(); !m.equals("Z"); m = readMessage()) {
                s.append(m);
            }
            return s.toString();
        }

        String execute(String text) throws IOException {
            sendQuery(text);
            return readResponse();
        }

        boolean isClosedByPeer() throws IOException {
            try {
                return in.read() < 0;
            } catch (IOException e) {
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static byte[] startupMessage() throws IOException {
        byte[] words =
                "\0\3\0\0user\0web\0database\0orders\0\0".getBytes(StandardCharsets.US_ASCII);
        var out = new ByteArrayOutputStream();
        new DataOutputStream(out).writeInt(4 + words.length);
        out.write(words);
        return out.toByteArray();
    }

    static byte[] queryMessage(String text) throws IOException {
        return encodeMessage('Q', (text + "\0").getBytes(StandardCharsets.UTF_8));
    }

    int lastReqId;

    String selectSql(String ref, int waitsMs) {
        return String.format(
                "SELECT payload FROM entries WHERE ref = '%s' /* id=%016x,c=get,t=acme,d=%d */",
                ref, ++lastReqId, waitsMs);
    }

    String insertSql(String value, int waitsMs) {
        return String.format(
                "INSERT INTO entries (ref, payload) VALUES ('7f', '%s') RETURNING payload"
                        + " /* id=%016x,c=put,t=acme,d=%d,k=5c0f */",
                value, ++lastReqId, waitsMs);
    }
}
