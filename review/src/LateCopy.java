import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Pods send a second copy of some answers 5 ms after the first. Checks that every served value is
 * the one that a pod made for that request.
 */
public final class LateCopy {
    /** The sidecar's requests per second; the pages allow 240. */
    static final double RATE = 200;

    static final double SECONDS = 45;
    static final double COPY_SHARE = 0.05;
    static final double COPY_AFTER_MS = 5;

    /** One way between two data centres; the pages give 1.4 to 2.6 ms. */
    static final double CROSS_ZONE_MS = 2;

    static final String[] ZONES = {"qro-norte", "qro-sur", "celaya"};

    static final String SETTINGS =
            """
            {"rank":0,"balancers":3,"zone":"qro-norte","zones":["qro-norte","qro-sur","celaya"],
             "discovery":"automatic","stepNs":5000000,"weights":"off",
             "grades":[
              {"name":"table-lookup","aimNs":1000000000,"deadlineNs":3000000000,"worth":1.0,"repeat":"safe",
               "keyScope":"all","windowNs":3000000000,"lateWorth":0.0,"streamed":false},
              {"name":"table-booking","aimNs":500000000,"deadlineNs":1500000000,"worth":3.0,"repeat":"keyed",
               "keyScope":"zone","windowNs":1500000000,"lateWorth":0.0,"streamed":false}],
             "tenants":[],
             "familyInfo":{"control":"majority","replaceMode":"side_by_side","ayesNeeded":2,"votesToRevert":1,
              "holdVotes":0,"bakeNs":3000000000,"movesAfterNs":0,"voteStandsNs":4000000000,"voteWaitNs":1200000000,
              "votesPerS":100.0,"newsPeriodNs":2000000000,"tallyEveryNs":0,"sample":0.1,"complaintShare":0.3,
              "steps":[0.03,0.12,0.4,1.0],"mostShares":[0.051,0.2,0.68,1.0],"windowNs":3000000000,"uncounted":3.0,
              "countedBy":"all","shielded":1,"oneWay":false,"staleBuildPrice":0.3,"damagePrice":6.0},
             "contract":{"answerSlackNs":20000000,"stopSendingWithinNs":500000000,"coldShare":0.33,
              "warmAfterNs":4800000000,"fallMultiple":2.0,"fallNs":1000000000,"askWithinNs":10000000000},
             "policyLimits":{"maxAttempts":6,"maxOpen":20000,"cancel":true,"probes":true,"secondCopies":true,
              "retryAfter":true,"maxRetryAfterNs":1000000000,"streamsPerConn":1,"connectTimeoutNs":250000000,
              "connIdleNs":15000000000},
             "prices":{"crossZone":0.04,"waste":0.05,"probe":0.01,"lateFail":0.08},
             "reporting":{"source":"off"}}
            """;

    public static void main(String[] args) {
        Kit.play(() -> play(args));
    }

    private static void play(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("late-copy");
        AtomicInteger copies = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        Random random = new Random(1);
        try (Kit.Record record = new Kit.Record(args[0])) {
            Kit.Behaviour behaviour =
                    (pod, connection, sql) -> {
                        String id = Kit.field(sql, "id");
                        boolean lookup = Kit.field(sql, "c").equals("table-lookup");
                        double workMs;
                        boolean copied;
                        synchronized (random) {
                            workMs = lookup ? 100 + 80 * random.nextDouble() : 62 + 48 * random.nextDouble();
                            copied = trouble && random.nextDouble() < COPY_SHARE;
                        }
                        byte[] answer = Kit.row(("made-for-" + id).getBytes(StandardCharsets.US_ASCII));
                        int number = connection.queries;
                        record.line("%s runs %s for %.0f ms%s", pod.id, id, workMs, copied ? ", with a copy" : "");
                        pod.sendLater(connection, workMs, answer);
                        if (copied) {
                            Kit.TIMER.schedule(
                                    () -> {
                                        // Only when nothing else waits on the connection.
                                        if (connection.queries == number) {
                                            copies.incrementAndGet();
                                            record.line("%s sends the copy of %s", pod.id, id);
                                            pod.sendLater(connection, 0, answer);
                                        }
                                    },
                                    (long) ((workMs + COPY_AFTER_MS) * 1e6),
                                    TimeUnit.NANOSECONDS);
                        }
                    };
            List<Kit.Pod> pods = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                String zone = ZONES[i % 3];
                pods.add(
                        new Kit.Pod("p" + i, zone, "127.0.0." + (10 + i), zone.equals("qro-norte") ? 0 : CROSS_ZONE_MS, behaviour));
            }
            String list = Kit.list(pods);
            Kit.Discovery discovery = new Kit.Discovery("127.0.0.2", list);
            Kit.Platform platform = new Kit.Platform("127.0.0.3");
            try (Kit.Sidecar sidecar =
                    new Kit.Sidecar(folder, "127.0.0.4", 1024, discovery, platform, list, SETTINGS)) {
                sidecar.awaitReady();
                ConcurrentLinkedDeque<Kit.Client> idle = new ConcurrentLinkedDeque<>();
                AtomicInteger open = new AtomicInteger();
                double startMs = Kit.nowMs();
                double nextMs = startMs;
                Random arrivals = new Random(2);
                for (long n = 1; nextMs < startMs + SECONDS * 1000; n++) {
                    Kit.sleepMs(nextMs - Kit.nowMs());
                    nextMs += -Math.log(1 - arrivals.nextDouble()) * 1000 / RATE;
                    boolean lookup = arrivals.nextDouble() < 0.73;
                    int d = (int) ((0.4 + 0.6 * arrivals.nextDouble()) * (lookup ? 3000 : 1500));
                    String id = Kit.id(n);
                    String ref = Kit.id(1000 + arrivals.nextInt(3000));
                    String sql =
                            lookup
                                    ? "SELECT payload FROM entries WHERE ref = '" + ref + "' /* id=" + id + ",c=table-lookup,d=" + d + " */"
                                    : "INSERT INTO entries (ref, payload) VALUES ('" + ref + "', '\\x9f03') RETURNING payload /* id="
                                            + id + ",c=table-booking,d=" + d + ",k=" + Kit.id(n + 5_000_000) + " */";
                    if (idle.isEmpty() && open.get() > 300) {
                        continue;
                    }
                    Kit.Client held = idle.pollFirst();
                    Kit.daemon(
                            () -> {
                                Kit.Client client = held;
                                if (client == null) {
                                    open.incrementAndGet();
                                    client = new Kit.Client(sidecar);
                                }
                                sent.incrementAndGet();
                                record.line("client sends %s", id);
                                client.send(Kit.query(sql));
                                Kit.Answer answer = client.read(d + 550);
                                record.line("client gets %s: %s", id, answer);
                                boolean own = answer.text.equals("made-for-" + id);
                                if (answer.kind.equals("served") && !own) {
                                    foreign.incrementAndGet();
                                    record.line("FOREIGN: %s is served with %s", id, answer.text);
                                }
                                (answer.kind.equals("served") ? served : answer.kind.equals("refused") ? refused : failed)
                                        .incrementAndGet();
                                if (answer.kind.equals("closed") || answer.kind.equals("none")) {
                                    client.close();
                                    open.decrementAndGet();
                                } else {
                                    idle.addFirst(client);
                                }
                            });
                }
                Thread.sleep(3600);
            }
            Kit.takeLog(folder, record);
            record.summary(
                    "%d requests, %d served, %d refused, %d failed or unanswered; %d second copies; %d served with the value of another request",
                    sent.get(), served.get(), refused.get(), failed.get(), copies.get(), foreign.get());
        }
        if (served.get() < sent.get() / 2 || sent.get() < 1000) {
            System.exit(2);
        }
        System.exit(foreign.get() > 0 ? 1 : 0);
    }
}
