package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests the sidecar while its process is suspended between reading its clock and writing, and with
 * tries that wait before they are written.
 */
@Timeout(90)
class ProcessPauseTest extends SidecarTestBase {
    private static final Pattern REQ_ID = Pattern.compile("id=([0-9a-f]+)");

    /** The setting {@code windowNs} of {@link SidecarTestBase#configJson}. */
    private static final long DEDUP_WINDOW_MS = 400;

    ProcessPauseTest() throws IOException {}

    private static String reqId(String query) {
        Matcher matcher = REQ_ID.matcher(query);
        assertTrue(matcher.find(), query);
        return matcher.group(1);
    }

    /** Starts a pod that delays the end of each handshake. */
    private FakeServer startSlowHandshakePod(long handshakeDelayMs, PodBehavior behavior)
            throws IOException {
        FakeServer pod =
                new FakeServer(
                        (in, out) -> {
                            in.skipBytes(in.readInt() - 4);
                            Thread.sleep(handshakeDelayMs);
                            out.write(
                                    new byte[] {'R', 0, 0, 0, 8, 0, 0, 0, 0, 'Z', 0, 0, 0, 5, 'I'});
                            while (in.read() == 'Q') {
                                byte[] text = in.readNBytes(in.readInt() - 4);
                                if (!behavior.respond(new String(text, 0, text.length - 1), out)) {
                                    return;
                                }
                            }
                        });
        pods.add(pod);
        return pod;
    }

    // A retry that waited for its connection was written after the dedup window, when the pods may
    // have forgotten the first try.
    @Test
    void retryIsSentWithinDedupWindowOrNotAtAll() throws Exception {
        Map<String, Long> firstWriteMsByReqId = new ConcurrentHashMap<>();
        List<Long> writeDelaysMs = new ArrayList<>();
        PodBehavior failsAfterDelay =
                (q, out) -> {
                    firstWriteMsByReqId.putIfAbsent(reqId(q), System.nanoTime() / 1_000_000);
                    Thread.sleep(290);
                    return sendError(out, "XX000");
                };
        startPod(failsAfterDelay);
        startPod((q, out) -> sendRow(out, "v"));
        // The pod closes its connections after a response, and the sidecar closes those that are
        // idle for a second, so each retry opens a new one.
        startSlowHandshakePod(
                200,
                (q, out) -> {
                    Long firstWriteMs = firstWriteMsByReqId.get(reqId(q));
                    if (firstWriteMs != null) {
                        synchronized (writeDelaysMs) {
                            writeDelaysMs.add(System.nanoTime() / 1_000_000 - firstWriteMs);
                        }
                    }
                    sendRow(out, "v");
                    return false;
                });
        startSidecar();
        try (Client client = new Client()) {
            for (int i = 0; i < 60; i++) {
                client.execute(insertSql("9f", 1400));
            }
        }
        assertFalse(firstWriteMsByReqId.isEmpty());
        writeDelaysMs.forEach(
                ms ->
                        assertTrue(
                                ms <= DEDUP_WINDOW_MS,
                                "written " + ms + " ms after the first try"));
    }

    // The process is suspended for 0.15 s again and again. A req that times out meanwhile must be
    // answered within half a second of its deadline.
    @Test
    void timeoutsAreMetWhileProcessIsRepeatedlySuspended() throws Exception {
        startPod(
                (q, out) -> {
                    Thread.sleep(30_000);
                    return false;
                });
        startSidecar();
        AtomicBoolean finished = new AtomicBoolean();
        startDaemonThread(
                () -> {
                    while (!finished.get()) {
                        signal("STOP");
                        Thread.sleep(150);
                        signal("CONT");
                        Thread.sleep(100);
                    }
                });
        try (Client client = new Client()) {
            for (int i = 0; i < 12; i++) {
                long startNs = System.nanoTime();
                client.execute(selectSql("1", 600 + 10 * i));
                long lateMs = (System.nanoTime() - startNs) / 1_000_000 - 600 - 10 * i;
                assertTrue(lateMs < 500, "answered " + lateMs + " ms after its deadline");
            }
        } finally {
            finished.set(true);
            Thread.sleep(400);
            signal("CONT");
        }
    }
}
