import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients stop in the middle of a request and stay, while others go on as usual. Checks that each
 * request of the usual clients gets its final answer.
 */
public final class StoppedClients {
    static final double RATE = 25;
    static final double SECONDS = 30;
    static final int SOCKETS = 256;
    static final int STOPPED_CLIENTS = 200;
    static final double STOP_AFTER_MS = 6000;

    public static void main(String[] args) {
        Kit.play(() -> play(args));
    }

    private static void play(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("stopped-clients");
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger closedTwice = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger unconnected = new AtomicInteger();
        AtomicInteger stoppedInTime = new AtomicInteger();
        AtomicInteger stoppedLate = new AtomicInteger();
        Random work = new Random(1);
        try (Kit.Record record = new Kit.Record(args[0])) {
            Kit.Behaviour behaviour =
                    (pod, connection, sql) -> {
                        String id = Kit.field(sql, "id");
                        double workMs;
                        synchronized (work) {
                            workMs = 80 + 200 * work.nextDouble();
                        }
                        record.line("%s runs %s for %.0f ms", pod.id, id, workMs);
                        pod.sendLater(connection, workMs, Kit.row(("made-for-" + id).getBytes(StandardCharsets.US_ASCII)));
                    };
            List<Kit.Pod> pods = new ArrayList<>();
            for (int i = 0; i < 14; i++) {
                pods.add(new Kit.Pod("p" + i, Enrol.ZONES[i % 3], "127.0.0." + (10 + i), 0, behaviour));
            }
            String list = Kit.list(pods);
            Kit.Discovery discovery = new Kit.Discovery("127.0.0.2", list);
            Kit.Platform platform = new Kit.Platform("127.0.0.3");
            try (Kit.Sidecar sidecar =
                    new Kit.Sidecar(folder, "127.0.0.4", SOCKETS, discovery, platform, list, Enrol.SETTINGS)) {
                sidecar.awaitReady();
                ConcurrentLinkedDeque<Kit.Client> idle = new ConcurrentLinkedDeque<>();
                double startMs = Kit.nowMs();
                if (trouble) {
                    Kit.daemon(
                            () -> {
                                Kit.sleepMs(STOP_AFTER_MS);
                                for (int i = 0; i < STOPPED_CLIENTS; i++) {
                                    long n = 1_000_000 + i;
                                    Kit.daemon(() -> stopInTheMiddle(sidecar, n, record, stoppedInTime, stoppedLate));
                                    Kit.sleepMs(5);
                                }
                            });
                }
                double nextMs = startMs;
                Random arrivals = new Random(2);
                for (long n = 1; nextMs < startMs + SECONDS * 1000; n++) {
                    Kit.sleepMs(nextMs - Kit.nowMs());
                    nextMs += -Math.log(1 - arrivals.nextDouble()) * 1000 / RATE;
                    double u = arrivals.nextDouble();
                    int route = u < 0.65 ? 0 : u < 0.83 ? 1 : 2;
                    int d = (int) ((0.4 + 0.6 * arrivals.nextDouble()) * Enrol.TIMEOUT_MS[route]);
                    String id = Kit.id(n);
                    String sql = Enrol.sql(route, id, Kit.id(10_000 + arrivals.nextInt(5000)), d, "9f03");
                    // Half of the clients are new: they ask once, on a connection of their own.
                    boolean once = arrivals.nextDouble() < 0.5;
                    Kit.Client held = once ? null : idle.pollFirst();
                    Kit.daemon(
                            () -> {
                                Kit.Client client = held;
                                double sentMs = Kit.nowMs();
                                if (client == null) {
                                    try {
                                        client = new Kit.Client(sidecar);
                                    } catch (java.io.IOException e) {
                                        unconnected.incrementAndGet();
                                        record.line("client of %s can't connect: %s", id, e);
                                        return;
                                    }
                                }
                                sent.incrementAndGet();
                                client.send(Kit.query(sql));
                                record.line("client sends %s, d=%d%s", id, d, held == null ? ", new connection" : "");
                                // The time of the request, and the half second in which it only earns nothing.
                                Kit.Answer answer = client.read(d + 550 - (Kit.nowMs() - sentMs));
                                if (answer.kind.equals("closed")) {
                                    // The end of a connection may cross a request: it is sent once more.
                                    record.line("client of %s is closed, and sends it again on a new connection", id);
                                    client.close();
                                    client = new Kit.Client(sidecar);
                                    client.send(Kit.query(sql));
                                    answer = client.read(d + 550 - (Kit.nowMs() - sentMs));
                                }
                                record.line("client gets %s: %s", id, answer);
                                switch (answer.kind) {
                                    case "served" -> served.incrementAndGet();
                                    case "refused" -> refused.incrementAndGet();
                                    case "failed" -> failed.incrementAndGet();
                                    // Closed a second time: failed, since it may not have been read.
                                    case "closed" -> closedTwice.incrementAndGet();
                                    default -> {
                                        lost.incrementAndGet();
                                        record.line("LOST: %s (%s after %.0f ms, d=%d)", id, answer, Kit.nowMs() - sentMs, d);
                                    }
                                }
                                if (once || answer.kind.equals("none") || answer.kind.equals("closed")) {
                                    client.close();
                                } else {
                                    idle.addFirst(client);
                                }
                            });
                }
                Thread.sleep(6000);
            }
            Kit.takeLog(folder, record);
            record.summary(
                    "%d requests: %d served, %d refused, %d failed, %d closed twice, %d without a final answer (%d could not connect); "
                            + "clients that stopped: %d got an error or close within 3 s, %d did not",
                    sent.get(), served.get(), refused.get(), failed.get(), closedTwice.get(), lost.get(), unconnected.get(),
                    stoppedInTime.get(), stoppedLate.get());
        }
        if (sent.get() < 300 || served.get() < 100) {
            System.exit(2);
        }
        System.exit(lost.get() > 0 ? 1 : 0);
    }

    /** Sends the first half of a request and stays. */
    private static void stopInTheMiddle(
            Kit.Sidecar sidecar, long n, Kit.Record record, AtomicInteger inTime, AtomicInteger late) throws Exception {
        double connectedMs = Kit.nowMs();
        try (Kit.Client client = new Kit.Client(sidecar)) {
            byte[] whole = Kit.query(Enrol.sql(1, Kit.id(n), Kit.id(n), 3000, "9f03"));
            client.send(Arrays.copyOf(whole, whole.length / 2));
            record.line("client %d stops in the middle of its request", n);
            Kit.Answer answer = client.read(20_000);
            double afterMs = Kit.nowMs() - connectedMs;
            boolean isInTime = !answer.kind.equals("none") && afterMs <= 3050;
            (isInTime ? inTime : late).incrementAndGet();
            record.line("client %d, which stopped, gets %s after %.0f ms", n, answer, afterMs);
        }
    }
}
