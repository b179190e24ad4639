package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that nothing is sent on for a client that has closed its connection. */
@Timeout(60)
class ClientLeaveTest extends SidecarTestBase {
    /** The time after a client's close from which no attempt for it may begin. */
    private static final long LEAVE_LIMIT_MS = 100;

    /** How late the threads of the test may observe an attempt. */
    private static final long OBSERVATION_SLACK_MS = 50;

    /** How long the pods hold a request before they turn it away. */
    private static final long TURN_AWAY_AFTER_MS = 350;

    private static final int POD_COUNT = 14;
    private static final int MAX_SOCKETS = 1024;
    private static final Pattern ID = Pattern.compile("id=([0-9a-f]+)");

    /** An attempt that a pod has received. */
    private record Attempt(String id, int podIndex, long atMs) {}

    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();

    ClientLeaveTest() throws IOException {}

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** Starts pods that record each attempt, and then behave as given. */
    private void startPods(PodBehavior behavior) throws IOException {
        for (int i = 0; i < POD_COUNT; i++) {
            int podIndex = i;
            startPod(
                    (query, out) -> {
                        Matcher id = ID.matcher(query);
                        assertTrue(id.find(), query);
                        attempts.add(new Attempt(id.group(1), podIndex, nowMs()));
                        return behavior.respond(query, out);
                    });
        }
    }

    private static boolean turnAway(String query, DataOutputStream out) throws Exception {
        Thread.sleep(TURN_AWAY_AFTER_MS);
        return sendError(out, "53300");
    }

    /** Starts a sidecar whose routes leave time for further attempts. */
    private void startPatientSidecar() throws Exception {
        configReplacements.put("\"aimNs\":500000000", "\"aimNs\":2000000000");
        configReplacements.put("\"deadlineNs\":1500000000", "\"deadlineNs\":5000000000");
        startSidecar(MAX_SOCKETS);
    }

    /** Writes queries at once on one connection, with what comes behind them. */
    private Client pipeline(int count, Supplier<String> query, byte[] behind) throws IOException {
        Client client = new Client();
        var bytes = new ByteArrayOutputStream();
        for (int i = 0; i < count; i++) {
            bytes.write(queryMessage(query.get()));
        }
        bytes.write(behind);
        startDaemonThread(() -> client.socket.getOutputStream().write(bytes.toByteArray()));
        return client;
    }

    /** Checks that no attempt has begun after the time allowed for one client's close. */
    private void assertNothingSentAfter(long closedMs, String what) throws InterruptedException {
        Thread.sleep(3 * TURN_AWAY_AFTER_MS);
        long limitMs = closedMs + LEAVE_LIMIT_MS + OBSERVATION_SLACK_MS;
        List<Attempt> late = attempts.stream().filter(a -> a.atMs() > limitMs).toList();
        long latestMs = late.stream().mapToLong(a -> a.atMs() - closedMs).max().orElse(0);
        assertTrue(
                late.isEmpty(),
                what + ": " + late.size() + " attempts after the close, up to " + latestMs + " ms");
    }

    private void leaveAfterPipelining(int count, Supplier<String> query, boolean reset)
            throws Exception {
        Client client = pipeline(count, query, new byte[0]);
        Thread.sleep(60);
        if (reset) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
        assertNothingSentAfter(nowMs(), count + " requests" + (reset ? ", reset" : ""));
    }

    // Above a number of pipelined requests the connection was not read any more, so that its end
    // was not seen: all requests in hand got further attempts after their client had left.
    @Test
    void nothingIsSentOnForClientThatLeftWithManyRequestsUnread() throws Exception {
        startPods(ClientLeaveTest::turnAway);
        startPatientSidecar();
        for (int count : new int[] {1, 31, 40, 200, 2_000, 20_000}) {
            leaveAfterPipelining(count, () -> selectSql("1", 5000), false);
        }
    }

    // The same when the connection ends with a reset.
    @Test
    void nothingIsSentOnForClientThatResetWithManyRequestsUnread() throws Exception {
        startPods(ClientLeaveTest::turnAway);
        startPatientSidecar();
        leaveAfterPipelining(200, () -> selectSql("1", 5000), true);
    }

    // The same for long requests, of which each waits for memory and ends far behind the first.
    @Test
    void nothingIsSentOnForClientThatLeftWithLongRequestsUnread() throws Exception {
        startPods(ClientLeaveTest::turnAway);
        startPatientSidecar();
        String value = "\\x" + "9f".repeat(10_000);
        leaveAfterPipelining(100, () -> insertSql(value, 2500), false);
    }

    // The end behind much unread data is found late where other clients leave little of the event
    // loop's time: until it is, no further attempt may begin.
    @Test
    void nothingIsSentOnForClientThatLeftBesideOthersAtFullSpeed() throws Exception {
        startPods(ClientLeaveTest::turnAway);
        startPatientSidecar();
        long endNs = System.nanoTime() + 3_000_000_000L;
        byte[] emptyStatements = new byte[6 * 1000];
        for (int i = 0; i < emptyStatements.length; i += 6) {
            System.arraycopy(queryMessage(""), 0, emptyStatements, i, 6);
        }
        for (int i = 0; i < 20; i++) {
            Client flooding = new Client();
            startDaemonThread(() -> flooding.socket.getInputStream().skip(Long.MAX_VALUE));
            startDaemonThread(
                    () -> {
                        while (System.nanoTime() < endNs) {
                            flooding.socket.getOutputStream().write(emptyStatements);
                        }
                        flooding.close();
                    });
        }
        leaveAfterPipelining(40_000, () -> selectSql("1", 5000), false);
    }

    // Long requests that wait for memory, one behind the other, kept the end from being found.
    @Test
    void nothingIsSentOnForClientThatLeftWhileMemoryIsShort() throws Exception {
        startPods(
                (query, out) -> {
                    if (query.startsWith("INSERT")) {
                        Thread.sleep(3_000);
                    }
                    return turnAway(query, out);
                });
        extraJvmFlags.add("-XX:MaxDirectMemorySize=16m");
        startPatientSidecar();
        String value = "\\x" + "9f".repeat(60_000);
        for (int i = 0; i < 120; i++) {
            new Client().sendQuery(insertSql(value, 5000));
        }
        awaitTrue(() -> logText().contains("memory_shed="));
        attempts.clear();
        int[] number = new int[1];
        leaveAfterPipelining(
                40, () -> number[0]++ < 10 ? selectSql("1", 5000) : insertSql(value, 2500), false);
        assertTrue(attempts.stream().count() > 0, "none sent");
    }

    // What a client sends beyond the limit of what is held is answered nevertheless, in order.
    @Test
    void eachPipelinedRequestIsAnsweredInOrder() throws Exception {
        startPods(
                (query, out) -> {
                    Thread.sleep(20);
                    return sendRow(out, query.replaceAll("(?s)[^']*'([^']*)'.*", "$1"));
                });
        startPatientSidecar();
        int count = 20_000;
        int[] number = new int[1];
        Client client = pipeline(count, () -> selectSql("n" + number[0]++, 5000), new byte[0]);
        int servedCount = 0;
        for (int i = 0; i < count; i++) {
            String answer = client.readResponse();
            boolean served = answer.equals("TDn" + i + "C");
            servedCount += served ? 1 : 0;
            assertTrue(served || answer.startsWith("E53300"), i + ": " + answer);
        }
        assertTrue(servedCount >= 32, servedCount + " served");
        assertEquals("TDlastC", client.execute(selectSql("last", 5000)));
        client.close();
    }

    // After Terminate nothing was read any more, so that the end behind it was not seen.
    @Test
    void nothingIsSentOnForClientThatSaidTerminateAndLeft() throws Exception {
        startPods(ClientLeaveTest::turnAway);
        startPatientSidecar();
        Client client = pipeline(10, () -> selectSql("1", 5000), new byte[] {'X', 0, 0, 0, 4});
        Thread.sleep(60);
        client.close();
        assertNothingSentAfter(nowMs(), "Terminate");
    }

    /** Sends requests at once, each of which needs a connection to a pod. */
    private void openPodConnections(int count) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(new Client());
        }
        for (Client client : clients) {
            client.sendQuery(selectSql("warm", 5000));
        }
        for (Client client : clients) {
            client.readResponse();
            client.close();
        }
    }

    // A process that was held up read a request, or an answer that turned one away, before the end
    // of the client's connection that had arrived in the same time.
    @Test
    void nothingIsSentOnForClientThatLeftWhileTheProcessWasHeldUp() throws Exception {
        startPods(
                (query, out) -> {
                    if (query.contains("'warm'")) {
                        Thread.sleep(20);
                        return sendRow(out, "v");
                    }
                    return turnAway(query, out);
                });
        startPatientSidecar();
        for (int round = 0; round < 5; round++) {
            List<Client> early = new ArrayList<>();
            List<Client> late = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                early.add(new Client());
                late.add(new Client());
            }
            openPodConnections(80);
            attempts.clear();
            long startMs = nowMs();
            for (Client client : early) {
                client.sendQuery(selectSql("1", 5000));
            }
            Thread.sleep(TURN_AWAY_AFTER_MS - 40);
            signal("STOP");
            for (Client client : late) {
                client.sendQuery(selectSql("1", 5000));
            }
            Thread.sleep(50);
            for (int i = 0; i < 10; i++) {
                early.get(i).close();
                late.get(i).close();
            }
            // Nothing can begin before the process goes on.
            Thread.sleep(LEAVE_LIMIT_MS);
            long resumedMs = nowMs();
            signal("CONT");
            Thread.sleep(2 * TURN_AWAY_AFTER_MS);
            List<Attempt> afterClose =
                    attempts.stream().filter(attempt -> attempt.atMs() >= resumedMs).toList();
            assertTrue(afterClose.isEmpty(), () -> "since " + startMs + " ms: " + attempts);
        }
    }

    // A client that says Terminate and ends its sending may still read its answers.
    @Test
    void clientThatEndsItsSendingAfterTerminateIsAnswered() throws Exception {
        startPods(
                (query, out) -> {
                    Thread.sleep(TURN_AWAY_AFTER_MS);
                    return sendRow(out, "v");
                });
        startPatientSidecar();
        Client client = pipeline(10, () -> selectSql("1", 5000), new byte[] {'X', 0, 0, 0, 4});
        Thread.sleep(60);
        client.socket.shutdownOutput();
        for (int i = 0; i < 10; i++) {
            assertEquals("TDvC", client.readResponse().replace("S", ""));
        }
        client.close();
    }

    // The end of the sending was found before the Terminate ahead of it was decoded, and taken for
    // a
    // leave.
    @Test
    void clientThatSendsAllAtOnceAndEndsItsSendingIsAnswered() throws Exception {
        startPods((query, out) -> sendRow(out, "v"));
        startPatientSidecar();
        for (int count : new int[] {1, 10, 20, 30, 30, 30, 100}) {
            try (Client client = new Client()) {
                var bytes = new ByteArrayOutputStream();
                for (int i = 0; i < count; i++) {
                    bytes.write(queryMessage(selectSql("1", 5000)));
                }
                bytes.write(new byte[] {'X', 0, 0, 0, 4});
                client.socket.getOutputStream().write(bytes.toByteArray());
                client.socket.shutdownOutput();
                for (int i = 0; i < count; i++) {
                    String answer = client.readResponse().replace("S", "");
                    // The policy may shed some of them, as it does without the end.
                    assertTrue(answer.equals("TDvC") || answer.startsWith("E53300"), answer);
                }
            }
        }
    }

    // After a message that could not be read, nothing was read any more either.
    @Test
    void nothingIsSentOnForClientThatSentNoiseAndLeft() throws Exception {
        startPods(ClientLeaveTest::turnAway);
        startPatientSidecar();
        Client client = pipeline(10, () -> selectSql("1", 5000), new byte[4_000]);
        Thread.sleep(60);
        client.close();
        assertNothingSentAfter(nowMs(), "noise");
    }

    // An id was forgotten when its client had left, so that it ran again when it came again:
    // outside of its dedup scope, or after its dedup window.
    @Test
    void keyedIdRunsOnlyOnceWhenItComesAgainAfterItsClientLeft() throws Exception {
        startPods(
                (query, out) -> {
                    Thread.sleep(100);
                    return sendRow(out, "v");
                });
        startPatientSidecar();
        List<String> queries = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            String query = insertSql("v" + i, 2500);
            queries.add(query);
            Client client = new Client();
            client.sendQuery(query);
            Thread.sleep(30);
            client.close();
            if (i % 2 == 0) {
                // Comes again within the dedup window.
                Thread.sleep(20);
                executeAgain(query);
            }
        }
        Thread.sleep(800);
        queries.forEach(this::executeAgain);
        Map<String, Attempt> first = new HashMap<>();
        List<String> repeats = new ArrayList<>();
        for (Attempt attempt : attempts) {
            Attempt earlier = first.putIfAbsent(attempt.id(), attempt);
            boolean deduplicated =
                    earlier == null
                            || attempt.atMs() - earlier.atMs() <= 400 + OBSERVATION_SLACK_MS
                                    && attempt.podIndex() % 2 == earlier.podIndex() % 2;
            if (!deduplicated) {
                repeats.add(attempt + " after " + earlier);
            }
        }
        assertTrue(repeats.isEmpty(), repeats.size() + " ran twice, such as " + repeats);
        assertTrue(wrongAnswers.isEmpty(), wrongAnswers.toString());
    }

    private final Queue<String> wrongAnswers = new ConcurrentLinkedQueue<>();

    /** Sends an id again, which must not be refused, since its first attempt may have run. */
    private void executeAgain(String query) {
        try (Client client = new Client()) {
            String answer = client.execute(query);
            if (answer.startsWith("E53300") || answer.startsWith("E42601")) {
                wrongAnswers.add(answer + " to " + query);
            }
        } catch (IOException e) {
            wrongAnswers.add(e.toString());
        }
    }

    // A safe id that comes again at once, while the attempts of the client that left are still
    // being cancelled, was told that it is in hand.
    @Test
    void safeIdThatComesAgainAtOnceIsServed() throws Exception {
        startPods(
                (query, out) -> {
                    Thread.sleep(50);
                    return sendRow(out, "v");
                });
        startPatientSidecar();
        for (int i = 0; i < 30; i++) {
            String query = selectSql("1", 2500);
            Client client = new Client();
            client.sendQuery(query);
            Thread.sleep(20);
            Client second = new Client();
            client.close();
            assertEquals("TDvC", second.execute(query));
            second.close();
        }
    }
}
