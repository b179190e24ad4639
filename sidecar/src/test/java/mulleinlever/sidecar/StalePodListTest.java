package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against the use of a stale pod list: discovery accepts connections but sends no list, or
 * sends it slowly, while the pods change.
 */
@Timeout(90)
class StalePodListTest extends SidecarTestBase {
    private static final long SECOND_NS = 1_000_000_000L;

    /**
     * The time after which a change at discovery counts as known to the sidecar, whether it was
     * received or not.
     */
    private static final long PROPAGATION_DEADLINE_NS = 6 * SECOND_NS;

    /** {@code stopSendingWithinNs} in the configuration of the tests. */
    private static final long STOP_SENDING_GRACE_NS = SECOND_NS / 4;

    /** How long a call waits at an overloaded discovery before it is rejected with status 503. */
    private static final long QUEUE_TIMEOUT_MS = 1_000;

    /** Whether discovery rejects each call after {@link #QUEUE_TIMEOUT_MS}. */
    private volatile boolean overloaded;

    /** How long each call waits in discovery's queue before it is served. */
    private volatile long queueDelayMs;

    /** If not null, a list that discovery writes at 20 characters per half second. */
    private volatile String slowlySentList;

    StalePodListTest() throws IOException {
        discovery = new FakeServer(this::serveQueuedDiscovery);
    }

    private void serveQueuedDiscovery(DataInputStream in, DataOutputStream out) throws Exception {
        Thread.sleep(queueDelayMs);
        if (slowlySentList != null) {
            discovery.received.add(readLine(in));
            while (!readLine(in).isEmpty()) {}
            out.writeBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            String text = slowlySentList + "\n";
            for (int i = 0; i < text.length(); i += 20) {
                String chunk = text.substring(i, Math.min(text.length(), i + 20));
                out.writeBytes(Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n");
                Thread.sleep(500);
            }
            Thread.sleep(30_000);
        } else if (!overloaded) {
            serveDiscovery(in, out);
            return;
        }
        discovery.received.add(readLine(in));
        while (!readLine(in).isEmpty()) {}
        Thread.sleep(QUEUE_TIMEOUT_MS);
        out.writeBytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }

    /**
     * Sends a req every 20 ms until {@code endNs}. Returns the number of reqs answered with a row,
     * and the number of all reqs.
     */
    private int[] sendReqsUntil(Client client, long endNs) throws Exception {
        int[] counts = new int[2];
        while (System.nanoTime() < endNs) {
            counts[0] += client.execute(selectSql("1", 800)).equals("TDvC") ? 1 : 0;
            counts[1]++;
            Thread.sleep(20);
        }
        return counts;
    }

    // Report abbe30: a process that had started with a list of unknown age sent reqs to removed
    // pods while discovery rejected its calls.
    @Test
    void configuredListIsNotUsedWhileDiscoveryIsOverloaded() throws Exception {
        overloaded = true;
        FakeServer pod = startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        try (Client client = new Client()) {
            long startNs = System.nanoTime();
            assertEquals("E53300 with retry delay", client.execute(selectSql("1", 1400)));
            assertTrue(System.nanoTime() - startNs < SECOND_NS / 2, "rejected later than 0.5 s");
            sendReqsUntil(client, System.nanoTime() + 4 * SECOND_NS);
            assertEquals(0, pod.received.size());
            overloaded = false;
            awaitTrue(
                    () ->
                            logText().contains("bytes, 0 lines")
                                    && discovery.openSockets.size() == 1);
            awaitServed(client);
        }
    }

    // While discovery refuses connections, no change of the list counts as known, so the
    // configured list remains in use and every req is served.
    @Test
    void configuredListIsUsedWhenDiscoveryIsUnreachable() throws Exception {
        discovery.close();
        startPod((q, out) -> sendRow(out, "v"));
        // Keeps other processes from listening at discovery's address.
        try (Socket reservation = new Socket()) {
            reservation.setReuseAddress(true);
            reservation.bind(discovery.localSocketAddress());
            startSidecar();
            assertEveryReqServed();
        }
    }

    private void assertEveryReqServed() throws Exception {
        try (Client client = new Client()) {
            int[] counts = sendReqsUntil(client, System.nanoTime() + 12 * SECOND_NS);
            assertEquals(counts[1], counts[0], logText());
        }
    }

    // An indented list was rejected as invalid: it ended the watch, and the next watch received the
    // same list again.
    @Test
    void indentedListIsAccepted() throws Exception {
        FakeServer drainingPod = startPod((q, out) -> sendRow(out, "v"));
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        try (Client client = new Client()) {
            sendReqsUntil(client, System.nanoTime() + SECOND_NS / 2);
            discoveryLines.add(
                    podListJson(8, false, podJson(0, 1, "draining"))
                            .replaceAll("([{\\[,])", "$1\n  "));
            awaitTrue(() -> drainingPod.openSockets.isEmpty());
            int reqCountBefore = drainingPod.received.size();
            sendReqsUntil(client, System.nanoTime() + SECOND_NS / 2);
            assertEquals(reqCountBefore, drainingPod.received.size());
        }
        assertEquals(1, discovery.received.size());
    }

    // The watch timed out after 2.7 s while bytes of a list were still arriving, and the next
    // watch had to receive the list from the beginning.
    @Test
    void slowlySentListIsNotTimedOut() throws Exception {
        FakeServer drainingPod = startPod((q, out) -> sendRow(out, "v"));
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> discovery.received.size() == 1);
        slowlySentList = podListJson(8, false, podJson(0, 1, "draining"));
        closeConnections(discovery);
        awaitTrue(() -> logText().contains("list: generation 8"));
        assertEquals(2, discovery.received.size());
        try (Client client = new Client()) {
            int reqCountBefore = drainingPod.received.size();
            sendReqsUntil(client, System.nanoTime() + SECOND_NS / 2);
            assertEquals(reqCountBefore, drainingPod.received.size());
        }
    }

    // With a discovery that pushes changes, a watch that had ended was never opened again.
    @Test
    void endedWatchIsReopenedInPushMode() throws Exception {
        discoveryMode = "automatic";
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> discovery.received.size() == 1);
        closeConnections(discovery);
        awaitTrue(() -> discovery.received.size() == 2);
    }

    // A call in a long queue at discovery timed out after 2.7 s, and the next one had to wait at
    // the end of the queue, so the sidecar was never served.
    @Test
    void queuedDiscoveryCallIsNotTimedOut() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> discovery.received.size() == 1);
        queueDelayMs = 4_000;
        discoveryLines.add(podListJson(8, false));
        closeConnections(discovery);
        awaitTrue(() -> logText().contains("list: generation 8"));
    }

    // A reopened watch without any change to send was closed every 4 s, with one more call to
    // discovery each time.
    @Test
    void idleWatchIsKeptOpen() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> discovery.received.size() == 1);
        closeConnections(discovery);
        awaitTrue(() -> discovery.received.size() == 2);
        Thread.sleep(9_000);
        assertEquals(2, discovery.received.size(), discovery.received.toString());
    }

    // Report abbe30: reqs went to pods that had been removed, because the sidecar continued to use
    // a list that discovery no longer confirmed.
    @Test
    void removedPodIsNotUsedAfterPropagationDeadlineWithoutListUpdate() throws Exception {
        List<Long> sentToPod0Ns = new CopyOnWriteArrayList<>();
        boolean[] draining = {false};
        PodBehavior recordingBehavior =
                (q, out) -> {
                    sentToPod0Ns.add(System.nanoTime());
                    return draining[0] ? sendError(out, "53300") : sendRow(out, "v");
                };
        FakeServer removedPod = startPod(recordingBehavior);
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> discovery.received.size() == 1);
        try (Client client = new Client()) {
            sendReqsUntil(client, System.nanoTime() + SECOND_NS);
            assertFalse(sentToPod0Ns.isEmpty());
            // The pod drains, ends, and listens again before discovery lists it again. The sidecar
            // receives none of these changes.
            overloaded = true;
            closeConnections(discovery);
            long removedNs = System.nanoTime();
            draining[0] = true;
            sendReqsUntil(client, removedNs + SECOND_NS);
            removedPod.close();
            int[] countsBeforeReturn = sendReqsUntil(client, removedNs + 5 * SECOND_NS);
            assertTrue(
                    countsBeforeReturn[0] > 0.9 * countsBeforeReturn[1],
                    countsBeforeReturn[0] + " reqs served of " + countsBeforeReturn[1]);
            draining[0] = false;
            pods.get(0).listenAgain();
            int[] countsAfterReturn = sendReqsUntil(client, removedNs + 14 * SECOND_NS);
            long lastSentNs = sentToPod0Ns.get(sentToPod0Ns.size() - 1) - removedNs;
            assertTrue(
                    lastSentNs <= PROPAGATION_DEADLINE_NS + STOP_SENDING_GRACE_NS,
                    "sent " + lastSentNs / 1_000_000 + " ms after the removal");
            // The other pod serves reqs all the time, which shows that it has not left.
            assertTrue(
                    countsAfterReturn[0] > 0.9 * countsAfterReturn[1],
                    countsAfterReturn[0] + " reqs served of " + countsAfterReturn[1]);
        }
        assertEquals(0, logText().lines().filter(l -> l.contains("fault")).count(), logText());
    }
}
