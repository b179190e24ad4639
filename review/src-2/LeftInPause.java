import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The sidecar is held up for 0.15 s at most, again and again. In some of these times clients send a
 * long request and close. Is it sent on after they have left? Without the trouble nothing holds the
 * sidecar up, and the clients do the same.
 */
final class LeftInPause {
    private static final int PODS = 14;
    private static final int ROUNDS = 60;
    private static final int LEAVING = 12;
    private static final int HELD_UP_MS = 147;
    private static final int MOST_HELD_UP_MS = 150;

    /** When an attempt may begin at the latest after the close, with the slack on sockets. */
    private static final int LEFT_MS = 100 + 50;

    private static final int VALUE_BYTES = 60_000;

    /** When the client's close had returned, by the id of its request. */
    private static final Map<String, Double> CLOSED_MS = new ConcurrentHashMap<>();

    /** Attempts by pod: the id and the time of the first byte. */
    private record Attempt(String id, double firstMs, int round) {}

    private static final List<Attempt> ATTEMPTS =
            java.util.Collections.synchronizedList(new ArrayList<>());

    private static volatile int round;
    private static final AtomicInteger SERVED = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Rig.limitTime(100);
        Rig.Discovery discovery = new Rig.Discovery();
        Rig.Platform platform = new Rig.Platform("41 3 live 1.0");
        for (int i = 0; i < PODS; i++) {
            discovery.add(
                    new Rig.Pod("s-" + i, "abc".substring(i % 3, i % 3 + 1), 41, 30, 15_000) {
                        @Override
                        byte[] answer(Rig.Query query) throws Exception {
                            ATTEMPTS.add(new Attempt(query.field("id"), query.firstMs(), round));
                            return super.answer(query);
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
        for (int i = 0; i < 20; i++) {
            Rig.thread(() -> usualClient(config.port));
        }
        Rig.sleep(4_000);

        // A shell of its own sends the signals, so that they take no time to start.
        Process shell =
                new ProcessBuilder(
                                "/bin/sh",
                                "-c",
                                "while read -r s; do kill -$s " + sidecar.process.pid() + "; echo; done")
                        .start();
        OutputStream signals = shell.getOutputStream();
        BufferedReader done = new BufferedReader(new InputStreamReader(shell.getInputStream()));
        List<Integer> counted = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            round = i;
            List<Rig.Client> clients = new ArrayList<>();
            for (int k = 0; k < LEAVING; k++) {
                clients.add(new Rig.Client(config.port));
            }
            Rig.sleep(60 + ThreadLocalRandom.current().nextInt(40));
            CyclicBarrier together = new CyclicBarrier(LEAVING + 1);
            CountDownLatch left = new CountDownLatch(LEAVING);
            for (Rig.Client client : clients) {
                Rig.thread(() -> sendAndLeave(client, together, left));
            }
            double beginMs = Rig.nowMs();
            if (Rig.TROUBLE) {
                signals.write(Rig.ascii("STOP\n"));
                signals.flush();
                done.readLine();
            }
            together.await();
            if (Rig.TROUBLE) {
                Rig.sleep(beginMs + HELD_UP_MS - Rig.nowMs());
                signals.write(Rig.ascii("CONT\n"));
                signals.flush();
                done.readLine();
            }
            double heldUpMs = Rig.nowMs() - beginMs;
            left.await();
            if (heldUpMs <= MOST_HELD_UP_MS) {
                counted.add(i);
            }
            Rig.record("round %d: held up for %.1f ms at most", i, Rig.TROUBLE ? heldUpMs : 0);
            Rig.sleep(400);
        }
        signals.close();
        Rig.sleep(500);

        int late = 0;
        int sentOn = 0;
        double last = 0;
        for (Attempt attempt : List.copyOf(ATTEMPTS)) {
            Double closedMs = CLOSED_MS.get(attempt.id());
            if (closedMs == null || !counted.contains(attempt.round())) {
                continue;
            }
            double afterMs = attempt.firstMs() - closedMs;
            sentOn++;
            Rig.record("%s reached a pod %.1f ms after its client's close", attempt.id(), afterMs);
            if (afterMs > LEFT_MS) {
                late++;
                last = Math.max(last, afterMs);
            }
        }
        Rig.say(
                "%d usual requests served; %d of %d rounds counted, with %d clients that left in each",
                SERVED.get(), counted.size(), ROUNDS, LEAVING);
        if (SERVED.get() < 500 || counted.size() < ROUNDS / 3) {
            Rig.say("too little for a verdict");
            Rig.end(2);
        }
        Rig.say(
                "%d attempts for clients that had left or were leaving; %d began more than %d ms after"
                        + " the close, the last %.1f ms after",
                sentOn, late, LEFT_MS, last);
        Rig.say(late > 0 ? "the rule was broken" : "the rule held");
        Rig.end(late > 0 ? 1 : 0);
    }

    private static void sendAndLeave(
            Rig.Client client, CyclicBarrier together, CountDownLatch left) throws Exception {
        try {
            String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
            byte[] request =
                    Rig.message(
                            'Q',
                            Rig.ascii(
                                    "INSERT INTO entries (ref, payload) VALUES ('"
                                            + id
                                            + "', '\\x"
                                            + "9f".repeat(VALUE_BYTES)
                                            + "') RETURNING payload /* id="
                                            + id
                                            + ",c=plan-save,d=2500 */\0"));
            together.await();
            client.out.write(request);
            client.close();
            CLOSED_MS.put(id, Rig.nowMs());
            Rig.record("%s sent, and its client closed", id);
        } finally {
            left.countDown();
        }
    }

    private static void usualClient(int port) throws Exception {
        Rig.Client client = new Rig.Client(port);
        while (true) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            Rig.sleep(random.nextInt(200));
            String key = String.format("%016x", random.nextLong());
            String id = String.format("%016x", random.nextLong());
            if (client.ask(Rig.select(key, id, "seat-view", 4000)).kind().equals("row")) {
                SERVED.incrementAndGet();
            }
        }
    }
}
