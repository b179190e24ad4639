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
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the sidecar in a process of its own, with fake pods, a fake discovery service, a fake
 * release platform and test clients.
 */
abstract class SidecarTestBase {
    /** Serves one connection of a fake server. */
    interface ConnectionHandler {
        void handle(DataInputStream in, DataOutputStream out) throws Exception;
    }

    /** A server that records the requests it receives and its open connections. */
    final class FakeServer implements Closeable {
        volatile ServerSocket serverSocket =
                new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        private final ConnectionHandler handler;
        final List<String> received = new CopyOnWriteArrayList<>();
        final List<Socket> openSockets = new CopyOnWriteArrayList<>();
        volatile int closedCount;

        FakeServer(ConnectionHandler handler) throws IOException {
            this.handler = handler;
            accept(serverSocket);
            closeables.add(this);
        }

        private void accept(ServerSocket listener) {
            startDaemonThread(
                    () -> {
                        while (true) {
                            Socket socket = listener.accept();
                            socket.setTcpNoDelay(true);
                            openSockets.add(socket);
                            startDaemonThread(
                                    () -> {
                                        try (socket) {
                                            handler.handle(
                                                    new DataInputStream(socket.getInputStream()),
                                                    new DataOutputStream(socket.getOutputStream()));
                                        } finally {
                                            openSockets.remove(socket);
                                            closedCount++;
                                        }
                                    });
                        }
                    });
        }

        /** Listens again at the same address after it was closed, like a process that restarts. */
        void listenAgain() throws IOException {
            var listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(serverSocket.getLocalSocketAddress());
            serverSocket = listener;
            accept(listener);
        }

        /** Returns the address at which it listens, or listened before it was closed. */
        SocketAddress localSocketAddress() {
            return serverSocket.getLocalSocketAddress();
        }

        String hostPort() {
            return "127.0.0.1:" + serverSocket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            serverSocket.close();
            for (Socket socket : openSockets) {
                socket.close();
            }
        }
    }

    interface ThrowingRunnable {
        void run() throws Exception;
    }

    static void startDaemonThread(ThrowingRunnable work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The peer has closed the connection, so the thread ends.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers a query as a pod; returns false to close the connection. */
    interface PodBehavior {
        boolean respond(String query, DataOutputStream out) throws Exception;
    }

    /** The lowest port at which a sidecar listens, and the port above the highest. */
    private static final int MIN_PORT = 10_000;

    private static final int MAX_PORT = 32_000;

    private static final int MAX_PORT_ATTEMPTS = 100;

    final List<Closeable> closeables = new ArrayList<>();
    final List<FakeServer> pods = new ArrayList<>();
    final List<String> discoveryLines = new CopyOnWriteArrayList<>();
    // Volatile, since a test may replace the server to which the sidecar connects.
    volatile FakeServer discovery = new FakeServer(this::serveDiscovery);
    volatile FakeServer platform = new FakeServer(this::servePlatform);

    /** Whether discovery and the platform send nothing more on open connections. */
    volatile boolean watchesSilent;

    volatile String voteResponse = "OK 1 2 live 1 5000";
    volatile String progressLine = "* progress 1 2 live 1 5000";

    /**
     * The value of {@code discovery} in the settings: {@code subscribe}, or {@code automatic} for a
     * discovery service that sends changes without a subscription.
     */
    String discoveryMode = "subscribe";

    /**
     * The hard limit of file descriptors of the sidecar's process; 0 for the limit of the test's
     * own process.
     */
    int descriptorLimit;

    /** Parts of the configuration's text, and what stands in their place. */
    final Map<String, String> configReplacements = new LinkedHashMap<>();

    /** JVM flags of the sidecar's process that replace the usual ones of the same name. */
    final List<String> extraJvmFlags = new ArrayList<>();

    /**
     * Command-line arguments after {@code serve}; if there are any, the class path includes the
     * jars of optional features.
     */
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

    /**
     * Starts a fake pod that completes the handshake of each connection and records the queries it
     * receives.
     */
    FakeServer startPod(PodBehavior behavior) throws IOException {
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
                                if (!behavior.respond(query, out)) {
                                    return;
                                }
                            }
                        });
        pods.add(self[0]);
        return self[0];
    }

    static byte[] encodeMessage(char type, byte[]... parts) throws IOException {
        var body = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            body.write(part);
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

    /** Returns RowDescription, DataRow, CommandComplete and ReadyForQuery. */
    static byte[] rowResponse(byte[] value) throws IOException {
        byte[] header = {
            0, 1, 0, (byte) (value.length >> 16), (byte) (value.length >> 8), (byte) value.length
        };
        var out = new ByteArrayOutputStream();
        out.write(encodeMessage('T', ROW_DESCRIPTION_BODY));
        out.write(encodeMessage('D', header, value));
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
        int sentLineCount = 0;
        while (!watchesSilent) {
            String text =
                    sentLineCount < discoveryLines.size()
                            ? discoveryLines.get(sentLineCount++) + "\n"
                            : "\n";
            // In two chunks, since a line may be split anywhere.
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
        String request = readLine(in);
        platform.received.add(request);
        out.writeBytes(
                (request.equals("NOTIFY") ? "OK\r\n" + progressLine : voteResponse) + "\r\n");
        while (request.equals("NOTIFY")) {
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

    String podJson(int podIndex, int build, String lifecycle) {
        return String.format(
                "{\"instanceId\":\"p%d\",\"hostPort\":\"%s\",\"zone\":\"%s\",\"machineType\":\"m\","
                        + "\"cell\":0,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":0,\"build\":%d}",
                podIndex,
                pods.get(podIndex).hostPort(),
                podIndex % 2 == 0 ? "a" : "b",
                lifecycle,
                build);
    }

    String podListJson(long generation, boolean reset, String... entries) {
        return "{\"generation\":"
                + generation
                + ",\"reset\":"
                + reset
                + ",\"instances\":["
                + String.join(",", entries)
                + "]}";
    }

    static String routeJson(String name, String retrySafety) {
        return "{\"name\":\""
                + name
                + "\",\"aimNs\":500000000,\"deadlineNs\":1500000000,\"worth\":1.0,\"repeat\":\""
                + retrySafety
                + "\",\"keyScope\":\"zone\",\"windowNs\":400000000,\"lateWorth\":0.2}";
    }

    static String configJson(
            String listenAddress,
            String discoveryAddress,
            String platformAddress,
            String knownListJson,
            int maxSockets) {
        return "{\"name\":\"n0\",\"listen\":\""
                + listenAddress
                + "\",\"discovery\":\""
                + discoveryAddress
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":"
                + maxSockets
                + "},"
                + "\"release_api\":{\"address\":\""
                + platformAddress
                + "\",\"news\":{\"build\":1,\"stage\":2,"
                + "\"phase\":\"live\",\"cap\":1.0,\"age_ms\":9000}},\"known\":"
                + knownListJson
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

    Path writeConfig(int maxSockets) throws IOException {
        String[] entries = new String[pods.size()];
        Arrays.setAll(entries, i -> podJson(i, 1, "ready"));
        String config =
                configJson(
                                "127.0.0.1:" + port,
                                discovery.hostPort(),
                                platform.hostPort(),
                                podListJson(7, true, entries),
                                maxSockets)
                        .replace(
                                "\"discovery\":\"subscribe\"",
                                "\"discovery\":\"" + discoveryMode + "\"");
        for (Map.Entry<String, String> replacement : configReplacements.entrySet()) {
            config = config.replace(replacement.getKey(), replacement.getValue());
        }
        return Files.writeString(folder.resolve("config.json"), config);
    }

    String logText() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            return "";
        }
    }

    /** Sends a signal to the sidecar, by its name without {@code SIG}. */
    void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Sends SIGHUP, on which the sidecar reloads its configuration. */
    void sendSighup() throws Exception {
        signal("HUP");
    }

    /**
     * Returns a port at which nobody listens, below those that the operating system gives to
     * outgoing connections: one of these could take it before the sidecar listens there.
     */
    private static int findFreePort() throws IOException {
        for (int i = 0; i < MAX_PORT_ATTEMPTS; i++) {
            int candidate = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try {
                new ServerSocket(candidate, 1, InetAddress.getLoopbackAddress()).close();
                return candidate;
            } catch (BindException e) {
                // Another one is tried.
            }
        }
        throw new IOException("no free port found");
    }

    /** Starts the sidecar and waits until it serves clients. */
    void startSidecar(int maxSockets) throws Exception {
        port = findFreePort();
        Path file = writeConfig(maxSockets);
        // System properties may replace the class path, the JVM flags and the main class.
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty(
                                        "sidecar.classpath",
                                        extraArguments.isEmpty()
                                                ? minimalClassPath()
                                                : System.getProperty("java.class.path"))));
        String flags = System.getProperty("sidecar.flags", "-Xmx40m -XX:MaxDirectMemorySize=40m");
        command.addAll(List.of(flags.split(" ")));
        command.addAll(extraJvmFlags);
        command.addAll(
                List.of(System.getProperty("sidecar.main", ServeMain.class.getName()), "serve"));
        command.addAll(extraArguments);
        if (descriptorLimit > 0) {
            command.addAll(
                    0,
                    List.of("sh", "-c", "ulimit -n " + descriptorLimit + " && exec \"$@\"", "sh"));
        }
        var builder = new ProcessBuilder(command);
        builder.environment().put("LB_CONFIG", file.toString());
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(folder.resolve("log").toFile())
                        .start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        try {
            awaitTrue(this::isServing);
        } catch (AssertionError e) {
            throw new AssertionError(
                    "not serving; alive: " + process.isAlive() + ", log: " + logText(), e);
        }
    }

    private boolean isServing() {
        try (Client c = new Client()) {
            c.sendQuery("");
            return c.readMessage().equals("I");
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Returns the class path without the jars that optional features need: the process would hold a
     * file descriptor for each of them.
     */
    private static String minimalClassPath() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(
                        e ->
                                !e.endsWith(".jar")
                                        || e.matches(".*/(netty|core|settings|sidecar)-[^/]*"))
                .collect(Collectors.joining(File.pathSeparator));
    }

    static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
        long deadlineNs = System.nanoTime() + 20_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, "condition not met within 20 s");
            Thread.sleep(10);
        }
    }

    /** Repeats a query until the response is a row. */
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

    /** Closes all open connections of a fake server. */
    static void closeConnections(FakeServer server) throws IOException {
        for (Socket s : server.openSockets) {
            s.close();
        }
    }

    /**
     * A client's connection to the sidecar. A message reads as its type letter, a DataRow with its
     * value, an ErrorResponse with its SQLSTATE and, if it carries a retry delay, {@code with retry
     * delay}.
     */
    final class Client implements Closeable {
        final Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        final DataInputStream in = new DataInputStream(socket.getInputStream());

        Client() throws IOException {
            this(true);
        }

        Client(boolean sendsStartup) throws IOException {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(10_000);
            if (sendsStartup) {
                startUp();
            }
        }

        /** Sends the startup message and reads the response to it. */
        void startUp() throws IOException {
            socket.getOutputStream().write(startupMessage());
            while (!readMessage().equals("Z")) {}
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
                                + (text.contains("\0D") ? " with retry delay" : "");
                default -> String.valueOf(type);
            };
        }

        /** Reads the response to one command and returns its messages up to ReadyForQuery. */
        String readResponse() throws IOException {
            var messages = new StringBuilder();
            for (String message = readMessage(); !message.equals("Z"); message = readMessage()) {
                messages.append(message);
            }
            return messages.toString();
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
        byte[] parameters =
                "\0\3\0\0user\0web\0database\0orders\0\0".getBytes(StandardCharsets.US_ASCII);
        var out = new ByteArrayOutputStream();
        new DataOutputStream(out).writeInt(4 + parameters.length);
        out.write(parameters);
        return out.toByteArray();
    }

    static byte[] queryMessage(String text) throws IOException {
        return encodeMessage('Q', (text + "\0").getBytes(StandardCharsets.UTF_8));
    }

    int lastReqId;

    private final AtomicInteger newReqIds = new AtomicInteger(1 << 24);

    /** Returns a read with a new req id, on any thread; its client waits for the given time. */
    String newSelectSql(String ref, int timeoutMs) {
        return selectSql(ref, timeoutMs, newReqIds.incrementAndGet());
    }

    private static String selectSql(String ref, int timeoutMs, int reqId) {
        return String.format(
                "SELECT payload FROM entries WHERE ref = '%s' /* id=%016x,c=get,t=acme,d=%d */",
                ref, reqId, timeoutMs);
    }

    /** Returns a read with a new req id, whose client waits for the given time. */
    String selectSql(String ref, int timeoutMs) {
        return selectSql(ref, timeoutMs, ++lastReqId);
    }

    /** Returns a write with a dedup key and a new req id; its client waits for the given time. */
    String insertSql(String value, int timeoutMs) {
        return String.format(
                "INSERT INTO entries (ref, payload) VALUES ('7f', '%s') RETURNING payload"
                        + " /* id=%016x,c=put,t=acme,d=%d,k=5c0f */",
                value, ++lastReqId, timeoutMs);
    }
}
