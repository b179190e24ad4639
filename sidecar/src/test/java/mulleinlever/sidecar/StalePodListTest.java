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

/** A sidecar whose discovery can be reached but serves nobody, while the servers change. */
@Timeout(90)
class StalePodListTest extends SidecarTestBase {
    private static final long SECOND_NS = 1_000_000_000L;

    /** A change counts as told this long after discovery had it, whether it arrived or not. */
    private static final long PROPAGATION_DEADLINE_NS = 6 * SECOND_NS;

    /** {@code stopSendingWithinNs} of the tests' configuration. */
    private static final long STOP_SENDING_GRACE_NS = SECOND_NS / 4;

    private static final long QUEUE_TIMEOUT_MS = 1_000;

    /** Whether each call waits in line until discovery gives it up. */
    private volatile boolean overloaded;

    /** How long each call stands in line before it is served. */
    private volatile long queueDelayMs;

    /** A list that is written twenty characters each half a second. */
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
     * Asks every 20 ms until then; how many of the answers were rows, and how many requests there
     * were.
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

    // Report abbe30: so did a process that had started with a list of unknown age, while discovery
    // turned it away.
    @Test
    void configuredListIsNotUsedWhileDiscoveryIsOverloaded() throws Exception {
        overloaded = true;
        FakeServer pod = startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        try (Client client = new Client()) {
            long startNs = System.nanoTime();
            assertEquals("E53300 with advice", client.execute(selectSql("1", 1400)));
            assertTrue(System.nanoTime() - startNs < SECOND_NS / 2, "not answered at once");
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

    // The other duty: where nobody is there who could tell of a change, none counts, and requests
    // are served.
    @Test
    void configuredListIsUsedWhenDiscoveryIsUnreachable() throws Exception {
        discovery.close();
        startPod((q, out) -> sendRow(out, "v"));
        // Nobody else may come to listen there.
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

    // An indented list was taken for a faulty one: it ended the watch, and the next brought the
    // same again.
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

    // A list of which bytes kept coming was given up after 2.7 s, and asked for again from its
    // beginning.
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

    // Where discovery tells changes unasked, a watch that had ended was never opened again.
    @Test
    void endedWatchIsReopenedInPushMode() throws Exception {
        discoveryMode = "automatic";
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> discovery.received.size() == 1);
        closeConnections(discovery);
        awaitTrue(() -> discovery.received.size() == 2);
    }

    // A call that stood in a long line was given up after 2.7 s and made again at its end, so it
    // was never served.
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

    // A watch opened anew that has nothing new to tell was given up every four seconds, one more
    // call each time.
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

    // Report abbe30: requests went to servers that had been removed, by a list that discovery did
    // not confirm.
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
            // It drains, ends, and comes back before discovery lists it again: nothing of it
            // reaches the sidecar.
            overloaded = true;
            closeConnections(discovery);
            long removedNs = System.nanoTime();
            draining[0] = true;
            sendReqsUntil(client, removedNs + SECOND_NS);
            removedPod.close();
            int[] countsBeforeReturn = sendReqsUntil(client, removedNs + 5 * SECOND_NS);
            assertTrue(
                    countsBeforeReturn[0] > 0.9 * countsBeforeReturn[1],
                    countsBeforeReturn[0] + " of " + countsBeforeReturn[1]);
            draining[0] = false;
            pods.get(0).listenAgain();
            int[] countsAfterReturn = sendReqsUntil(client, removedNs + 14 * SECOND_NS);
            long lastSentNs = sentToPod0Ns.get(sentToPod0Ns.size() - 1) - removedNs;
            assertTrue(
                    lastSentNs <= PROPAGATION_DEADLINE_NS + STOP_SENDING_GRACE_NS,
                    "sent " + lastSentNs / 1_000_000 + " ms after the change");
            // The other server answers all the while, which shows that it has not left.
            assertTrue(
                    countsAfterReturn[0] > 0.9 * countsAfterReturn[1],
                    countsAfterReturn[0] + " of " + countsAfterReturn[1]);
        }
        assertEquals(0, logText().lines().filter(l -> l.contains("fault")).count(), logText());
    }
}
