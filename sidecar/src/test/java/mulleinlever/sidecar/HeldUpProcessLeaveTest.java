package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that nothing is sent on for clients that close their connections while the process is held
 * up, and that clients that send the same and stay are served.
 */
@Timeout(60)
class HeldUpProcessLeaveTest extends SidecarTestBase {
    /** The time after a client's close from which no attempt for it may begin. */
    private static final long LEAVE_LIMIT_MS = 100;

    private static final long HOLD_MS = 146;
    private static final int ROUND_COUNT = 10;
    private static final int STAYING_COUNT = 8;
    private static final int POD_COUNT = 14;
    private static final int MAX_SOCKETS = 1024;

    private static final byte[] TERMINATE = {'X', 0, 0, 0, 4};
    private static final Pattern ID = Pattern.compile("id=([0-9a-f]+)");

    /** What a client sends in one write. */
    private interface Payload {
        byte[] bytes(List<String> queries) throws IOException;
    }

    /** The hold-ups of one round. */
    private record Holds(int count, long lengthMs, long pauseMs) {}

    private static final Holds ONE_HOLD = new Holds(1, HOLD_MS, 0);

    /** When the close of the client of each req had returned. */
    private final Map<String, Long> closedMsById = new ConcurrentHashMap<>();

    private final Queue<String> late = new ConcurrentLinkedQueue<>();
    private final Queue<String> refused = new ConcurrentLinkedQueue<>();
    private final AtomicInteger attemptCount = new AtomicInteger();
    private final AtomicInteger leftCount = new AtomicInteger();
    private final AtomicInteger stayedCount = new AtomicInteger();
    private final AtomicInteger servedCount = new AtomicInteger();

    /** The number of clients that leave in each round. */
    private int leavingCount = 12;

    private OutputStream signals;
    private BufferedReader signalsSent;

    HeldUpProcessLeaveTest() throws IOException {}

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private void startPods(PodBehavior behavior) throws IOException {
        for (int i = 0; i < POD_COUNT; i++) {
            startPod(
                    (query, out) -> {
                        recordAttempt(query);
                        return behavior.respond(query, out);
                    });
        }
    }

    private void recordAttempt(String query) {
        double atMs = nowMs();
        Matcher id = ID.matcher(query);
        assertTrue(id.find(), query);
        attemptCount.incrementAndGet();
        Long closedMs = closedMsById.get(id.group(1));
        if (closedMs != null && atMs - closedMs > LEAVE_LIMIT_MS) {
            late.add(String.format("%s %.0f ms after the close", id.group(1), atMs - closedMs));
        }
    }

    /** Starts pods that answer, a sidecar, and a shell that sends it signals without delay. */
    private void start() throws Exception {
        startPods(
                (query, out) -> {
                    Thread.sleep(20);
                    return sendRow(out, "v");
                });
        startSidecar(MAX_SOCKETS);
        startSignals();
    }

    private void startSignals() throws IOException {
        Process shell =
                new ProcessBuilder(
                                "/bin/sh",
                                "-c",
                                "while read -r s; do kill -$s " + process.pid() + "; echo; done")
                        .start();
        closeables.add(shell::destroyForcibly);
        signals = shell.getOutputStream();
        signalsSent = new BufferedReader(new InputStreamReader(shell.getInputStream()));
    }

    private void send(String signal) throws IOException {
        signals.write((signal + "\n").getBytes(StandardCharsets.US_ASCII));
        signals.flush();
        signalsSent.readLine();
    }

    private static void sleepUntil(double timeMs) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep((long) ((timeMs - nowMs()) * 1e6));
    }

    private void hold(double startMs, long lengthMs) throws Exception {
        sleepUntil(startMs + lengthMs);
        send("CONT");
    }

    /** Sends a payload and closes. */
    private void leave(Client client, Payload payload) throws IOException {
        List<String> queries = new ArrayList<>();
        client.socket.getOutputStream().write(payload.bytes(queries));
        client.close();
        long closedMs = (long) nowMs();
        for (String query : queries) {
            Matcher id = ID.matcher(query);
            assertTrue(id.find());
            closedMsById.put(id.group(1), closedMs);
            leftCount.incrementAndGet();
        }
    }

    /** Sends a payload and reads the answers. */
    private void stay(Client client, Payload payload) throws IOException {
        List<String> queries = new ArrayList<>();
        byte[] bytes = payload.bytes(queries);
        stayedCount.addAndGet(queries.size());
        client.socket.getOutputStream().write(bytes);
        for (int i = 0; i < queries.size(); i++) {
            String answer = client.readResponse().replace("S", "");
            if (answer.equals("TDvC")) {
                servedCount.incrementAndGet();
            } else {
                refused.add(answer);
            }
        }
    }

    private List<Client> connect(int count) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(new Client());
        }
        return clients;
    }

    /** Holds the process up, while clients send a payload and leave, and others stay. */
    private void playRound(Payload payload, Holds holds) throws Exception {
        List<Client> leaving = connect(leavingCount);
        List<Client> staying = connect(STAYING_COUNT);
        Thread.sleep(60);
        double startMs = nowMs();
        send("STOP");
        for (Client client : leaving) {
            startDaemonThread(() -> leave(client, payload));
        }
        for (Client client : staying) {
            startDaemonThread(() -> stay(client, payload));
        }
        hold(startMs, holds.lengthMs());
        for (int i = 1; i < holds.count(); i++) {
            Thread.sleep(holds.pauseMs());
            startMs = nowMs();
            send("STOP");
            hold(startMs, holds.lengthMs());
        }
        Thread.sleep(300);
    }

    private void play(Payload payload, Holds holds) throws Exception {
        start();
        for (int i = 0; i < ROUND_COUNT; i++) {
            playRound(payload, holds);
        }
        awaitTrue(() -> servedCount.get() + refused.size() == stayedCount.get());
        assertTrue(leftCount.get() >= ROUND_COUNT * leavingCount, leftCount + " clients left");
    }

    private void assertNothingSentOnForThoseThatLeft() {
        String what = attemptCount.get() + " attempts, " + leftCount.get() + " that left; ";
        assertTrue(late.isEmpty(), what + late.size() + " late, such as " + late.peek());
    }

    private Payload queries(int count, int valueBytes, boolean terminate) {
        return queries -> {
            var bytes = new ByteArrayOutputStream();
            String value = "\\x" + "9f".repeat(valueBytes);
            for (int i = 0; i < count; i++) {
                String query = newQuery(value, valueBytes);
                queries.add(query);
                bytes.write(queryMessage(query));
            }
            if (terminate) {
                bytes.write(TERMINATE);
            }
            return bytes.toByteArray();
        };
    }

    private synchronized String newQuery(String value, int valueBytes) {
        return valueBytes == 0 ? selectSql("1", 1400) : insertSql(value, 1400);
    }

    private void assertAllThatStayedWereServed() {
        assertTrue(stayedCount.get() >= ROUND_COUNT * STAYING_COUNT);
        assertEquals(stayedCount.get(), servedCount.get(), refused::toString);
    }

    // A long request was complete some turns after the hold-up, when nothing waited any more for
    // the ends of connections, and was sent on although its client had left.
    @Test
    void nothingIsSentOnForClientThatLeftWithLongRequest() throws Exception {
        play(queries(1, 60_000, false), ONE_HOLD);
        assertNothingSentOnForThoseThatLeft();
        assertAllThatStayedWereServed();
    }

    // The same for long requests in a row.
    @Test
    void nothingIsSentOnForClientThatLeftWithLongRequestsInRow() throws Exception {
        play(queries(5, 20_000, false), ONE_HOLD);
        assertNothingSentOnForThoseThatLeft();
    }

    // The same for many short requests, which take more than one turn's share of the event loop.
    @Test
    void nothingIsSentOnForClientThatLeftWithManyShortRequests() throws Exception {
        leavingCount = 40;
        play(queries(32, 0, false), ONE_HOLD);
        assertNothingSentOnForThoseThatLeft();
    }

    // After Terminate the end of the connection was taken for the end of the sending alone, so that
    // the request was sent on although its client had left.
    @Test
    void nothingIsSentOnForClientThatSaidTerminateAndLeft() throws Exception {
        play(queries(1, 0, true), ONE_HOLD);
        assertNothingSentOnForThoseThatLeft();
        assertAllThatStayedWereServed();
    }

    // The same with a long request ahead of Terminate.
    @Test
    void nothingIsSentOnForClientThatSaidTerminateBehindLongRequestAndLeft() throws Exception {
        play(queries(1, 60_000, true), ONE_HOLD);
        assertNothingSentOnForThoseThatLeft();
        assertAllThatStayedWereServed();
    }

    // Time in which the process was held up counted as time in which the end of a connection had
    // gone unseen, so that clients that stayed were refused.
    @Test
    void clientThatStaysIsServedAfterShortHoldUpsInRow() throws Exception {
        play(queries(1, 60_000, false), new Holds(5, 60, 2));
        assertAllThatStayedWereServed();
    }

    /** Sends the startup message and a request on a connection, without reading, and closes it. */
    private void leaveWithoutReading() throws IOException {
        Payload startupAndQuery =
                queries -> {
                    var bytes = new ByteArrayOutputStream();
                    bytes.write(startupMessage());
                    bytes.write(queries(1, 0, false).bytes(queries));
                    return bytes.toByteArray();
                };
        leave(new Client(false), startupAndQuery);
    }

    // The same for connections that were opened and closed in the hold-up.
    @Test
    void nothingIsSentOnForClientThatConnectedAndLeftInHoldUp() throws Exception {
        start();
        for (int i = 0; i < ROUND_COUNT; i++) {
            double startMs = nowMs();
            send("STOP");
            for (int k = 0; k < leavingCount; k++) {
                leaveWithoutReading();
            }
            hold(startMs, HOLD_MS);
            Thread.sleep(300);
        }
        assertNothingSentOnForThoseThatLeft();
    }

    // A client that says Terminate, ends its sending and reads on got no further attempt, since it
    // counted as gone soon after.
    @Test
    void clientThatEndsItsSendingAfterTerminateGetsFurtherAttempts() throws Exception {
        Map<String, Boolean> turnedAway = new ConcurrentHashMap<>();
        startPods(
                (query, out) -> {
                    Thread.sleep(200);
                    Matcher id = ID.matcher(query);
                    return id.find() && turnedAway.putIfAbsent(id.group(1), true) == null
                            ? sendError(out, "53300")
                            : sendRow(out, "v");
                });
        configReplacements.put("\"aimNs\":500000000", "\"aimNs\":2000000000");
        configReplacements.put("\"deadlineNs\":1500000000", "\"deadlineNs\":5000000000");
        startSidecar(MAX_SOCKETS);
        for (int i = 0; i < ROUND_COUNT; i++) {
            try (Client client = new Client()) {
                var bytes = new ByteArrayOutputStream();
                bytes.write(queryMessage(selectSql("1", 5000)));
                bytes.write(TERMINATE);
                client.socket.getOutputStream().write(bytes.toByteArray());
                client.socket.shutdownOutput();
                assertEquals("TDvC", client.readResponse().replace("S", ""));
            }
        }
    }
}
