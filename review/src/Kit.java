import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins shared by the cases: discovery, the release platform, pods and clients, all on loopback
 * addresses, and the start of one sidecar with the run command of the deploy file. They follow the
 * operators' protocol page.
 */
final class Kit {
    private Kit() {}

    static final long START = System.nanoTime();

    static final ThreadFactory DAEMON =
            r -> {
                Thread t = new Thread(r);
                t.setDaemon(true);
                return t;
            };

    static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, DAEMON);

    static double nowMs() {
        return (System.nanoTime() - START) / 1e6;
    }

    interface Work {
        void run() throws Exception;
    }

    static Thread daemon(Work work) {
        Thread t =
                DAEMON.newThread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The peer has gone; the connection ends.
                            }
                        });
        t.start();
        return t;
    }

    static void sleepMs(double ms) throws InterruptedException {
        if (ms > 0) {
            TimeUnit.NANOSECONDS.sleep((long) (ms * 1e6));
        }
    }

    /** Plays a case; one that could not run ends with exit code 2. */
    static void play(Work work) {
        try {
            work.run();
        } catch (Throwable e) {
            e.printStackTrace(System.out);
            System.exit(2);
        }
    }

    /** Copies the sidecar's log to the record and deletes the temporary folder. */
    static void takeLog(Path folder, Record record) throws IOException {
        for (String line : Files.readAllLines(folder.resolve("sidecar.log"))) {
            record.line("log of the sidecar: %s", line);
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    /** The record of a run: what was sent, answered and run. */
    static final class Record implements Closeable {
        private final PrintStream out;

        Record(String file) throws IOException {
            out = new PrintStream(new java.io.BufferedOutputStream(new java.io.FileOutputStream(file)), false, StandardCharsets.UTF_8);
        }

        synchronized void line(String format, Object... args) {
            out.printf("%10.1f ", nowMs());
            out.printf(format, args);
            out.println();
        }

        /** Writes a line to the record and to standard output. */
        synchronized void summary(String format, Object... args) {
            line(format, args);
            System.out.printf(format, args);
            System.out.println();
            out.flush();
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    // ---- Messages of the PostgreSQL protocol

    static void message(ByteArrayOutputStream out, char type, byte[] body) {
        out.write(type);
        out.writeBytes(ByteBuffer.allocate(4).putInt(4 + body.length).array());
        out.writeBytes(body);
    }

    static byte[] row(byte[] value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream t = new ByteArrayOutputStream();
        t.writeBytes(new byte[] {0, 1});
        t.writeBytes("payload\0".getBytes(StandardCharsets.US_ASCII));
        t.writeBytes(new byte[] {0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 1});
        message(out, 'T', t.toByteArray());
        message(
                out,
                'D',
                ByteBuffer.allocate(6 + value.length).putShort((short) 1).putInt(value.length).put(value).array());
        message(out, 'C', "SELECT 1\0".getBytes(StandardCharsets.US_ASCII));
        message(out, 'Z', new byte[] {'I'});
        return out.toByteArray();
    }

    static byte[] error(String code, boolean ready) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        message(
                out,
                'E',
                ("SERROR\0VERROR\0C" + code + "\0M" + code + "\0\0").getBytes(StandardCharsets.US_ASCII));
        if (ready) {
            message(out, 'Z', new byte[] {'I'});
        }
        return out.toByteArray();
    }

    static byte[] query(String sql) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        message(out, 'Q', (sql + "\0").getBytes(StandardCharsets.US_ASCII));
        return out.toByteArray();
    }

    static byte[] startup() {
        byte[] parameters = "user\0web\0database\0orders\0\0".getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(8 + parameters.length).putInt(8 + parameters.length).putInt(3 << 16).put(parameters).array();
    }

    static byte[] ready() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        message(out, 'R', new byte[4]);
        message(out, 'Z', new byte[] {'I'});
        return out.toByteArray();
    }

    /** Returns the value of a field of the comment at the end of a statement; null if absent. */
    static String field(String sql, String name) {
        int start = sql.lastIndexOf("/*");
        if (start < 0) {
            return null;
        }
        for (String part : sql.substring(start + 2).replace("*/", "").split(",")) {
            if (part.trim().startsWith(name + "=")) {
                return part.trim().substring(name.length() + 1);
            }
        }
        return null;
    }

    static ServerSocket listen(String host, int port) throws IOException {
        ServerSocket s = new ServerSocket();
        s.setReuseAddress(true);
        s.bind(new InetSocketAddress(InetAddress.getByName(host), port), 1024);
        return s;
    }

    // ---- Pods

    /** A connection to a pod, at the pod's end. */
    static final class PodConnection {
        final Socket socket;

        /** The number of queries whose last byte has reached the pod on this connection. */
        volatile int queries;

        private final OutputStream out;

        PodConnection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        synchronized void send(byte[] bytes) {
            try {
                out.write(bytes);
                out.flush();
            } catch (IOException e) {
                // The sidecar has closed the connection.
            }
        }
    }

    /** What a pod does with a query. */
    interface Behaviour {
        void onQuery(Pod pod, PodConnection connection, String sql);
    }

    static final class Pod {
        final String id;
        final String zone;
        final ServerSocket server;
        final double linkMs;
        final Behaviour behaviour;
        final AtomicLong queries = new AtomicLong();

        /** A pod whose way to the sidecar takes {@code linkMs} in each direction. */
        Pod(String id, String zone, String host, double linkMs, Behaviour behaviour) throws IOException {
            this.id = id;
            this.zone = zone;
            this.linkMs = linkMs;
            this.behaviour = behaviour;
            this.server = listen(host, 0);
            daemon(
                    () -> {
                        while (true) {
                            Socket s = server.accept();
                            daemon(() -> serve(s));
                        }
                    });
        }

        String hostPort() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
                PodConnection connection = new PodConnection(socket);
                in.readNBytes(in.readInt() - 4);
                sleepMs(2 * linkMs);
                connection.send(ready());
                while (true) {
                    int type = in.read();
                    if (type < 0 || type == 'X') {
                        return;
                    }
                    byte[] body = in.readNBytes(in.readInt() - 4);
                    // The way to the pod.
                    sleepMs(linkMs);
                    connection.queries++;
                    if (type != 'Q') {
                        return;
                    }
                    queries.incrementAndGet();
                    behaviour.onQuery(this, connection, new String(body, 0, body.length - 1, StandardCharsets.US_ASCII));
                }
            }
        }

        /** Sends bytes that the pod writes {@code afterMs} from now; they take the way back. */
        void sendLater(PodConnection connection, double afterMs, byte[] bytes) {
            TIMER.schedule(() -> connection.send(bytes), (long) ((afterMs + linkMs) * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    // ---- Discovery

    /** Discovery with a list that does not change; an empty line arrives every 2 s on a watch. */
    static final class Discovery {
        final ServerSocket server;

        Discovery(String host, String listJson) throws IOException {
            server = listen(host, 0);
            daemon(
                    () -> {
                        while (true) {
                            Socket s = server.accept();
                            daemon(() -> serve(s, listJson));
                        }
                    });
        }

        String hostPort() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        private static void serve(Socket socket, String list) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                String request = in.readLine();
                while (!in.readLine().isEmpty()) {}
                OutputStream out = socket.getOutputStream();
                if (request.contains("stream=1")) {
                    out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
                    chunk(out, list + "\n");
                    while (true) {
                        Thread.sleep(2000);
                        chunk(out, "\n");
                    }
                }
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + list.length() + "\r\n\r\n" + list).getBytes());
            }
        }

        private static void chunk(OutputStream out, String text) throws IOException {
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
            out.flush();
        }
    }

    // ---- The release platform

    /** The platform while the newest build is released. */
    static final class Platform {
        static final String STATE = "41 3 live 1 9000";
        final ServerSocket server;

        Platform(String host) throws IOException {
            server = listen(host, 0);
            daemon(
                    () -> {
                        while (true) {
                            Socket s = server.accept();
                            daemon(() -> serve(s));
                        }
                    });
        }

        String hostPort() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        private static void serve(Socket socket) throws Exception {
            try (socket) {
                BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                OutputStream out = socket.getOutputStream();
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (line.startsWith("NOTIFY")) {
                        write(out, "OK\r\n* progress " + STATE + "\r\n");
                        daemon(
                                () -> {
                                    while (true) {
                                        Thread.sleep(1000);
                                        write(out, "*\r\n");
                                    }
                                });
                    } else {
                        write(out, "OK " + STATE + "\r\n");
                    }
                }
            }
        }

        private static void write(OutputStream out, String text) throws IOException {
            synchronized (out) {
                out.write(text.getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
        }
    }

    /** The list of pods in discovery's form. */
    static String list(List<Pod> pods) {
        StringBuilder json = new StringBuilder("{\"generation\":41,\"reset\":true,\"instances\":[");
        for (int i = 0; i < pods.size(); i++) {
            Pod p = pods.get(i);
            json.append(i == 0 ? "" : ",")
                    .append("{\"instanceId\":\"" + p.id + "\",\"hostPort\":\"" + p.hostPort() + "\",\"zone\":\"" + p.zone)
                    .append("\",\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"ready\",\"weight\":1.0,\"startedAtMs\":0,\"build\":41}");
        }
        return json.append("]}").toString();
    }

    // ---- The sidecar

    /** A sidecar, started with the run command of the deploy file. */
    static final class Sidecar implements Closeable {
        final Process process;
        final String host;
        final int port;

        Sidecar(Path folder, String host, int sockets, Discovery discovery, Platform platform, String list, String settings)
                throws Exception {
            this.host = host;
            try (ServerSocket free = listen(host, 0)) {
                port = free.getLocalPort();
            }
            Path config = folder.resolve("config.json");
            Files.writeString(
                    config,
                    "{\"name\":\"n0\",\"listen\":\"" + host + ":" + port + "\",\"discovery\":\"" + discovery.hostPort()
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                            + "},\"release_api\":{\"address\":\"" + platform.hostPort()
                            + "\",\"news\":{\"build\":41,\"stage\":3,\"phase\":\"live\",\"cap\":1.0,\"age_ms\":9000}},\"known\":" + list
                            + ",\"settings\":" + settings + "}\n");
            String run = null;
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    run = line.substring(7, line.length() - 1);
                }
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
            builder.environment().put("LB_CONFIG", config.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve("sidecar.log").toFile());
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        }

        /** Waits until the sidecar answers an empty query, as the front does. */
        void awaitReady() throws Exception {
            for (int i = 0; i < 300; i++) {
                if (!process.isAlive()) {
                    throw new IOException("the sidecar has ended with " + process.exitValue());
                }
                try (Client c = new Client(this)) {
                    c.send(query(""));
                    if (c.read(2000).kind.equals("empty")) {
                        return;
                    }
                } catch (IOException e) {
                    Thread.sleep(100);
                }
            }
            throw new IOException("the sidecar is not ready after 30 s");
        }

        @Override
        public void close() {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    // ---- Clients

    /** An answer: served, refused, failed, empty, closed (without an answer) or none (in time). */
    static final class Answer {
        final String kind;
        final String text;

        Answer(String kind, String text) {
            this.kind = kind;
            this.text = text;
        }

        @Override
        public String toString() {
            return kind + (text.isEmpty() ? "" : " " + text);
        }
    }

    /** One connection of a client. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        final DataInputStream in;
        private boolean greeted;

        /** Connects; the startup message is sent with the first query. */
        Client(Sidecar sidecar) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getByName(sidecar.host), sidecar.port), 5000);
            in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            socket.getOutputStream().write(startup());
        }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Reads the answer to the next query, up to its ReadyForQuery. */
        Answer read(double timeoutMs) throws IOException {
            long endNs = System.nanoTime() + (long) (timeoutMs * 1e6);
            String kind = "failed";
            String text = "without an answer";
            try {
                while (true) {
                    socket.setSoTimeout((int) Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
                    int type = in.read();
                    if (type < 0) {
                        return new Answer("closed", "");
                    }
                    byte[] body = in.readNBytes(in.readInt() - 4);
                    switch (type) {
                        case 'D' -> {
                            kind = "served";
                            text = new String(body, 6, body.length - 6, StandardCharsets.US_ASCII);
                        }
                        case 'I' -> {
                            kind = "empty";
                            text = "";
                        }
                        case 'E' -> {
                            String fields = "\0" + new String(body, StandardCharsets.US_ASCII);
                            int c = fields.indexOf("\0C") + 2;
                            String code = fields.substring(c, fields.indexOf('\0', c));
                            kind = code.equals("53300") || code.equals("57P03") ? "refused" : "failed";
                            text = code;
                        }
                        case 'Z' -> {
                            if (greeted) {
                                return new Answer(kind, text);
                            }
                            greeted = true;
                        }
                        default -> {}
                    }
                }
            } catch (SocketTimeoutException e) {
                return new Answer("none", "");
            } catch (IOException e) {
                return new Answer("closed", "");
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    static String id(long n) {
        return String.format("%016x", n * 0x9E3779B97F4A7C15L);
    }
}
