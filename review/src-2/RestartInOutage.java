import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lists are pushed. Two of three sidecars are killed; a pod begins to drain, discovery goes down, and
 * the sidecars start again with the list that they last had. Do they send to the draining pod later
 * than the grace after their start? Without the trouble discovery stays up.
 */
final class RestartInOutage {
    private static final int SIDECARS = 3;
    private static final int PODS = 12;
    private static final double RATE = 30;
    private static final int GRACE_MS = 1000;

    /** What the page on sockets adds to every time limit. */
    private static final int SLACK_MS = 50;

    /** How long the pod drains, from the site file. */
    private static final int DRAIN_MS = 3000;

    private static final int KILLED = 2;

    public static void main(String[] args) throws Exception {
        Rig.limitTime(100);
        List<Rig.Query> atDrained = new CopyOnWriteArrayList<>();
        Rig.Discovery discovery = new Rig.Discovery();
        Rig.Platform platform = new Rig.Platform("41 3 live 1.0");
        Rig.Pod drained = null;
        for (int i = 0; i < PODS; i++) {
            boolean drains = i == 0;
            Rig.Pod pod =
                    new Rig.Pod("s-" + i, "a", 41, 50, 30_000) {
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
            config.zones = "\"a\"";
            config.uncounted = 1;
            config.drainGraceMs = GRACE_MS;
            config.discoveryAddress = discovery.address();
            config.platformAddress = platform.address();
            config.news =
                    "{\"build\":41,\"stage\":3,\"phase\":\"live\",\"cap\":1.0,\"age_ms\":9000}";
            config.known = discovery.list();
            config.grades =
                    Config.grade("stock-check", 1000, 2500, 1, "safe", "all", 0)
                            + ","
                            + Config.grade("order-place", 2000, 8000, 5, "keyed", "all", 15000);
            sidecars[i] = new Rig.Sidecar(config.name, config.port, config.toString());
            sidecars[i].start();
        }
        AtomicInteger[] answers = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        for (Rig.Sidecar sidecar : sidecars) {
            for (int i = 0; i < 10; i++) {
                Rig.thread(() -> client(sidecar.port, RATE / 10, answers));
            }
        }
        Rig.sleep(6_000);
        for (int i = 0; i < KILLED; i++) {
            sidecars[i].signal("KILL");
        }
        Rig.sleep(100);
        drained.lifecycle = "draining";
        discovery.changed(drained);
        double drainMs = Rig.nowMs();
        Rig.say("%s begins to drain", drained.id);
        Rig.sleep(300);
        if (Rig.TROUBLE) {
            Rig.say("discovery goes down");
            discovery.stopListening();
            discovery.resetOpen();
        }
        double toldMs = Rig.nowMs();
        for (int i = 0; i < KILLED; i++) {
            int number = i;
            Rig.thread(sidecars[number]::start);
        }
        Rig.sleep(drainMs + DRAIN_MS - Rig.nowMs());
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
                "%d queries began at the draining pod later than %d ms after the new processes began,"
                        + " the last %.0f ms after",
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
                                        "stock-check",
                                        2000));
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
