package mulleinlever.sidecar;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One seeded run of the program among servers, a discovery and a platform that fail: what happens,
 * when and to whom is drawn from the seed. Whatever breaks a rule is collected; times are
 * milliseconds of the monotonic clock.
 */
final class SoakRun extends SidecarTestBase {
    private static final Pattern ID = Pattern.compile("'([^']*)'.*id=([0-9a-f]+),c=(\\w+)");
    private static final int SERVERS = 6;
    private static final int CLIENTS = 4;
    private static final long FAULTS_MS = 20_000;
    private static final long CALM_MS = 9_000;
    private static final long TOLD_MS = 6_000;
    private static final long TOLD_MOVED_MS = 4_000;
    private static final long GRACE_MS = 250;
    private static final long WINDOW_MS = 400;
    private static final long LATE_MS = 500;

    /** How late the threads of this rig may see what happened. */
    private static final long RIG_MS = 100;

    private static final long FOREVER = Long.MAX_VALUE / 2;

    private enum DiscoveryMode {
        HEALTHY,
        OVERLOADED,
        SILENT,
        SLOW
    }

    /** One server: what the list says of it, since when, and how it behaves. */
    private final class FaultyPod {
        final int index;
        volatile String lifecycle = "ready";
        volatile long notReadySinceMs = FOREVER;

        /** When discovery wrote to the sidecar that it leaves. */
        volatile long removalSentMs = FOREVER;

        volatile int resetsLeft;
        volatile int errorsLeft;
        volatile long responseDelayMs;

        FaultyPod(int number) throws IOException {
            this.index = number;
            startPod(this::handleQuery);
        }

        boolean handleQuery(String query, DataOutputStream out) throws Exception {
            long now = now();
            Matcher m = ID.matcher(query);
            if (!m.find()) {
                broken("unknown statement " + query);
                return false;
            }
            long toldMs =
                    Math.min(
                            Math.min(removalSentMs, notReadySinceMs + TOLD_MS),
                            movedMs > notReadySinceMs ? movedMs + TOLD_MOVED_MS : FOREVER);
            if (!lifecycle.equals("ready") && now > toldMs + GRACE_MS + RIG_MS) {
                broken(
                        "drain: p"
                                + index
                                + " got "
                                + m.group(2)
                                + " "
                                + (now - toldMs)
                                + " ms after told");
            }
            if (lifecycle.equals("draining")) {
                return sendError(out, "53300");
            }
            ran(m.group(2), m.group(3), now);
            if (responseDelayMs > 0) {
                Thread.sleep(responseDelayMs);
            }
            if (resetsLeft > 0) {
                resetsLeft--;
                return false;
            }
            if (errorsLeft > 0) {
                errorsLeft--;
                return sendError(out, "XX000");
            }
            return sendRow(out, m.group(1));
        }

        private void ran(String id, String route, long now) {
            long[] first = ran.computeIfAbsent(id, i -> new long[] {now, index});
            if (route.equals("put")
                    && (first[1] % 2 != index % 2 || now > first[0] + WINDOW_MS + RIG_MS)) {
                broken(
                        "duplicate: put "
                                + id
                                + " at p"
                                + first[1]
                                + ", "
                                + (now - first[0])
                                + " ms later at p"
                                + index);
            }
        }
    }

    private final long seed;
    private final SplittableRandom random;
    private final List<FaultyPod> servers = new ArrayList<>();
    private final Map<String, long[]> ran = new ConcurrentHashMap<>();
    private final Queue<String> broken = new ConcurrentLinkedQueue<>();
    private final Queue<String> story = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger ids = new AtomicInteger();
    private final long startMs = System.nanoTime() / 1_000_000;
    private volatile DiscoveryMode mode = DiscoveryMode.HEALTHY;
    private volatile int version = 7;
    private volatile long outageEndsMs;
    private volatile long movedMs = -FOREVER;
    private volatile long killedMs = -FOREVER;
    private volatile boolean over;

    SoakRun(long seed) throws IOException {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.folder = Files.createTempDirectory("soak");
        this.discovery = new FakeServer(this::serveList);
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new FaultyPod(i));
        }
    }

    private long now() {
        return System.nanoTime() / 1_000_000 - startMs;
    }

    private void broken(String what) {
        broken.add("seed " + seed + " at " + now() + " ms: " + what);
    }

    private void tell(String what) {
        story.add(now() + " " + what);
    }

    private void serveList(DataInputStream in, DataOutputStream out) throws Exception {
        readLine(in);
        while (!readLine(in).isEmpty()) {}
        if (mode == DiscoveryMode.OVERLOADED) {
            Thread.sleep(1_000);
            out.writeBytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        out.writeBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        int told = -1;
        while (true) {
            while (mode == DiscoveryMode.SILENT) {
                Thread.sleep(20);
            }
            int at = version;
            if (at == told) {
                chunk(out, "\n");
            } else {
                String[] entries =
                        servers.stream()
                                .filter(s -> !s.lifecycle.equals("gone"))
                                .map(s -> podJson(s.index, 1, s.lifecycle))
                                .toArray(String[]::new);
                List<FaultyPod> leaving =
                        servers.stream().filter(s -> !s.lifecycle.equals("ready")).toList();
                chunk(out, podListJson(at, true, entries) + "\n");
                leaving.stream()
                        .filter(s -> !s.lifecycle.equals("ready"))
                        .forEach(s -> s.removalSentMs = Math.min(s.removalSentMs, now()));
                told = at;
            }
            for (int i = 0; i < 20 && version == told; i++) {
                Thread.sleep(50);
            }
        }
    }

    private void chunk(DataOutputStream out, String text) throws Exception {
        int step = mode == DiscoveryMode.SLOW ? 150 : text.length();
        for (int i = 0; i < text.length(); i += step) {
            String part = text.substring(i, Math.min(text.length(), i + step));
            out.writeBytes(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
            Thread.sleep(mode == DiscoveryMode.SLOW ? 200 : 0);
        }
    }

    /** The list changes, and with it what the server does. */
    private void change(FaultyPod s, String state) {
        if (s.notReadySinceMs == FOREVER && !state.equals("ready")) {
            s.notReadySinceMs = now();
        }
        s.lifecycle = state;
        if (state.equals("ready")) {
            s.notReadySinceMs = FOREVER;
            s.removalSentMs = FOREVER;
        }
        version++;
        tell("p" + s.index + " " + state);
    }

    /** It drains, ends, listens again before it is listed, and is listed. */
    private void replace(FaultyPod s, long drainsMs, long gone, long unlisted) {
        startDaemonThread(
                () -> {
                    change(s, "draining");
                    Thread.sleep(drainsMs);
                    change(s, "gone");
                    pods.get(s.index).close();
                    Thread.sleep(gone);
                    pods.get(s.index).listenAgain();
                    tell("p" + s.index + " listens");
                    Thread.sleep(unlisted);
                    change(s, "ready");
                });
    }

    private void event() throws Exception {
        FaultyPod s = servers.get(random.nextInt(SERVERS));
        int what = random.nextInt(12);
        tell("event " + what);
        switch (what) {
            case 0, 1, 2 -> {
                long ready = servers.stream().filter(o -> o.lifecycle.equals("ready")).count();
                if (s.lifecycle.equals("ready") && ready > SERVERS / 2) {
                    replace(
                            s,
                            500 + random.nextInt(1_500),
                            2_000 + random.nextInt(5_000),
                            1_000 + random.nextInt(4_000));
                }
            }
            case 3 -> {
                s.responseDelayMs = 0;
                mode = now() > outageEndsMs ? DiscoveryMode.SLOW : mode;
            }
            case 4, 5 -> mode = now() > outageEndsMs ? DiscoveryMode.HEALTHY : mode;
            case 6 -> closeConnections(discovery);
            case 7 -> closeConnections(platform);
            case 8 -> hold();
            case 9 -> {
                FakeServer old = discovery;
                discovery = new FakeServer(this::serveList);
                writeConfig(256);
                movedMs = now();
                sendHangup();
                startDaemonThread(
                        () -> {
                            Thread.sleep(1_500);
                            old.close();
                        });
            }
            case 10 -> {
                s.resetsLeft += random.nextInt(4);
                s.errorsLeft += random.nextInt(4);
                s.responseDelayMs = random.nextInt(3) == 0 ? 50 + random.nextInt(400) : 0;
                closeConnections(pods.get(s.index));
            }
            default -> {
                if (killedMs < 0 && random.nextBoolean()) {
                    killedMs = FOREVER;
                    process.destroyForcibly().waitFor();
                    startSidecar();
                    killedMs = now();
                }
            }
        }
    }

    /**
     * Discovery can be reached and tells nobody anything, for longer than it takes until changes
     * count as told.
     */
    private void beginOutage() throws IOException {
        mode = random.nextBoolean() ? DiscoveryMode.OVERLOADED : DiscoveryMode.SILENT;
        outageEndsMs = now() + 8_000 + random.nextInt(4_000);
        tell("discovery is " + mode + " until " + outageEndsMs);
        closeConnections(discovery);
    }

    private void hold() throws Exception {
        new ProcessBuilder("kill", "-STOP", "" + process.pid()).start().waitFor();
        Thread.sleep(140);
        new ProcessBuilder("kill", "-CONT", "" + process.pid()).start().waitFor();
    }

    private void client(SplittableRandom chance) throws Exception {
        while (!over) {
            try (Client c = new Client()) {
                while (!over) {
                    ask(c, chance);
                    Thread.sleep(5 + chance.nextInt(30));
                }
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
    }

    private void ask(Client c, SplittableRandom chance) throws IOException {
        int number = ids.incrementAndGet();
        String id = String.format("%016x", number);
        boolean put = chance.nextInt(4) == 0;
        long waitsMs = 300 + chance.nextInt(1_100);
        String ref = "v" + number;
        long fromMs = now();
        asked.incrementAndGet();
        String answer;
        try {
            answer =
                    c.execute(
                            put
                                    ? "INSERT INTO entries (ref) VALUES ('"
                                            + ref
                                            + "') /* id="
                                            + id
                                            + ",c=put,t=acme,d="
                                            + waitsMs
                                            + ",k=5c0f */"
                                    : "SELECT payload FROM entries WHERE ref = '"
                                            + ref
                                            + "' /* id="
                                            + id
                                            + ",c=get,t=acme,d="
                                            + waitsMs
                                            + " */");
        } catch (IOException e) {
            // The kill takes its connections with it.
            if (!over && fromMs > killedMs) {
                broken("lost: no answer to " + id + ": " + e);
            }
            throw e;
        }
        long tookMs = now() - fromMs;
        if (tookMs > waitsMs + LATE_MS + RIG_MS) {
            broken("lost: " + id + " answered after " + tookMs + " of " + waitsMs + " ms");
        }
        if (answer.startsWith("T")) {
            served.incrementAndGet();
            if (!answer.equals("TD" + ref + "C")) {
                broken("lost: " + id + " was answered " + answer);
            }
        } else if (put && answer.startsWith("E53300") && ran.containsKey(id)) {
            broken("refused: put " + id + " may have run");
        }
    }

    /** Plays the run, and returns what was broken. */
    List<String> run() throws Exception {
        try {
            startSidecar();
            for (int i = 0; i < CLIENTS; i++) {
                SplittableRandom chance = random.split();
                startDaemonThread(() -> client(chance));
            }
            long outageMs = 1_000 + random.nextInt(4_000);
            while (now() < FAULTS_MS) {
                Thread.sleep(100 + random.nextInt(900));
                if (outageEndsMs == 0 && now() > outageMs) {
                    beginOutage();
                }
                event();
            }
            tell("calm");
            mode = DiscoveryMode.HEALTHY;
            servers.forEach(
                    s -> {
                        s.resetsLeft = 0;
                        s.errorsLeft = 0;
                        s.responseDelayMs = 0;
                    });
            Thread.sleep(CALM_MS);
            served.set(0);
            asked.set(0);
            Thread.sleep(2_000);
            if (served.get() < 0.9 * asked.get() || served.get() < 20) {
                broken(
                        "not recovered: "
                                + served
                                + " of "
                                + asked
                                + " served "
                                + CALM_MS
                                + " ms after the last fault");
            }
            over = true;
            process.destroy();
            if (!process.waitFor(4, java.util.concurrent.TimeUnit.SECONDS)) {
                broken("still there 4 s after SIGTERM");
            }
            logText().lines().filter(l -> l.contains("fault")).limit(3).forEach(this::broken);
        } finally {
            over = true;
            stopAll();
        }
        return List.copyOf(broken);
    }

    /**
     * What happened and what the program logged of it but for its counts, for whoever looks into a
     * broken run.
     */
    String eventLog() {
        return String.join("\n", story)
                + "\n"
                + logText()
                        .lines()
                        .filter(l -> l.matches(".* (discovery|reload|life|clients): .*"))
                        .reduce("", (a, b) -> a + "\n" + b);
    }
}
