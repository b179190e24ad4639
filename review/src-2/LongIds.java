import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A few clients send requests whose id is long, though shorter than the protocol's limit on values.
 * Does the process last, and do the usual clients get their answers? Without the trouble their ids
 * are as long as everybody's.
 */
final class LongIds {
    private static final int ID_BYTES = 60_000;
    private static final int BAD_CLIENTS = 12;
    private static final int MOST_BAD_REQUESTS = 2_000;
    private static final int USUAL_CLIENTS = 20;
    private static final int SECONDS = 20;

    private static final ConcurrentHashMap<String, Double> OPEN = new ConcurrentHashMap<>();
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger BAD_SENT = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Rig.limitTime(60);
        Rig.Discovery discovery = new Rig.Discovery();
        Rig.Platform platform = new Rig.Platform("41 3 live 1.0");
        for (int i = 0; i < 14; i++) {
            discovery.add(
                    new Rig.Pod("s-" + i, "abc".substring(i % 3, i % 3 + 1), 41, 40, 15_000) {
                        @Override
                        byte[] answer(Rig.Query query) throws Exception {
                            Rig.sleep(workMs);
                            String id = query.field("id");
                            return Rig.row(Rig.ascii(id.substring(0, 16)));
                        }
                    });
        }
        Config config = new Config();
        config.port = Rig.freePort();
        config.discovery = "subscribe";
        config.drainGraceMs = 250;
        config.hedges = false;
        config.discoveryAddress = discovery.address();
        config.platformAddress = platform.address();
        config.news = "{\"build\":41,\"stage\":3,\"phase\":\"live\",\"cap\":1.0,\"age_ms\":9000}";
        config.known = discovery.list();
        config.grades =
                Config.grade("seat-view", 1500, 5000, 1, "safe", "all", 0)
                        + ","
                        + Config.grade("plan-save", 1200, 3000, 3, "safe", "all", 0)
                        + ","
                        + Config.grade("enrol-confirm", 600, 2500, 3, "keyed", "zone", 1500);
        Rig.Sidecar sidecar = new Rig.Sidecar("n0", config.port, config.toString());
        sidecar.start();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            Rig.thread(() -> usualClient(sidecar));
        }
        Rig.sleep(5_000);
        Rig.say("%d usual requests answered; now the clients with the ids begin", ANSWERED.get());
        String padding = Rig.TROUBLE ? "7".repeat(ID_BYTES - 16) : "";
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Rig.thread(() -> badClient(config.port, padding));
        }
        for (int i = 0; i < 10 * SECONDS && sidecar.process.isAlive(); i++) {
            Rig.sleep(100);
        }
        boolean died = !sidecar.process.isAlive();
        Rig.say(
                "%d usual requests answered, %d requests of the other clients sent",
                ANSWERED.get(), BAD_SENT.get());
        if (died) {
            Rig.say("the process has ended by itself, with exit code %d", sidecar.process.exitValue());
            OPEN.forEach((id, sentMs) -> Rig.record("no answer to %s, sent at %.1f", id, sentMs));
            Rig.say("usual requests in hand then, never answered: %d", OPEN.size());
            String log = java.nio.file.Files.readString(sidecar.log).strip();
            Rig.say("last line of its log: %s", log.substring(log.lastIndexOf('\n') + 1));
        } else if (ANSWERED.get() < 500) {
            Rig.say("too little was served for a verdict");
            Rig.end(2);
        }
        Rig.say(died ? "the rule was broken" : "the rule held");
        Rig.end(died ? 1 : 0);
    }

    private static void usualClient(Rig.Sidecar sidecar) throws Exception {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Rig.Client client = new Rig.Client(sidecar.port);
        while (sidecar.process.isAlive()) {
            Rig.sleep(random.nextInt(200));
            String id = String.format("%016x", random.nextLong());
            OPEN.put(id, Rig.nowMs());
            Rig.Answer answer =
                    client.ask(
                            Rig.select(
                                    String.format("%016x", random.nextLong()),
                                    id,
                                    "seat-view",
                                    4000));
            Rig.record("%s answered %s", id, answer.kind());
            if (!answer.kind().equals("closed")) {
                OPEN.remove(id);
                ANSWERED.incrementAndGet();
            }
        }
    }

    private static void badClient(int port, String padding) throws Exception {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Rig.Client client = new Rig.Client(port);
        while (BAD_SENT.incrementAndGet() <= MOST_BAD_REQUESTS) {
            String id = String.format("%016x", random.nextLong()) + padding;
            String key = String.format("%016x", random.nextLong());
            Rig.Answer answer = client.ask(Rig.insert(key, id, "enrol-confirm", 2000, key));
            Rig.record("%s.. (%d bytes) answered %s", id.substring(0, 16), id.length(), answer.kind());
        }
        BAD_SENT.decrementAndGet();
        client.close();
    }
}
