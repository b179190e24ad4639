package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what clients get where much has to be remembered of the requests that may have run. */
@Timeout(90)
class RememberedRequestsTest extends SidecarTestBase {
    private static final int POD_COUNT = 14;
    private static final int FLOODING_CLIENT_COUNT = 12;
    private static final int FLOOD_MS = 8_000;

    /** Within the time for which a client may wait, which is 5 s on the route. */
    private static final int SEND_AGAIN_MS = 3_500;

    private static final Pattern ID = Pattern.compile("id=([^,]{1,24})");

    /** The number of times that each id has reached a pod; long ids count by their beginning. */
    private final Map<String, Integer> runsById = new ConcurrentHashMap<>();

    private final AtomicInteger floodAnswers = new AtomicInteger();
    private final AtomicInteger usualServed = new AtomicInteger();
    private final Queue<String> usualFailures = new ConcurrentLinkedQueue<>();
    private final Queue<String> wrongAnswers = new ConcurrentLinkedQueue<>();
    private volatile int podMs = 5;

    RememberedRequestsTest() throws IOException {}

    private void start(int memoryMb) throws Exception {
        for (int i = 0; i < POD_COUNT; i++) {
            startPod(
                    (query, out) -> {
                        Matcher id = ID.matcher(query);
                        assertTrue(id.find(), query);
                        runsById.merge(id.group(1), 1, Integer::sum);
                        Thread.sleep(podMs);
                        return sendRow(out, "v");
                    });
        }
        configReplacements.put(
                "{\"name\":\"put\"", routeJson("once", "unsafe") + ",{\"name\":\"put\"");
        configReplacements.put("\"deadlineNs\":1500000000", "\"deadlineNs\":5000000000");
        configReplacements.put("\"windowNs\":400000000", "\"windowNs\":1500000000");
        configReplacements.put("\"limits\":{", "\"limits\":{\"memory_mb\":" + memoryMb + ",");
        extraJvmFlags.add("-XX:+UseSerialGC");
        extraJvmFlags.add("-XX:+ExitOnOutOfMemoryError");
        startSidecar(1024);
    }

    /** Sends requests of the given route over and over, as many at once as given. */
    private void flood(String route, int inHand, String padding) {
        for (int i = 0; i < FLOODING_CLIENT_COUNT; i++) {
            startDaemonThread(
                    () -> {
                        try (Client client = new Client()) {
                            while (true) {
                                var bytes = new ByteArrayOutputStream();
                                for (int n = 0; n < inHand; n++) {
                                    bytes.write(queryMessage(newSql(route, padding)));
                                }
                                client.socket.getOutputStream().write(bytes.toByteArray());
                                for (int n = 0; n < inHand; n++) {
                                    client.readResponse();
                                    floodAnswers.incrementAndGet();
                                }
                            }
                        }
                    });
        }
    }

    private String newSql(String route, String padding) {
        return newSelectSql("1", 3_000)
                .replace("c=get", "c=" + route)
                .replace(",c=", padding + ",c=");
    }

    /** Starts clients that send a request now and then on a connection that they keep. */
    private void startUsualClients(String route) {
        for (int i = 0; i < 20; i++) {
            startDaemonThread(
                    () -> {
                        try (Client client = new Client()) {
                            while (true) {
                                Thread.sleep(100);
                                String answer = client.execute(newSql(route, ""));
                                if (answer.equals("TDvC")) {
                                    usualServed.incrementAndGet();
                                } else {
                                    usualFailures.add(answer);
                                }
                            }
                        } catch (IOException e) {
                            usualFailures.add(e.toString());
                        }
                    });
        }
    }

    /** Starts clients that leave while their request runs, and send its id again later. */
    private void startLeavingClients() {
        for (int i = 0; i < 4; i++) {
            startDaemonThread(
                    () -> {
                        while (true) {
                            String query = newSql("once", "");
                            Client first = new Client();
                            first.sendQuery(query);
                            Thread.sleep(25);
                            first.close();
                            startDaemonThread(() -> sendAgain(query));
                        }
                    });
        }
    }

    private void sendAgain(String query) throws Exception {
        Matcher id = ID.matcher(query);
        assertTrue(id.find());
        Thread.sleep(SEND_AGAIN_MS);
        boolean ran = runsById.containsKey(id.group(1));
        try (Client second = new Client()) {
            String answer = second.execute(query);
            if (ran && !answer.startsWith("EXX000")) {
                wrongAnswers.add(answer);
            }
        }
    }

    private void assertUsualClientsAreServed() {
        assertTrue(process.isAlive(), "the process has ended: " + logText());
        assertTrue(usualServed.get() >= 500, usualServed.get() + " served");
        assertTrue(
                usualFailures.size() <= usualServed.get() / 50,
                usualFailures.size() + " not served beside " + usualServed + ": " + usualFailures);
    }

    // Each remembered id was kept as text for seconds, whatever its length, until the heap was used
    // up and the process ended.
    @Test
    void processLastsWhereIdsAreLong() throws Exception {
        start(192);
        startUsualClients("get");
        flood("once", 1, "7".repeat(60_000));
        Thread.sleep(FLOOD_MS);
        assertUsualClientsAreServed();
        assertTrue(floodAnswers.get() > 500, floodAnswers + " answers");
    }

    // The names of each request in hand were copied to the heap as text, which may take twice the
    // memory of the message.
    @Test
    void processLastsWhereManyLongIdsAreInHand() throws Exception {
        extraJvmFlags.add("-Xmx24m");
        start(192);
        startUsualClients("get");
        podMs = 1_500;
        flood("get", 20, "\u20ac" + "7".repeat(60_000));
        Thread.sleep(FLOOD_MS);
        assertTrue(process.isAlive(), "the process has ended: " + logText());
    }

    // Above a number of remembered ids the oldest was forgotten, and ran again when it came again.
    @Test
    void idThatMayHaveRunNeverRunsAgainBesideManyOthers() throws Exception {
        start(32);
        podMs = 30;
        flood("once", 32, "");
        startUsualClients("once");
        startLeavingClients();
        Thread.sleep(FLOOD_MS);
        long ranTwice = runsById.values().stream().filter(runs -> runs > 1).count();
        assertEquals(0, ranTwice, "ids that ran twice, of " + runsById.size());
        assertTrue(wrongAnswers.isEmpty(), wrongAnswers.size() + " such as " + wrongAnswers.peek());
        assertUsualClientsAreServed();
        assertTrue(logText().matches("(?s).* no_place=[1-9].*"), "the limit was not reached");
    }
}
