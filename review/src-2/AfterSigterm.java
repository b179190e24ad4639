import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart while some pods hang through the whole of it. Clients send on the connections that
 * stay open: a request whose first part came before the sidecar stopped taking new ones, and its rest
 * a moment later. Does every request get its answer before the process ends? Without the trouble no
 * pod hangs.
 */
final class AfterSigterm {
    private static final int PODS = 12;
    private static final int HUNG = 2;
    private static final int CLIENTS = 60;
    private static final int LONGEST_MS = 3000;

    /** When SIGKILL comes at the earliest after SIGTERM. */
    private static final int KILL_MS = LONGEST_MS + 700;

    /** When the first part of the requests that count is sent, after SIGTERM. */
    private static final int BEGIN_MS = 450;

    /** When the rest of them is sent. */
    private static final int COMPLETE_MS = 720;

    private static volatile boolean hanging;

    /** A request: when it was sent, and what came. */
    private static final class Request {
        final String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
        volatile double sentMs;
        volatile String answer = "nothing";
        volatile double answeredMs;
    }

    private static final Map<String, String> REACHED = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        Rig.limitTime(60);
        Rig.Discovery discovery = new Rig.Discovery();
        Rig.Platform platform = new Rig.Platform("41 3 live 1.0");
        for (int i = 0; i < PODS; i++) {
            boolean hangs = i < HUNG;
            discovery.add(
                    new Rig.Pod("s-" + i, "a", 41, 300, 15_000) {
                        @Override
                        byte[] answer(Rig.Query query) throws Exception {
                            REACHED.put(query.field("id"), id);
                            Rig.record("%s gets %s", id, query.field("id"));
                            if (hangs && hanging) {
                                Rig.sleep(8000);
                                return null;
                            }
                            return super.answer(query);
                        }
                    });
        }
        Config config = new Config();
        config.port = Rig.freePort();
        config.zones = "\"a\"";
        config.hedges = false;
        config.discoveryAddress = discovery.address();
        config.platformAddress = platform.address();
        config.news = "{\"build\":41,\"stage\":3,\"phase\":\"live\",\"cap\":1.0,\"age_ms\":9000}";
        config.known = discovery.list();
        config.grades =
                Config.grade("view", 1500, LONGEST_MS, 1, "safe", "all", 0)
                        + ","
                        + Config.grade("confirm", 1500, LONGEST_MS, 3, "unsafe", "all", 0);
        Rig.Sidecar sidecar = new Rig.Sidecar("n0", config.port, config.toString());
        sidecar.start();

        // The usual traffic for a while.
        AtomicInteger served = new AtomicInteger();
        List<Rig.Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Rig.Client(config.port));
        }
        List<Thread> threads = new ArrayList<>();
        double untilMs = Rig.nowMs() + 6000;
        for (Rig.Client client : clients) {
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    while (Rig.nowMs() < untilMs) {
                                        Rig.sleep(ThreadLocalRandom.current().nextInt(800));
                                        if (send(client, "view", new Request())
                                                .answer.equals("row")) {
                                            served.incrementAndGet();
                                        }
                                    }
                                } catch (Exception e) {
                                    Rig.record("client: %s", e);
                                }
                            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Rig.say("%d answered with a row before the restart", served.get());
        if (served.get() < 200) {
            Rig.end(2);
        }

        double termMs = Rig.nowMs();
        hanging = Rig.TROUBLE;
        sidecar.signal("TERM");
        List<Request> again = new ArrayList<>();
        threads.clear();
        for (Rig.Client client : clients) {
            Request request = new Request();
            again.add(request);
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    byte[] message = message("confirm", request);
                                    Rig.sleep(termMs + BEGIN_MS - Rig.nowMs());
                                    client.out.write(message, 0, message.length / 2);
                                    Rig.sleep(termMs + COMPLETE_MS - Rig.nowMs());
                                    client.out.write(
                                            message,
                                            message.length / 2,
                                            message.length - message.length / 2);
                                    request.sentMs = Rig.nowMs();
                                    Rig.record("%s sent whole", request.id);
                                    receive(client, request);
                                } catch (java.io.IOException e) {
                                    request.answer = request.sentMs == 0 ? "not sent" : "closed";
                                    request.answeredMs = Rig.nowMs();
                                } catch (Exception e) {
                                    request.answer = "not sent";
                                }
                            });
            thread.start();
            threads.add(thread);
        }
        Rig.sleep(termMs + KILL_MS - Rig.nowMs());
        boolean ended = !sidecar.process.isAlive();
        Rig.say("%d ms after SIGTERM the process %s", KILL_MS, ended ? "has ended" : "is running");
        if (!ended) {
            sidecar.signal("KILL");
        }
        for (Thread thread : threads) {
            thread.join(2000);
        }
        int lost = 0;
        int taken = 0;
        for (Request request : again) {
            boolean reached = REACHED.containsKey(request.id);
            boolean answered =
                    !request.answer.equals("nothing")
                            && !request.answer.equals("closed")
                            && !request.answer.equals("not sent");
            taken += reached ? 1 : 0;
            Rig.record(
                    "%s sent %.1f ms after SIGTERM, reached %s: %s %.1f ms after SIGTERM",
                    request.id,
                    request.sentMs - termMs,
                    REACHED.getOrDefault(request.id, "no pod"),
                    request.answer,
                    request.answeredMs - termMs);
            if (reached && !answered) {
                lost++;
            }
        }
        Rig.say(
                "of %d requests complete %d ms after SIGTERM, %d were read and sent on to a pod; %d of"
                        + " these never got an answer",
                again.size(), COMPLETE_MS, taken, lost);
        Rig.say(lost > 0 ? "the rule was broken" : "the rule held");
        Rig.end(lost > 0 ? 1 : 0);
    }

    private static byte[] message(String route, Request request) {
        String key = String.format("%016x", ThreadLocalRandom.current().nextLong());
        String text =
                route.equals("view")
                        ? Rig.select(key, request.id, route, LONGEST_MS)
                        : Rig.insert(key, request.id, route, LONGEST_MS, "");
        return Rig.message('Q', Rig.ascii(text + "\0"));
    }

    private static void receive(Rig.Client client, Request request) throws Exception {
        Rig.Answer answer = client.receive();
        request.answer = answer.kind();
        request.answeredMs = Rig.nowMs();
        Rig.record("%s answered %s", request.id, answer.kind());
    }

    private static Request send(Rig.Client client, String route, Request request)
            throws Exception {
        client.out.write(message(route, request));
        request.sentMs = Rig.nowMs();
        Rig.record("%s sent", request.id);
        receive(client, request);
        return request;
    }
}
