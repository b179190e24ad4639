package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that each request that is taken after SIGTERM is answered before the process ends. */
@Timeout(60)
class ShutdownAnswersTest extends SidecarTestBase {
    /** The earliest time of SIGKILL after SIGTERM, where no timeout is longer than 3 s. */
    private static final int KILL_MS = 3_700;

    /** When the first half of the first request on each connection is sent, after SIGTERM. */
    private static final int BEGIN_MS = 450;

    private static final int POD_COUNT = 12;
    private static final int CLIENT_COUNT = 60;

    private volatile boolean hanging;
    private volatile int hungPodCount = 3;
    private long terminatedNs;

    ShutdownAnswersTest() throws IOException {}

    private void start(int timeoutMs) throws Exception {
        for (int i = 0; i < POD_COUNT; i++) {
            int podIndex = i;
            startPod(
                    (query, out) -> {
                        Thread.sleep(hanging && podIndex < hungPodCount ? 8_000 : 30);
                        return sendRow(out, "v");
                    });
        }
        configReplacements.put(
                "{\"name\":\"put\"", routeJson("once", "unsafe") + ",{\"name\":\"put\"");
        configReplacements.put("\"aimNs\":500000000", "\"aimNs\":400000000");
        configReplacements.put(
                "\"deadlineNs\":1500000000", "\"deadlineNs\":" + timeoutMs + "000000");
        startSidecar(1024);
    }

    private void terminate() {
        hanging = true;
        terminatedNs = System.nanoTime();
        process.destroy();
    }

    private void sleepUntil(int afterTerminationMs) throws InterruptedException {
        long nowNs = System.nanoTime() - terminatedNs;
        TimeUnit.NANOSECONDS.sleep(afterTerminationMs * 1_000_000L - nowNs);
    }

    private String requestSql(String route, int timeoutMs) {
        return route.equals("put")
                ? insertSql("v", timeoutMs)
                : selectSql("1", timeoutMs).replace("c=get", "c=" + route);
    }

    /** Reads one answer: a complete row, or an error. */
    private static String readAnswer(Client client) {
        var messages = new StringBuilder();
        try {
            for (String m = client.readMessage(); !m.equals("Z"); m = client.readMessage()) {
                messages.append(m);
            }
        } catch (IOException e) {
            // After a fatal error the connection ends without ReadyForQuery.
        }
        String answer = messages.toString();
        return answer.equals("TDvC") || answer.startsWith("E") ? answer : "no answer: " + answer;
    }

    /** Reads the answers on all connections; none may be missing, and the process ends in time. */
    private void assertAllAnswered(List<Client> clients, int answersPerClient) throws Exception {
        List<String> missing = new ArrayList<>();
        for (Client client : clients) {
            for (int i = 0; i < answersPerClient; i++) {
                String answer = readAnswer(client);
                if (answer.startsWith("no answer")) {
                    missing.add("client " + clients.indexOf(client) + ", " + i + ": " + answer);
                }
            }
        }
        assertTrue(missing.isEmpty(), missing.size() + " without answer, such as " + missing);
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        long endedMs = (System.nanoTime() - terminatedNs) / 1_000_000;
        assertTrue(endedMs < KILL_MS, "ended " + endedMs + " ms after SIGTERM");
    }

    /**
     * Sends the first half of a request on each connection while the sidecar still takes new ones,
     * and later the rest and more requests.
     *
     * @param routes the routes of the connections, in turn
     */
    private void completeAfterSigterm(
            List<String> routes, int requestsPerClient, int timeoutMs, int firstMs, int stepMs)
            throws Exception {
        List<Client> clients = new ArrayList<>();
        List<byte[]> bytes = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            Client client = new Client();
            assertEquals("TDvC", client.execute(selectSql("1", 700)));
            clients.add(client);
            var text = new java.io.ByteArrayOutputStream();
            for (int n = 0; n < requestsPerClient; n++) {
                text.write(queryMessage(requestSql(routes.get(i % routes.size()), timeoutMs)));
            }
            bytes.add(text.toByteArray());
        }
        terminate();
        sleepUntil(BEGIN_MS);
        for (int i = 0; i < CLIENT_COUNT; i++) {
            clients.get(i).socket.getOutputStream().write(bytes.get(i), 0, 40);
        }
        for (int i = 0; i < CLIENT_COUNT; i++) {
            sleepUntil(firstMs + i * stepMs);
            byte[] all = bytes.get(i);
            clients.get(i).socket.getOutputStream().write(all, 40, all.length - 40);
        }
        assertAllAnswered(clients, requestsPerClient);
    }

    // Requests that were complete after the first 0.5 s were sent on, and had no answer when the
    // process ended.
    @Test
    void requestsCompletedAfterSigtermAreAnswered() throws Exception {
        start(3_000);
        completeAfterSigterm(List.of("once", "get", "put"), 1, 3_000, 720, 0);
    }

    // With them all that waited behind them on their connections were lost.
    @Test
    void requestsBehindOthersAreAnsweredAtTheEnd() throws Exception {
        start(3_000);
        hungPodCount = POD_COUNT;
        completeAfterSigterm(List.of("once", "get"), 20, 3_000, 620, 0);
    }

    // The same where all timeouts are short, so that the end comes before the rest of the request.
    @Test
    void requestsCompletedLateAreAnsweredWhereTimeoutsAreShort() throws Exception {
        start(800);
        completeAfterSigterm(List.of("once"), 1, 800, 1_000, 30);
    }

    // A client may wait for longer than any route's timeout, but the process ends before that.
    @Test
    void requestsThatOutlastTheProcessAreAnswered() throws Exception {
        start(3_000);
        hungPodCount = POD_COUNT;
        completeAfterSigterm(List.of("once", "get", "put"), 2, 20_000, 480, 0);
    }

    // What a client sends far ahead is held undecoded behind its requests in hand, and was dropped.
    @Test
    void manyRequestsBehindOthersAreAnswered() throws Exception {
        start(3_000);
        hungPodCount = POD_COUNT;
        var bytes = new java.io.ByteArrayOutputStream();
        for (int i = 0; i < 3_000; i++) {
            bytes.write(queryMessage(requestSql("once", 20_000)));
        }
        try (Client client = new Client()) {
            terminate();
            sleepUntil(300);
            client.socket.getOutputStream().write(bytes.toByteArray());
            assertAllAnswered(List.of(client), 3_000);
        }
    }

    // The second message began too late to time out before the end, and was closed unanswered. It
    // may repeat an id that has run, so it must not be told that it had no effect.
    @Test
    void incompleteMessageFailsAtTheEnd() throws Exception {
        start(3_000);
        hungPodCount = POD_COUNT;
        try (Client client = new Client()) {
            terminate();
            sleepUntil(400);
            client.sendQuery(requestSql("once", 20_000));
            sleepUntil(2_000);
            byte[] second = queryMessage(requestSql("once", 1_000));
            client.socket.getOutputStream().write(second, 0, 40);
            assertEquals("EXX000", readAnswer(client));
            String answer = readAnswer(client);
            assertTrue(answer.startsWith("E"), answer);
            assertFalse(answer.startsWith("E57P03") || answer.startsWith("E53300"), answer);
        }
    }

    // The shutdown counted from when the event loop got round to it, and ended after SIGKILL.
    @Test
    void shutdownEndsInTimeWhereTheProcessIsHeldUp() throws Exception {
        start(3_000);
        hungPodCount = POD_COUNT;
        try (Client client = new Client()) {
            client.sendQuery(requestSql("once", 20_000));
            terminate();
            // By then the signal is known to the process.
            sleepUntil(50);
            signal("STOP");
            sleepUntil(450);
            signal("CONT");
            assertAllAnswered(List.of(client), 1);
        }
    }

    // A second SIGTERM changes nothing.
    @Test
    void secondSigtermLeavesRequestsTheirAnswers() throws Exception {
        start(3_000);
        hungPodCount = POD_COUNT;
        try (Client client = new Client()) {
            client.sendQuery(requestSql("once", 2_000));
            terminate();
            sleepUntil(700);
            signal("TERM");
            assertAllAnswered(List.of(client), 1);
        }
    }
}
