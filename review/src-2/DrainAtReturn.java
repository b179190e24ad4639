import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lists are pushed. Discovery is down for 8 s; shortly before it is back a pod begins to drain. Is
 * the pod still sent to later than the grace after the return? Without the trouble discovery stays
 * up, and the drain is told when it begins.
 */
final class DrainAtReturn {
    private static final int SIDECARS = 3;
    private static final int PODS = 12;
    private static final double RATE = 120;
    private static final int GRACE_MS = 500;

    /** What the page on sockets adds to every time limit. */
    private static final int SLACK_MS = 50;

    private static final int OUTAGE_MS = 8000;
    private static final int DRAIN_BEFORE_RETURN_MS = 200;
    private static final int DRAIN_MS = 1500;

    public static void main(String[] args) throws Exception {
        Rig.limitTime(100);
        List<Rig.Query> atDrained = new CopyOnWriteArrayList<>();
        Rig.Discovery discovery = new Rig.Discovery();
        Rig.Platform platform = new Rig.Platform("41 3 live 1.0");
        Rig.Pod drained = null;
        for (int i = 0; i < PODS; i++) {
            boolean drains = i == 0;
            Rig.Pod pod =
                    new Rig.Pod("s-" + i, "abc".substring(i % 3, i % 3 + 1), 41, 50, 30_000) {
                        @Override
                        byte[] answer(Rig.Query query) throws Exception {
                            if (drains) {
                                atDrained.add(query);
                                Rig.record("%s gets %s", id, query.field("id"));
                            }
                            return super.answer(query);
                        }
                    };
            drained = drains ? pod : drained;
            discovery.add(pod);
        }
        Rig.Sidecar[] sidecars = new Rig.Sidecar[SIDECARS];
        for (int i = 0; i < SIDECARS; i++) {
            Config config = new Config();
            config.name = "n" + i;
            config.port = Rig.freePort();
            config.rank = i;
            config.balancers = SIDECARS;
            config.zone = "abc".substring(i, i + 1);
            config.drainGraceMs = GRACE_MS;
            config.discoveryAddress = discovery.address();
            config.platformAddress = platform.address();
            config.news =
                    "{\"build\":41,\"stage\":3,\"phase\":\"live\",\"cap\":1.0,\"age_ms\":9000}";
            config.known = discovery.list();
            config.grades =
                    Config.grade("table-lookup", 1000, 3000, 1, "safe", "all", 0)
                            + ","
                            + Config.grade("table-booking", 500, 1500, 3, "keyed", "zone", 1500);
            sidecars[i] = new Rig.Sidecar(config.name, config.port, config.toString());
            sidecars[i].start();
        }
        AtomicInteger[] answers = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        for (Rig.Sidecar sidecar : sidecars) {
            for (int i = 0; i < 40; i++) {
                Rig.thread(() -> client(sidecar.port, RATE / 40, answers));
            }
        }
        Rig.sleep(10_000);
        if (Rig.TROUBLE) {
            Rig.say("discovery goes down for %d ms", OUTAGE_MS);
            discovery.goDown();
        }
        Rig.sleep(OUTAGE_MS - DRAIN_BEFORE_RETURN_MS);
        drained.lifecycle = "draining";
        discovery.changed(drained);
        double toldMs = Rig.nowMs();
        Rig.say("%s begins to drain", drained.id);
        if (Rig.TROUBLE) {
            Rig.sleep(DRAIN_BEFORE_RETURN_MS);
            discovery.comeBack();
            toldMs = discovery.returnedMs;
            Rig.say("discovery is back");
        }
        Rig.sleep(DRAIN_MS - (Rig.TROUBLE ? DRAIN_BEFORE_RETURN_MS : 0));
        Rig.say("%s ends", drained.id);
        drained.stopListening();
        drained.resetOpen();
        drained.lifecycle = "gone";
        discovery.changed(drained);
        Rig.sleep(3000);
        double limitMs = toldMs + GRACE_MS + SLACK_MS;
        int late = 0;
        double last = 0;
        for (Rig.Query query : atDrained) {
            if (query.firstMs() > limitMs) {
                late++;
                last = Math.max(last, query.firstMs() - toldMs);
            }
        }
        Rig.say(
                "%d answered with a row, %d refused, %d otherwise",
                answers[0].get(), answers[1].get(), answers[2].get());
        if (answers[0].get() < 300) {
            Rig.say("too little was served for a verdict");
            Rig.end(2);
        }
        Rig.say(
                "%d queries began at the draining pod later than %d ms after it was told, the last"
                        + " %.0f ms after",
                late, GRACE_MS + SLACK_MS, last);
        Rig.say(late > 0 ? "the rule was broken" : "the rule held");
        Rig.end(late > 0 ? 1 : 0);
    }

    private static void client(int port, double rate, AtomicInteger[] answers) throws Exception {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Rig.Client client = null;
        while (true) {
            Rig.sleep(-Math.log(1 - random.nextDouble()) * 1000 / rate);
            String id = String.format("%016x", random.nextLong());
            try {
                client = client == null ? new Rig.Client(port) : client;
                Rig.Answer answer =
                        client.ask(
                                Rig.select(
                                        String.format("%016x", random.nextLong()),
                                        id,
                                        "table-lookup",
                                        2500));
                boolean refused =
                        answer.kind().equals("53300") || answer.kind().equals("57P03");
                answers[answer.kind().equals("row") ? 0 : refused ? 1 : 2].incrementAndGet();
                Rig.record("%s answered %s", id, answer.kind());
            } catch (java.io.IOException e) {
                client = null;
                Rig.record("%s %s", id, e);
            }
        }
    }
}
