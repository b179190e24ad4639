import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * What the cases share: stand-ins of pods, discovery, the platform and clients, written from the
 * protocol page, the sidecar's process, and the record. All addresses are loopback addresses.
 */
final class Rig {
    static final long START_NS = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final Path TEMP = Path.of(System.getenv("CASE_TEMP"));
    static final File ROOT = new File(System.getenv("CASE_ROOT"));
    private static final PrintWriter RECORD = openRecord();

    private Rig() {}

    private static PrintWriter openRecord() {
        try {
            return new PrintWriter(
                    Files.newBufferedWriter(Path.of(System.getenv("CASE_RECORD"))), false);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static double nowMs() {
        return (System.nanoTime() - START_NS) / 1e6;
    }

    /** Writes a line to the record, with the time since the start in milliseconds. */
    static void record(String format, Object... values) {
        String line = String.format("%10.1f ", nowMs()) + String.format(format, values);
        synchronized (RECORD) {
            RECORD.println(line);
        }
    }

    /** Writes a line to the record and to standard output. */
    static void say(String format, Object... values) {
        record(format, values);
        System.out.printf(format + "%n", values);
        System.out.flush();
    }

    /** Ends the program, with 40 and: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
    static void end(int code) {
        Sidecar.killAll();
        synchronized (RECORD) {
            RECORD.flush();
        }
        Runtime.getRuntime().halt(40 + code);
    }

    interface Work {
        void run() throws Exception;
    }

    static void thread(Work work) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The peer has closed its connection.
                            }
                        },
                        "rig",
                        256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(double ms) throws InterruptedException {
        if (ms > 0) {
            Thread.sleep((long) ms, (int) ((ms - (long) ms) * 1e6));
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }

    // ---- Servers

    /** Listens on loopback; can go down, which resets what is open, and come back. */
    abstract static class Server {
        final int port;
        volatile ServerSocket listener;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server() throws IOException {
            ServerSocket socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            port = socket.getLocalPort();
            accept(socket);
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        private void accept(ServerSocket socket) {
            listener = socket;
            thread(
                    () -> {
                        while (true) {
                            Socket accepted = socket.accept();
                            accepted.setTcpNoDelay(true);
                            open.add(accepted);
                            thread(
                                    () -> {
                                        try (accepted) {
                                            serve(accepted);
                                        } finally {
                                            open.remove(accepted);
                                        }
                                    });
                        }
                    });
        }

        abstract void serve(Socket socket) throws Exception;

        void resetOpen() {
            for (Socket socket : open) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // It has ended meanwhile.
                }
            }
        }

        void stopListening() throws IOException {
            listener.close();
        }

        void listenAgain() throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress("127.0.0.1", port), 512);
            accept(socket);
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            text.append((char) c);
        }
        return text.toString().trim();
    }

    static byte[] message(char type, byte[]... parts) {
        int length = 4;
        for (byte[] part : parts) {
            length += part.length;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            out.writeByte(type);
            out.writeInt(length);
            for (byte[] part : parts) {
                out.write(part);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static final byte[] READY = message('Z', ascii("I"));

    static byte[] row(byte[] value) {
        byte[] column = {
            0, 1, 'p', 'a', 'y', 'l', 'o', 'a', 'd', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1,
            -1, -1, -1, 0, 1
        };
        byte[] head = {
            0,
            1,
            (byte) (value.length >> 24),
            (byte) (value.length >> 16),
            (byte) (value.length >> 8),
            (byte) value.length
        };
        return join(
                message('T', column),
                message('D', head, value),
                message('C', ascii("SELECT 1\0")),
                READY);
    }

    static byte[] error(String code, String text) {
        return join(message('E', ascii("SERROR\0C" + code + "\0M" + text + "\0\0")), READY);
    }

    /** A query as a pod got it. */
    record Query(double firstMs, double lastMs, String text) {
        String field(String name) {
            int start = text.lastIndexOf("/*") + 2;
            for (String part : text.substring(start, text.length() - 2).trim().split(",")) {
                if (part.startsWith(name + "=")) {
                    return part.substring(name.length() + 1);
                }
            }
            return "";
        }

        /** The key of the row: the first literal. */
        String key() {
            int start = text.indexOf('\'') + 1;
            return text.substring(start, text.indexOf('\'', start));
        }
    }

    /** A pod. */
    static class Pod extends Server {
        final String id;
        final String zone;
        final int build;
        volatile String lifecycle = "ready";
        volatile double workMs;
        volatile long startedAtMs;
        final int idleMs;

        Pod(String id, String zone, int build, double workMs, int idleMs) throws IOException {
            this.id = id;
            this.zone = zone;
            this.build = build;
            this.workMs = workMs;
            this.idleMs = idleMs;
        }

        String entry() {
            return String.format(
                    "{\"instanceId\":\"%s\",\"hostPort\":\"%s\",\"zone\":\"%s\",\"machineType\":"
                            + "\"m\",\"cell\":0,\"lifecycle\":\"%s\",\"weight\":1.0,"
                            + "\"startedAtMs\":%d,\"build\":%d}",
                    id, address(), zone, lifecycle, startedAtMs, build);
        }

        /** Called when the last byte of a query has arrived; returns the answer, or null. */
        byte[] answer(Query query) throws Exception {
            if (!lifecycle.equals("ready")) {
                return error("53300", "draining");
            }
            sleep(workMs);
            return row(ascii(id + " " + build + " " + query.field("id")));
        }

        @Override
        void serve(Socket socket) throws Exception {
            socket.setSoTimeout(idleMs);
            DataInputStream in =
                    new DataInputStream(new BufferedInputStream(socket.getInputStream(), 4096));
            OutputStream out = socket.getOutputStream();
            in.readNBytes(in.readInt() - 4);
            out.write(join(message('R', new byte[4]), READY));
            while (true) {
                int type = in.read();
                double firstMs = nowMs();
                if (type != 'Q') {
                    return;
                }
                byte[] text = in.readNBytes(in.readInt() - 4);
                Query query =
                        new Query(
                                firstMs,
                                nowMs(),
                                new String(text, 0, text.length - 1, StandardCharsets.ISO_8859_1));
                byte[] answer = answer(query);
                if (answer == null) {
                    return;
                }
                out.write(answer);
            }
        }
    }

    /** Discovery: the list, and watches on its changes. */
    static final class Discovery extends Server {
        final Map<String, Pod> pods = new LinkedHashMap<>();
        private final List<String> changes = new ArrayList<>();
        private int generation = 1;
        volatile boolean down;

        /** Whether calls wait, and none is answered. */
        private boolean crowded;

        volatile double returnedMs;

        Discovery() throws IOException {}

        synchronized void add(Pod... added) {
            for (Pod pod : added) {
                pods.put(pod.id, pod);
                changed(pod);
            }
        }

        /** A pod has changed: the change is written to the open watches. */
        synchronized void changed(Pod pod) {
            generation++;
            changes.add(
                    String.format(
                            "{\"generation\":%d,\"reset\":false,\"instances\":[%s]}",
                            generation, pod.entry()));
            notifyAll();
        }

        synchronized String list() {
            return String.format(
                    "{\"generation\":%d,\"reset\":true,\"instances\":[%s]}",
                    generation,
                    String.join(",", pods.values().stream().map(Pod::entry).toList()));
        }

        /** Ends watches; from now on calls end in 503. */
        void goDown() {
            down = true;
            resetOpen();
        }

        void comeBack() {
            down = false;
            returnedMs = nowMs();
        }

        /** From now on calls wait, or those that wait are answered. */
        synchronized void crowded(boolean waits) {
            crowded = waits;
            notifyAll();
        }

        private static void chunk(OutputStream out, String text) throws IOException {
            byte[] bytes = ascii(text);
            out.write(
                    join(
                            ascii(Integer.toHexString(bytes.length) + "\r\n"),
                            bytes,
                            ascii("\r\n")));
        }

        @Override
        void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            String request = readLine(in);
            while (!readLine(in).isEmpty()) {}
            record("discovery %s %s", down ? "503" : "serves", request);
            if (down) {
                out.write(
                        ascii("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
                return;
            }
            int told = 0;
            synchronized (this) {
                while (crowded) {
                    wait();
                }
                out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                chunk(out, list() + "\n");
                told = changes.size();
            }
            if (!request.contains("stream=1")) {
                out.write(ascii("0\r\n\r\n"));
                return;
            }
            while (!socket.isClosed()) {
                List<String> due;
                synchronized (this) {
                    if (told == changes.size()) {
                        wait(2000);
                    }
                    due = new ArrayList<>(changes.subList(told, changes.size()));
                    told = changes.size();
                }
                for (String line : due) {
                    chunk(out, line + "\n");
                }
                if (due.isEmpty()) {
                    chunk(out, "\n");
                }
            }
        }
    }

    /** The platform: the state of the newest build, told at once; votes are answered. */
    static class Platform extends Server {
        private volatile String state;
        private volatile double sinceMs = nowMs();

        Platform(String state) throws IOException {
            this.state = state;
        }

        /** Sets build, stage, phase and cap, and tells them. */
        synchronized void set(String newState) {
            state = newState;
            sinceMs = nowMs();
            record("platform: %s", newState);
            notifyAll();
        }

        synchronized String state() {
            return state + " " + (long) (nowMs() - sinceMs);
        }

        /** Called for each vote that counts, before it is answered. */
        void voted(String words) {}

        @Override
        void serve(Socket socket) throws Exception {
            socket.setSoTimeout(10_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String request = readLine(in);
                record("platform gets %s", request);
                if (request.startsWith("BALLOT ")) {
                    String[] words = request.split(" ");
                    String[] now = state().split(" ");
                    boolean current = words[1].equals(now[0]) && words[2].equals(now[1]);
                    if (current) {
                        voted(request);
                    }
                    out.write(ascii(current ? "OK " + state() + "\r\n" : "ERR out_of_date\r\n"));
                    continue;
                }
                out.write(ascii("OK\r\n* progress " + state() + "\r\n"));
                String told = state;
                while (true) {
                    synchronized (this) {
                        if (told.equals(state)) {
                            wait(1000);
                        }
                    }
                    if (told.equals(state)) {
                        out.write(ascii("*\r\n"));
                    } else {
                        told = state;
                        out.write(ascii("* progress " + state() + "\r\n"));
                    }
                }
            }
        }
    }

    // ---- Clients

    /** An answer: {@code row}, a code of an error, or {@code closed}. */
    record Answer(String kind, String value) {}

    /** A connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final DataInputStream in;
        final OutputStream out;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
            socket.setSoTimeout(10_000);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 4096));
            out = socket.getOutputStream();
            byte[] body = join(new byte[] {0, 3, 0, 0}, ascii("user\0web\0database\0orders\0\0"));
            ByteArrayOutputStream startup = new ByteArrayOutputStream();
            new DataOutputStream(startup).writeInt(4 + body.length);
            startup.writeBytes(body);
            out.write(startup.toByteArray());
            while (in.readByte() != 'Z') {
                in.readNBytes(in.readInt() - 4);
            }
            in.readNBytes(in.readInt() - 4);
        }

        void send(String text) throws IOException {
            out.write(message('Q', (text + "\0").getBytes(StandardCharsets.ISO_8859_1)));
        }

        /** Reads one answer, up to ReadyForQuery or, if it is whole before, the end of the connection. */
        Answer receive() throws IOException {
            Answer answer = new Answer("none", "");
            boolean whole = false;
            try {
                while (true) {
                    int type = in.readByte();
                    byte[] body = in.readNBytes(in.readInt() - 4);
                    String text = new String(body, StandardCharsets.ISO_8859_1);
                    if (type == 'D') {
                        answer = new Answer("row", text.substring(6));
                    } else if (type == 'E') {
                        int start = text.indexOf("\0C") + 2;
                        answer = new Answer(text.substring(start, start + 5), text);
                        whole = true;
                    } else if (type == 'C') {
                        whole = answer.kind().equals("row");
                    } else if (type == 'I') {
                        answer = new Answer("empty", "");
                    } else if (type == 'Z') {
                        return answer;
                    }
                }
            } catch (EOFException e) {
                return whole ? answer : new Answer("closed", answer.kind());
            }
        }

        Answer ask(String text) throws IOException {
            send(text);
            return receive();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Returns a read of a key, as the protocol page has it. */
    static String select(String key, String id, String route, int deadlineMs) {
        return String.format(
                "SELECT payload FROM entries WHERE ref = '%s' /* id=%s,c=%s,d=%d */",
                key, id, route, deadlineMs);
    }

    /** Returns a write of a key with a mark against repeats; none if {@code mark} is empty. */
    static String insert(String key, String id, String route, int deadlineMs, String mark) {
        return String.format(
                "INSERT INTO entries (ref, payload) VALUES ('%s', '\\x9f03') RETURNING payload"
                        + " /* id=%s,c=%s,d=%d%s */",
                key, id, route, deadlineMs, mark.isEmpty() ? "" : ",k=" + mark);
    }

    // ---- The sidecar

    /** A process started with the line {@code run} of the deploy file. */
    static final class Sidecar {
        private static final List<Process> PROCESSES = new ArrayList<>();
        final int port;
        final Path config;
        final Path log;
        Process process;

        Sidecar(String name, int port, String configText) throws IOException {
            this.port = port;
            config = TEMP.resolve(name + ".json");
            log = TEMP.resolve(name + ".log");
            Files.writeString(config, configText);
        }

        /** Starts the process and waits until it answers an empty query. */
        void start() throws Exception {
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", System.getenv("CASE_RUN"));
            builder.directory(ROOT);
            builder.environment().put("LB_CONFIG", config.toString());
            builder.environment().put("TMPDIR", TEMP.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            synchronized (PROCESSES) {
                PROCESSES.add(process);
            }
            Files.writeString(
                    TEMP.resolve("pids"),
                    process.pid() + "\n",
                    java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND);
            double limitMs = nowMs() + 30_000;
            while (nowMs() < limitMs && process.isAlive()) {
                try (Client client = new Client(port)) {
                    if (client.ask("").kind().equals("empty")) {
                        record("sidecar %d is ready", port);
                        return;
                    }
                } catch (IOException e) {
                    // It isn't listening yet.
                }
                sleep(50);
            }
            say("sidecar %d did not start; see its log", port);
            System.out.println(Files.readString(log));
            end(2);
        }

        void signal(String name) throws Exception {
            record("SIG%s to sidecar %d", name, port);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        static void killAll() {
            synchronized (PROCESSES) {
                for (Process process : PROCESSES) {
                    process.destroyForcibly();
                }
                for (Process process : PROCESSES) {
                    try {
                        process.waitFor(5, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            }
        }
    }

    /** Ends the case with 2 should it run longer than it may. */
    static void limitTime(int seconds) {
        Runtime.getRuntime().addShutdownHook(new Thread(Sidecar::killAll));
        thread(
                () -> {
                    sleep(seconds * 1000.0);
                    say("not done after %d s", seconds);
                    end(2);
                });
    }
}
