import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Under load the configuration file is replaced, with another address of discovery, and SIGHUP sent.
 * The new discovery is crowded: for 6 s it answers no call. 2.9 s after SIGHUP a pod begins to drain.
 * Is the pod still sent to later than the grace after it counts as told, 4 s after SIGHUP? Without the
 * trouble the new discovery answers at once.
 */
final class DrainAfterHup {
    private static final int SIDECARS = 3;
    private static final int PODS = 12;
    private static final double RATE = 60;
    private static final int GRACE_MS = 250;

    /** What the page on sockets adds to every time limit. */
    private static final int SLACK_MS = 50;

    /** When what discovery has to tell counts as told, after SIGHUP. */
    private static final int TOLD_MS = 4000;

    private static final int CROWDED_MS = 6000;
    private static final int DRAIN_BEGINS_MS = 2900;

    /** How long the pod drains, from the site file. */
    private static final int DRAIN_MS = 2000;

    public static void main(String[] args) throws Exception {
        Rig.limitTime(100);
        List<Rig.Query> atDrained = new CopyOnWriteArrayList<>();
        Rig.Discovery discovery = new Rig.Discovery();
        Rig.Discovery next = new Rig.Discovery();
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
            next.add(pod);
        }
        Config[] configs = new Config[SIDECARS];
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
                    Config.grade("seat-view", 1500, 5000, 1, "safe", "all", 0)
                            + ","
                            + Config.grade("enrol-confirm", 600, 2500, 3, "keyed", "zone", 1500);
            config.discovery = "subscribe";
            config.hedges = false;
            configs[i] = config;
            sidecars[i] = new Rig.Sidecar(config.name, config.port, config.toString());
            sidecars[i].start();
        }
        AtomicInteger[] answers = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        for (Rig.Sidecar sidecar : sidecars) {
            for (int i = 0; i < 20; i++) {
                Rig.thread(() -> client(sidecar.port, RATE / 20, answers));
            }
        }
        Rig.sleep(8_000);
        next.crowded(Rig.TROUBLE);
        for (int i = 0; i < SIDECARS; i++) {
            configs[i].discoveryAddress = next.address();
            java.nio.file.Files.writeString(sidecars[i].config, configs[i].toString());
        }
        for (Rig.Sidecar sidecar : sidecars) {
            sidecar.signal("HUP");
        }
        double hupMs = Rig.nowMs();
        Rig.say("SIGHUP; the new discovery %s", Rig.TROUBLE ? "is crowded" : "answers");
        discovery.stopListening();
        Rig.sleep(hupMs + 1500 - Rig.nowMs());
        discovery.resetOpen();
        Rig.sleep(hupMs + DRAIN_BEGINS_MS - Rig.nowMs());
        drained.lifecycle = "draining";
        next.changed(drained);
        double toldMs = Rig.TROUBLE ? hupMs + TOLD_MS : Rig.nowMs();
        Rig.say("%s begins to drain", drained.id);
        Rig.sleep(hupMs + DRAIN_BEGINS_MS + DRAIN_MS - Rig.nowMs());
        Rig.say("%s ends", drained.id);
        drained.stopListening();
        drained.resetOpen();
        drained.lifecycle = "gone";
        next.changed(drained);
        Rig.sleep(hupMs + CROWDED_MS - Rig.nowMs());
        next.crowded(false);
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
                "%d queries began at the draining pod later than %d ms after it counts as told, the"
                        + " last %.0f ms after",
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
                                        "seat-view",
                                        4000));
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
