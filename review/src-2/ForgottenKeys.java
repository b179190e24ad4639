import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Keys are one-way. On a long day most keys are new. Does a key that the build on trial has
 * answered go to the earlier build while that one stands? Without the trouble all keys are drawn
 * from as many as the site has.
 */
final class ForgottenKeys {
    private static final int EARLIER_PODS = 8;
    private static final int TRIAL_PODS = 2;
    private static final int POPULAR_KEYS = 300;
    private static final int SITE_KEYS = 9_500;
    private static final int CLIENTS = 80;
    private static final double RATE = 700;

    /** The time from an answer to the client's next request by which the sidecar has it for sure. */
    private static final int APART_MS = 300;

    private static volatile boolean trial;
    private static final AtomicLong NEW_KEYS = new AtomicLong(1L << 40);

    /** When a client had the first answer of the build on trial, by key. */
    private static final Map<String, Double> ANSWERED_MS = new ConcurrentHashMap<>();

    /** When a client sent a request, by its id. */
    private static final Map<String, Double> SENT_MS = new ConcurrentHashMap<>();

    private static final AtomicInteger BROKEN = new AtomicInteger();
    private static final AtomicInteger AT_TRIAL = new AtomicInteger();
    private static final AtomicInteger[] ANSWERS = {
        new AtomicInteger(), new AtomicInteger(), new AtomicInteger()
    };

    public static void main(String[] args) throws Exception {
        Rig.limitTime(110);
        int prefillMs = args.length > 0 ? Integer.parseInt(args[0]) : 55_000;
        int trialMs = 25_000;
        Rig.Discovery discovery = new Rig.Discovery();
        Rig.Platform platform = new Rig.Platform("41 3 live 1.0");
        for (int i = 0; i < EARLIER_PODS; i++) {
            discovery.add(pod("s-" + i, 41));
        }
        Config config = new Config();
        config.port = Rig.freePort();
        config.oneWay = true;
        config.uncounted = 1;
        config.drainGraceMs = 1000;
        config.memoryMb = 128;
        config.zones = "\"a\"";
        config.discoveryAddress = discovery.address();
        config.platformAddress = platform.address();
        config.news = "{\"build\":41,\"stage\":3,\"phase\":\"live\",\"cap\":1.0,\"age_ms\":9000}";
        config.known = discovery.list();
        config.grades =
                Config.grade("stock-check", 1000, 2500, 1, "safe", "all", 0)
                        + ","
                        + Config.grade("order-place", 2000, 8000, 5, "keyed", "all", 15000);
        Rig.Sidecar sidecar = new Rig.Sidecar("n0", config.port, config.toString());
        sidecar.start();
        for (int i = 0; i < CLIENTS; i++) {
            Rig.thread(() -> client(sidecar.port));
        }
        Rig.sleep(prefillMs);
        Rig.say("%d answered with a row so far", ANSWERS[0].get());
        for (int i = 0; i < TRIAL_PODS; i++) {
            Rig.Pod pod = pod("t-" + i, 42);
            pod.startedAtMs = System.currentTimeMillis();
            discovery.add(pod);
        }
        platform.set("42 0 testing 0.07");
        Rig.sleep(3000);
        platform.set("42 1 testing 0.28");
        trial = true;
        Rig.sleep(trialMs);
        Rig.say(
                "%d answered with a row, %d refused, %d otherwise; %d tries at the build on trial",
                ANSWERS[0].get(), ANSWERS[1].get(), ANSWERS[2].get(), AT_TRIAL.get());
        if (ANSWERS[0].get() < 0.5 * RATE * (prefillMs + trialMs) / 1000
                || ANSWERED_MS.size() < 20) {
            Rig.say("too little was served for a verdict");
            Rig.end(2);
        }
        Rig.say(
                "%d keys were answered by the build on trial; %d tries with such a key went to the"
                        + " earlier build",
                ANSWERED_MS.size(), BROKEN.get());
        Rig.say(BROKEN.get() > 0 ? "the rule was broken" : "the rule held");
        Rig.end(BROKEN.get() > 0 ? 1 : 0);
    }

    private static Rig.Pod pod(String id, int build) throws Exception {
        return new Rig.Pod(id, "a", build, 15, 30_000) {
            @Override
            byte[] answer(Rig.Query query) throws Exception {
                if (build == 42) {
                    AT_TRIAL.incrementAndGet();
                } else if (trial) {
                    Double answered = ANSWERED_MS.get(query.key());
                    Double sent = SENT_MS.get(query.field("id"));
                    if (answered != null && sent != null && sent > answered + APART_MS) {
                        BROKEN.incrementAndGet();
                        Rig.record(
                                "broken: key %s, answered by build 42 at %.1f, sent by its client"
                                        + " again at %.1f as %s, reached %s of build 41",
                                query.key(), answered, sent, query.field("id"), this.id);
                    }
                }
                return super.answer(query);
            }
        };
    }

    private static void client(int port) throws Exception {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Rig.Client client = null;
        double dueMs = Rig.nowMs();
        while (true) {
            dueMs -= Math.log(1 - random.nextDouble()) * 1000 * CLIENTS / RATE;
            Rig.sleep(dueMs - Rig.nowMs());
            String id = String.format("%016x", random.nextLong());
            boolean popular = random.nextDouble() < (trial ? 0.5 : 0.1);
            long number =
                    popular
                            ? random.nextInt(POPULAR_KEYS)
                            : Rig.TROUBLE
                                    ? NEW_KEYS.incrementAndGet()
                                    : POPULAR_KEYS + random.nextInt(SITE_KEYS - POPULAR_KEYS);
            String key = String.format("%016x", number * 0x9E3779B97F4A7C15L);
            try {
                client = client == null ? new Rig.Client(port) : client;
                SENT_MS.put(id, Rig.nowMs());
                Rig.Answer answer = client.ask(Rig.select(key, id, "stock-check", 2000));
                boolean refused =
                        answer.kind().equals("53300") || answer.kind().equals("57P03");
                ANSWERS[answer.kind().equals("row") ? 0 : refused ? 1 : 2].incrementAndGet();
                if (popular && trial && answer.kind().equals("row")) {
                    Rig.record("%s key %s answered %s", id, key, answer.value());
                    if (answer.value().contains(" 42 ")) {
                        ANSWERED_MS.putIfAbsent(key, Rig.nowMs());
                    }
                }
                SENT_MS.remove(id);
            } catch (java.io.IOException e) {
                client = null;
            }
        }
    }
}
