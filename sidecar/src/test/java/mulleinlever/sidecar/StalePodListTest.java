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
    private static final long SECOND = 1_000_000_000L;

    /** A change counts as told this long after discovery had it, whether it arrived or not. */
    private static final long TOLD_WITHIN_NS = 6 * SECOND;

    /** {@code stopSendingWithinNs} of the tests' configuration. */
    private static final long GRACE_NS = SECOND / 4;

    private static final long CALL_WAITS_MS = 1_000;

    /** Whether each call waits in line until discovery gives it up. */
    private volatile boolean crowded;

    /** How long each call stands in line before it is served. */
    private volatile long lineMs;

    /** A list that is written twenty characters each half a second. */
    private volatile String slowly;

    StalePodListTest() throws IOException {
        discovery = new FakeServer(this::discoverInLine);
    }

    private void discoverInLine(DataInputStream in, DataOutputStream out) throws Exception {
        Thread.sleep(lineMs);
        if (slowly != null) {
            discovery.received.add(readLine(in));
            while (!readLine(in).isEmpty()) {}
            out.writeBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            String text = slowly + "\n";
            for (int i = 0; i < text.length(); i += 20) {
                String part = text.substring(i, Math.min(text.length(), i + 20));
                out.writeBytes(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
                Thread.sleep(500);
            }
            Thread.sleep(30_000);
        } else if (!crowded) {
            serveDiscovery(in, out);
            return;
        }
        discovery.received.add(readLine(in));
        while (!readLine(in).isEmpty()) {}
        Thread.sleep(CALL_WAITS_MS);
        out.writeBytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }

    /**
     * Asks every 20 ms until then; how many of the answers were rows, and how many requests there
     * were.
     */
    private int[] askUntil(Client client, long endNs) throws Exception {
        int[] served = new int[2];
        while (System.nanoTime() < endNs) {
            served[0] += client.execute(selectSql("1", 800)).equals("TDvC") ? 1 : 0;
            served[1]++;
            Thread.sleep(20);
        }
        return served;
    }

    // Report abbe30: so did a process that had started with a list of unknown age, while discovery
    // turned it away.
    @Test
    void configuredListIsNotUsedWhileDiscoveryIsOverloaded() throws Exception {
        crowded = true;
        FakeServer server = startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        try (Client client = new Client()) {
            long fromNs = System.nanoTime();
            assertEquals("E53300 with advice", client.execute(selectSql("1", 1400)));
            assertTrue(System.nanoTime() - fromNs < SECOND / 2, "not answered at once");
            askUntil(client, System.nanoTime() + 4 * SECOND);
            assertEquals(0, server.received.size());
            crowded = false;
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
        try (Socket held = new Socket()) {
            held.setReuseAddress(true);
            held.bind(discovery.localSocketAddress());
            startSidecar();
            servedThroughout();
        }
    }

    private void servedThroughout() throws Exception {
        try (Client client = new Client()) {
            int[] served = askUntil(client, System.nanoTime() + 12 * SECOND);
            assertEquals(served[1], served[0], logText());
        }
    }

    // An indented list was taken for a faulty one: it ended the watch, and the next brought the
    // same again.
    @Test
    void indentedListIsAccepted() throws Exception {
        FakeServer leaving = startPod((q, out) -> sendRow(out, "v"));
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        try (Client client = new Client()) {
            askUntil(client, System.nanoTime() + SECOND / 2);
            discoveryLines.add(
                    podListJson(8, false, podJson(0, 1, "draining"))
                            .replaceAll("([{\\[,])", "$1\n  "));
            awaitTrue(() -> leaving.openSockets.isEmpty());
            int before = leaving.received.size();
            askUntil(client, System.nanoTime() + SECOND / 2);
            assertEquals(before, leaving.received.size());
        }
        assertEquals(1, discovery.received.size());
    }

    // A list of which bytes kept coming was given up after 2.7 s, and asked for again from its
    // beginning.
    @Test
    void slowlySentListIsNotTimedOut() throws Exception {
        FakeServer leaving = startPod((q, out) -> sendRow(out, "v"));
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> discovery.received.size() == 1);
        slowly = podListJson(8, false, podJson(0, 1, "draining"));
        closeConnections(discovery);
        awaitTrue(() -> logText().contains("list: generation 8"));
        assertEquals(2, discovery.received.size());
        try (Client client = new Client()) {
            int before = leaving.received.size();
            askUntil(client, System.nanoTime() + SECOND / 2);
            assertEquals(before, leaving.received.size());
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
        lineMs = 4_000;
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
        List<Long> sentToP0 = new CopyOnWriteArrayList<>();
        boolean[] drains = {false};
        PodBehavior recorded =
                (q, out) -> {
                    sentToP0.add(System.nanoTime());
                    return drains[0] ? sendError(out, "53300") : sendRow(out, "v");
                };
        FakeServer leaving = startPod(recorded);
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> discovery.received.size() == 1);
        try (Client client = new Client()) {
            askUntil(client, System.nanoTime() + SECOND);
            assertFalse(sentToP0.isEmpty());
            // It drains, ends, and comes back before discovery lists it again: nothing of it
            // reaches the sidecar.
            crowded = true;
            closeConnections(discovery);
            long changedNs = System.nanoTime();
            drains[0] = true;
            askUntil(client, changedNs + SECOND);
            leaving.close();
            int[] meanwhile = askUntil(client, changedNs + 5 * SECOND);
            assertTrue(meanwhile[0] > 0.9 * meanwhile[1], meanwhile[0] + " of " + meanwhile[1]);
            drains[0] = false;
            pods.get(0).listenAgain();
            int[] after = askUntil(client, changedNs + 14 * SECOND);
            long lastNs = sentToP0.get(sentToP0.size() - 1) - changedNs;
            assertTrue(
                    lastNs <= TOLD_WITHIN_NS + GRACE_NS,
                    "sent " + lastNs / 1_000_000 + " ms after the change");
            // The other server answers all the while, which shows that it has not left.
            assertTrue(after[0] > 0.9 * after[1], after[0] + " of " + after[1]);
        }
        assertEquals(0, logText().lines().filter(l -> l.contains("fault")).count(), logText());
    }
}
