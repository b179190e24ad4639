package mulleinlever.sidecar;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A seeded run of a sidecar process with faults at the pods, discovery and the platform, with
 * signals, and in some runs with a crowd of clients that send too much, stop half way, or leave.
 * The kind, time and target of each fault are drawn from the seed. Violations of the invariants are
 * collected. Times are milliseconds of the monotonic clock since the start of the run.
 */
final class SoakRun extends SidecarTestBase {
    /** Matches a statement; the groups are its value, the ID of the req and the route. */
    private static final Pattern STATEMENT = Pattern.compile("'([^']*)'.*id=([0-9a-f]+),c=(\\w+)");

    private static final int POD_COUNT = 6;
    private static final int CLIENT_COUNT = 4;
    private static final long FAULT_PHASE_MS = 20_000;

    /** The time for the sidecar to recover after the last fault. */
    private static final long RECOVERY_MS = 9_000;

    /**
     * The time after which a change of the list counts as known to the sidecar, received or not.
     */
    private static final long PROPAGATION_DEADLINE_MS = 6_000;

    /** The same time for all earlier changes, counted from a move of discovery. */
    private static final long PROPAGATION_DEADLINE_AFTER_MOVE_MS = 4_000;

    private static final long STOP_SENDING_GRACE_MS = 250;
    private static final long DEDUP_WINDOW_MS = 400;
    private static final long ANSWER_SLACK_MS = 500;

    /** How late the threads of the test may observe an event. */
    private static final long OBSERVATION_SLACK_MS = 100;

    private static final long NEVER_MS = Long.MAX_VALUE / 2;

    /** The time after a client's close from which no attempt for it may begin. */
    private static final long LEAVE_LIMIT_MS = 100;

    /** The earliest time of SIGKILL after SIGTERM: the longest deadline of the routes and 0.7 s. */
    private static final long KILL_AFTER_MS = 1_500 + 700;

    /** One run in so many has a crowd of clients that send too much, stop half way, or leave. */
    private static final int CROWD_SEED_INTERVAL = 3;

    private static final int CROWD_SIZE = 40;

    /** The first of the ids of the crowd. */
    private static final long CROWD_IDS = 1L << 40;

    /** How discovery treats calls and watches. */
    private enum DiscoveryBehavior {
        HEALTHY,
        OVERLOADED,
        SILENT,
        SLOW
    }

    /** A pod with its state on the list and its faults. */
    private final class FaultyPod {
        final int index;
        volatile String lifecycle = "ready";
        volatile long notReadySinceMs = NEVER_MS;

        /** When discovery first sent a list to the sidecar in which the pod is not ready. */
        volatile long removalSentMs = NEVER_MS;

        volatile int resetsLeft;
        volatile int errorsLeft;
        volatile long responseDelayMs;

        FaultyPod(int index) throws IOException {
            this.index = index;
            startPod(this::handleQuery);
        }

        boolean handleQuery(String query, DataOutputStream out) throws Exception {
            long nowMs = elapsedMs();
            Matcher matcher = STATEMENT.matcher(query);
            if (!matcher.find()) {
                addViolation("unknown statement " + query);
                return false;
            }
            long propagatedMs =
                    Math.min(
                            Math.min(removalSentMs, notReadySinceMs + PROPAGATION_DEADLINE_MS),
                            discoveryMovedMs > notReadySinceMs
                                    ? discoveryMovedMs + PROPAGATION_DEADLINE_AFTER_MOVE_MS
                                    : NEVER_MS);
            if (!lifecycle.equals("ready")
                    && nowMs > propagatedMs + STOP_SENDING_GRACE_MS + OBSERVATION_SLACK_MS) {
                addViolation(
                        "drain: p"
                                + index
                                + " got "
                                + matcher.group(2)
                                + " "
                                + (nowMs - propagatedMs)
                                + " ms after the change was known");
            }
            if (lifecycle.equals("draining")) {
                return sendError(out, "53300");
            }
            checkNotLeft(matcher.group(2), nowMs);
            recordExecution(matcher.group(2), matcher.group(3), nowMs);
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
            return sendRow(out, matcher.group(1));
        }

        /** Reports an attempt for a client that has closed its connection. */
        private void checkNotLeft(String reqId, long nowMs) {
            long leftMs = leftById.getOrDefault(reqId, NEVER_MS);
            if (nowMs > leftMs + LEAVE_LIMIT_MS + OBSERVATION_SLACK_MS) {
                addViolation(
                        "lost: "
                                + reqId
                                + " was sent "
                                + (nowMs - leftMs)
                                + " ms after its client had left");
            }
        }

        /** Reports a put that ran again outside of its dedup scope or after its dedup window. */
        private void recordExecution(String reqId, String route, long nowMs) {
            long[] first = firstExecutions.computeIfAbsent(reqId, i -> new long[] {nowMs, index});
            if (route.equals("put")
                    && (first[1] % 2 != index % 2
                            || nowMs > first[0] + DEDUP_WINDOW_MS + OBSERVATION_SLACK_MS)) {
                addViolation(
                        "duplicate: put "
                                + reqId
                                + " at p"
                                + first[1]
                                + ", "
                                + (nowMs - first[0])
                                + " ms later at p"
                                + index);
            }
        }
    }

    private final long seed;
    private final SplittableRandom random;
    private final List<FaultyPod> faultyPods = new ArrayList<>();

    /** Time and pod index of the first execution, by the ID of the req. */
    private final Map<String, long[]> firstExecutions = new ConcurrentHashMap<>();

    /** When the client of a req closed its connection, by the ID of the req. */
    private final Map<String, Long> leftById = new ConcurrentHashMap<>();

    private final AtomicLong crowdIds = new AtomicLong(CROWD_IDS);

    /** Draws what was added to the runs, so that the other faults of a seed stay the same. */
    private final SplittableRandom additionalRandom;

    private volatile long terminatedMs = NEVER_MS;

    /** The IDs of the reqs that wait for their answers. */
    private final Set<String> unansweredIds = ConcurrentHashMap.newKeySet();

    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final Queue<String> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger servedCount = new AtomicInteger();
    private final AtomicInteger reqCount = new AtomicInteger();
    private final AtomicInteger reqNumbers = new AtomicInteger();
    private final long startMs = System.nanoTime() / 1_000_000;
    private volatile DiscoveryBehavior discoveryBehavior = DiscoveryBehavior.HEALTHY;
    private volatile int listVersion = 7;
    private volatile long outageEndMs;
    private volatile long discoveryMovedMs = -NEVER_MS;

    /**
     * When the sidecar was started again after it was killed; {@link #NEVER_MS} during the restart,
     * negative before.
     */
    private volatile long restartedMs = -NEVER_MS;

    private volatile boolean stopped;

    SoakRun(long seed) throws IOException {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.additionalRandom = new SplittableRandom(~seed);
        this.folder = Files.createTempDirectory("soak");
        this.discovery = new FakeServer(this::serveList);
        for (int i = 0; i < POD_COUNT; i++) {
            faultyPods.add(new FaultyPod(i));
        }
    }

    private long elapsedMs() {
        return System.nanoTime() / 1_000_000 - startMs;
    }

    private void addViolation(String description) {
        violations.add("seed " + seed + " at " + elapsedMs() + " ms: " + description);
    }

    private void addEvent(String description) {
        events.add(elapsedMs() + " " + description);
    }

    private void serveList(DataInputStream in, DataOutputStream out) throws Exception {
        readLine(in);
        while (!readLine(in).isEmpty()) {}
        if (discoveryBehavior == DiscoveryBehavior.OVERLOADED) {
            Thread.sleep(1_000);
            out.writeBytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        out.writeBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        int sentVersion = -1;
        while (true) {
            while (discoveryBehavior == DiscoveryBehavior.SILENT) {
                Thread.sleep(20);
            }
            int version = listVersion;
            if (version == sentVersion) {
                writeChunks(out, "\n");
            } else {
                String[] entries =
                        faultyPods.stream()
                                .filter(p -> !p.lifecycle.equals("gone"))
                                .map(p -> podJson(p.index, 1, p.lifecycle))
                                .toArray(String[]::new);
                List<FaultyPod> notReady =
                        faultyPods.stream().filter(p -> !p.lifecycle.equals("ready")).toList();
                writeChunks(out, podListJson(version, true, entries) + "\n");
                notReady.stream()
                        .filter(p -> !p.lifecycle.equals("ready"))
                        .forEach(p -> p.removalSentMs = Math.min(p.removalSentMs, elapsedMs()));
                sentVersion = version;
            }
            for (int i = 0; i < 20 && listVersion == sentVersion; i++) {
                Thread.sleep(50);
            }
        }
    }

    private void writeChunks(DataOutputStream out, String text) throws Exception {
        int chunkLength = discoveryBehavior == DiscoveryBehavior.SLOW ? 150 : text.length();
        for (int i = 0; i < text.length(); i += chunkLength) {
            String chunk = text.substring(i, Math.min(text.length(), i + chunkLength));
            out.writeBytes(Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n");
            Thread.sleep(discoveryBehavior == DiscoveryBehavior.SLOW ? 200 : 0);
        }
    }

    /** Changes a pod's state on the list and, with it, the pod's behaviour. */
    private void setLifecycle(FaultyPod pod, String lifecycle) {
        if (pod.notReadySinceMs == NEVER_MS && !lifecycle.equals("ready")) {
            pod.notReadySinceMs = elapsedMs();
        }
        pod.lifecycle = lifecycle;
        if (lifecycle.equals("ready")) {
            pod.notReadySinceMs = NEVER_MS;
            pod.removalSentMs = NEVER_MS;
        }
        listVersion++;
        addEvent("p" + pod.index + " " + lifecycle);
    }

    /** Lets a pod drain, end, listen again before it is listed, and be listed as ready again. */
    private void restartPod(FaultyPod pod, long drainingMs, long goneMs, long unlistedMs) {
        startDaemonThread(
                () -> {
                    setLifecycle(pod, "draining");
                    Thread.sleep(drainingMs);
                    setLifecycle(pod, "gone");
                    pods.get(pod.index).close();
                    Thread.sleep(goneMs);
                    pods.get(pod.index).listenAgain();
                    addEvent("p" + pod.index + " listens");
                    Thread.sleep(unlistedMs);
                    setLifecycle(pod, "ready");
                });
    }

    /** Causes a fault of random kind, or lets discovery recover. */
    private void injectFault() throws Exception {
        FaultyPod pod = faultyPods.get(random.nextInt(POD_COUNT));
        int kind = random.nextInt(12);
        addEvent("event " + kind);
        switch (kind) {
            case 0, 1, 2 -> {
                long readyCount =
                        faultyPods.stream().filter(o -> o.lifecycle.equals("ready")).count();
                if (pod.lifecycle.equals("ready") && readyCount > POD_COUNT / 2) {
                    restartPod(
                            pod,
                            500 + random.nextInt(1_500),
                            2_000 + random.nextInt(5_000),
                            1_000 + random.nextInt(4_000));
                }
            }
            case 3 -> {
                pod.responseDelayMs = 0;
                discoveryBehavior =
                        elapsedMs() > outageEndMs ? DiscoveryBehavior.SLOW : discoveryBehavior;
            }
            case 4, 5 ->
                    discoveryBehavior =
                            elapsedMs() > outageEndMs
                                    ? DiscoveryBehavior.HEALTHY
                                    : discoveryBehavior;
            case 6 -> closeConnections(discovery);
            case 7 -> closeConnections(platform);
            case 8 -> suspendProcess();
            case 9 -> {
                FakeServer oldDiscovery = discovery;
                discovery = new FakeServer(this::serveList);
                writeConfig(256);
                discoveryMovedMs = elapsedMs();
                sendSighup();
                startDaemonThread(
                        () -> {
                            Thread.sleep(1_500);
                            oldDiscovery.close();
                        });
            }
            case 10 -> {
                pod.resetsLeft += random.nextInt(4);
                pod.errorsLeft += random.nextInt(4);
                pod.responseDelayMs = random.nextInt(3) == 0 ? 50 + random.nextInt(400) : 0;
                closeConnections(pods.get(pod.index));
            }
            default -> {
                if (restartedMs < 0 && random.nextBoolean()) {
                    restartedMs = NEVER_MS;
                    process.destroyForcibly().waitFor();
                    startSidecar();
                    restartedMs = elapsedMs();
                }
            }
        }
    }

    /**
     * Lets discovery accept connections without sending any list, for longer than it takes until
     * changes count as known.
     */
    private void beginOutage() throws IOException {
        discoveryBehavior =
                random.nextBoolean() ? DiscoveryBehavior.OVERLOADED : DiscoveryBehavior.SILENT;
        outageEndMs = elapsedMs() + 8_000 + random.nextInt(4_000);
        addEvent("discovery is " + discoveryBehavior + " until " + outageEndMs);
        closeConnections(discovery);
    }

    /**
     * Suspends the sidecar for 140 ms, which is less than the 150 ms that it has to allow for, up
     * to three times, with a reload of the configuration between some.
     */
    private void suspendProcess() throws Exception {
        for (int i = additionalRandom.nextInt(3); i >= 0; i--) {
            signal("STOP");
            Thread.sleep(140);
            if (additionalRandom.nextBoolean()) {
                signal("HUP");
            }
            signal("CONT");
            Thread.sleep(300 + additionalRandom.nextInt(300));
        }
    }

    /** Sends a signal; the process may have ended just before. */
    @Override
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    /** Runs one client of the crowd after the other, until the faults end. */
    private void runCrowd(SplittableRandom crowdRandom) throws Exception {
        while (elapsedMs() < FAULT_PHASE_MS) {
            try (Client client = new Client()) {
                runCrowdClient(client, crowdRandom);
            } catch (IOException e) {
                // The sidecar may close such a connection.
            }
            Thread.sleep(crowdRandom.nextInt(200));
        }
    }

    private void runCrowdClient(Client client, SplittableRandom crowdRandom) throws Exception {
        var out = client.socket.getOutputStream();
        switch (crowdRandom.nextInt(4)) {
            case 0 -> {
                byte[] query = queryMessage(crowdSql());
                out.write(query, 0, query.length / 2);
                client.isClosedByPeer();
            }
            case 1 -> {
                startDaemonThread(() -> client.socket.getInputStream().skip(Long.MAX_VALUE));
                for (int i = 0; i < 2_000; i++) {
                    out.write(queryMessage(""));
                }
            }
            default -> {
                List<String> ids = new ArrayList<>();
                var batch = new ByteArrayOutputStream();
                for (int i = 1 + crowdRandom.nextInt(200); i > 0; i--) {
                    String sql = crowdSql();
                    batch.write(queryMessage(sql));
                    ids.add(sql.replaceAll(".*id=([0-9a-f]+).*", "$1"));
                }
                if (crowdRandom.nextBoolean()) {
                    batch.write(new byte[] {'X', 0, 0, 0, 4});
                }
                out.write(batch.toByteArray());
                Thread.sleep(crowdRandom.nextInt(150));
                client.close();
                long leftMs = elapsedMs();
                ids.forEach(id -> leftById.put(id, leftMs));
            }
        }
    }

    private String crowdSql() {
        return String.format(
                "SELECT payload FROM entries WHERE ref = 'c' /* id=%016x,c=get,t=acme,d=1400 */",
                crowdIds.incrementAndGet());
    }

    private void runClient(SplittableRandom clientRandom) throws Exception {
        while (!stopped && terminatedMs == NEVER_MS) {
            try (Client client = new Client()) {
                while (!stopped) {
                    sendReq(client, clientRandom);
                    Thread.sleep(5 + clientRandom.nextInt(30));
                }
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
    }

    private void sendReq(Client client, SplittableRandom clientRandom) throws IOException {
        int number = reqNumbers.incrementAndGet();
        String id = String.format("%016x", number);
        boolean isPut = clientRandom.nextInt(4) == 0;
        long clientTimeoutMs = 300 + clientRandom.nextInt(1_100);
        String ref = "v" + number;
        long sentMs = elapsedMs();
        reqCount.incrementAndGet();
        String answer;
        unansweredIds.add(id);
        try {
            answer =
                    client.execute(
                            isPut
                                    ? "INSERT INTO entries (ref) VALUES ('"
                                            + ref
                                            + "') /* id="
                                            + id
                                            + ",c=put,t=acme,d="
                                            + clientTimeoutMs
                                            + ",k=5c0f */"
                                    : "SELECT payload FROM entries WHERE ref = '"
                                            + ref
                                            + "' /* id="
                                            + id
                                            + ",c=get,t=acme,d="
                                            + clientTimeoutMs
                                            + " */");
        } catch (IOException e) {
            // The kill of the process closes its connections.
            // After SIGTERM a close may cross a req.
            if (!stopped && sentMs > restartedMs && sentMs < terminatedMs) {
                addViolation("lost: no answer to " + id + ": " + e);
            }
            throw e;
        } finally {
            unansweredIds.remove(id);
        }
        long tookMs = elapsedMs() - sentMs;
        if (tookMs > clientTimeoutMs + ANSWER_SLACK_MS + OBSERVATION_SLACK_MS) {
            addViolation(
                    "lost: " + id + " answered after " + tookMs + " of " + clientTimeoutMs + " ms");
        }
        if (answer.startsWith("T")) {
            servedCount.incrementAndGet();
            if (!answer.equals("TD" + ref + "C")) {
                addViolation("lost: " + id + " was answered " + answer);
            }
        } else if (isPut && answer.startsWith("E53300") && firstExecutions.containsKey(id)) {
            addViolation("refused: put " + id + " may have run");
        }
    }

    /** Runs until the process has ended, and returns the violations. */
    List<String> run() throws Exception {
        try {
            startSidecar();
            for (int i = 0; i < CLIENT_COUNT; i++) {
                SplittableRandom clientRandom = random.split();
                startDaemonThread(() -> runClient(clientRandom));
            }
            for (int i = 0; seed % CROWD_SEED_INTERVAL == 0 && i < CROWD_SIZE; i++) {
                SplittableRandom crowdRandom = additionalRandom.split();
                startDaemonThread(() -> runCrowd(crowdRandom));
            }
            long outageStartMs = 1_000 + random.nextInt(4_000);
            while (elapsedMs() < FAULT_PHASE_MS) {
                Thread.sleep(100 + random.nextInt(900));
                if (outageEndMs == 0 && elapsedMs() > outageStartMs) {
                    beginOutage();
                }
                injectFault();
            }
            addEvent("recovery begins");
            discoveryBehavior = DiscoveryBehavior.HEALTHY;
            faultyPods.forEach(
                    p -> {
                        p.resetsLeft = 0;
                        p.errorsLeft = 0;
                        p.responseDelayMs = 0;
                    });
            Thread.sleep(RECOVERY_MS);
            servedCount.set(0);
            reqCount.set(0);
            Thread.sleep(2_000);
            if (servedCount.get() < 0.9 * reqCount.get() || servedCount.get() < 20) {
                addViolation(
                        "not recovered: "
                                + servedCount
                                + " of "
                                + reqCount
                                + " served "
                                + RECOVERY_MS
                                + " ms after the last fault");
            }
            // Clients go on using their connections until the kill, at its earliest.
            terminatedMs = elapsedMs();
            process.destroy();
            process.waitFor(KILL_AFTER_MS, TimeUnit.MILLISECONDS);
            if (process.isAlive()) {
                unansweredIds.forEach(
                        id -> addViolation("lost: no answer to " + id + " by the kill"));
            }
            stopped = true;
            if (!process.waitFor(4_000 - KILL_AFTER_MS, TimeUnit.MILLISECONDS)) {
                addViolation("still running 4 s after SIGTERM");
            }
            logText().lines().filter(l -> l.contains("fault")).limit(3).forEach(this::addViolation);
        } finally {
            stopped = true;
            stopAll();
        }
        return List.copyOf(violations);
    }

    /**
     * Returns the injected faults, and the lines that the sidecar logged about them, for the
     * diagnosis of a violation.
     */
    String eventLog() {
        return String.join("\n", events)
                + "\n"
                + logText()
                        .lines()
                        .filter(l -> l.matches(".* (discovery|reload|life|clients): .*"))
                        .reduce("", (a, b) -> a + "\n" + b);
    }
}
