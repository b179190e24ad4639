package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that values of the maximum size don't exhaust the sidecar's memory. */
@Timeout(60)
class LongValuesTest extends SidecarTestBase {
    private static final String LONG_VALUE = "x".repeat(64 * 1024);
    private static final String LONG_HEX_VALUE = "\\x" + "9f".repeat(64 * 1024);

    /** The maximum direct memory of a sidecar that has little, in MiB. */
    private static final int SMALL_DIRECT_MEMORY_MB = 16;

    LongValuesTest() throws IOException {}

    // Each idle connection kept the buffer of the last message that it had received, until direct
    // memory was used up and each allocation stopped the event loop for half a second.
    @Test
    void idleConnectionsHoldNoBuffers() throws Exception {
        startPod((q, out) -> sendRow(out, q.startsWith("INSERT") ? LONG_VALUE : "v"));
        startSidecar(1024);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 320; i++) {
            Client client = new Client();
            clients.add(client);
            assertEquals("TD" + LONG_VALUE + "C", client.execute(insertSql(LONG_HEX_VALUE, 1400)));
        }
        assertEquals("TDvC", clients.get(0).execute(selectSql("1", 800)));
        assertFalse(logText().contains("fault"), logText());
        for (Client client : clients) {
            client.close();
        }
    }

    /** Sends queries on connections of their own at once, and returns the responses. */
    private List<String> executeAtOnce(int count, Supplier<String> query) throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(new Client());
        }
        List<String> responses = new CopyOnWriteArrayList<>();
        CountDownLatch finished = new CountDownLatch(count);
        for (Client client : clients) {
            String text = query.get();
            startDaemonThread(
                    () -> {
                        try (client) {
                            responses.add(client.execute(text).substring(0, 2));
                        } finally {
                            finished.countDown();
                        }
                    });
        }
        assertTrue(finished.await(20, TimeUnit.SECONDS));
        return responses;
    }

    /** Returns the largest value of a field in the log's count lines. */
    private double maxLogged(String name) {
        return Pattern.compile(" " + name + "=([0-9.]+)")
                .matcher(logText())
                .results()
                .mapToDouble(m -> Double.parseDouble(m.group(1)))
                .max()
                .orElseThrow();
    }

    // Responses of pods were counted by no limit: received in part by many connections at once,
    // they
    // used up direct memory.
    @Test
    void partialResponsesOfManyPodsKeepWithinMemory() throws Exception {
        for (int i = 0; i < 60; i++) {
            startPod(
                    (q, out) -> {
                        byte[] row = rowResponse(LONG_VALUE.getBytes(StandardCharsets.US_ASCII));
                        out.write(row, 0, row.length - 10);
                        Thread.sleep(300);
                        out.write(row, row.length - 10, 10);
                        return true;
                    });
        }
        extraJvmFlags.add("-XX:MaxDirectMemorySize=" + SMALL_DIRECT_MEMORY_MB + "m");
        startSidecar(1024);
        for (int round = 0; round < 3; round++) {
            List<String> responses = executeAtOnce(200, () -> selectSql("1", 1400));
            assertEquals(200, responses.size());
            assertTrue(Collections.frequency(responses, "TD") > 50, responses.toString());
        }
        assertFalse(logText().contains("fault"), logText());
        assertFalse(logText().contains("Cannot reserve"), logText());
    }

    // Above a fixed limit on the memory of requests nobody was read from, so that short requests
    // waited unread; and the limit did not follow the memory that the process has.
    @Test
    void longRequestsThatFindNoMemoryAreShedInTime() throws Exception {
        for (int i = 0; i < 20; i++) {
            startPod(
                    (q, out) -> {
                        Thread.sleep(q.startsWith("INSERT") ? 600 : 0);
                        return sendRow(out, "v");
                    });
        }
        extraJvmFlags.add("-XX:MaxDirectMemorySize=" + SMALL_DIRECT_MEMORY_MB + "m");
        startSidecar(1024);
        List<String> longResponses = new CopyOnWriteArrayList<>();
        CountDownLatch finished = new CountDownLatch(1);
        startDaemonThread(
                () -> {
                    longResponses.addAll(executeAtOnce(250, () -> insertSql(LONG_HEX_VALUE, 1400)));
                    finished.countDown();
                });
        try (Client client = new Client()) {
            for (int i = 0; i < 20; i++) {
                assertEquals("TDvC", client.execute(selectSql("1", 800)));
                Thread.sleep(50);
            }
        }
        assertTrue(finished.await(20, TimeUnit.SECONDS));
        assertEquals(250, longResponses.size());
        assertFalse(logText().contains("fault"), logText());
        awaitTrue(() -> logText().contains(" memory_shed="));
        assertTrue(maxLogged("pool_mb") <= SMALL_DIRECT_MEMORY_MB);
    }

    // Clients that leave long messages incomplete, all at once, would keep the memory that the long
    // requests of other clients need.
    @Test
    void incompleteLongMessagesGiveTheirMemoryToOthers() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        extraJvmFlags.add("-XX:MaxDirectMemorySize=" + SMALL_DIRECT_MEMORY_MB + "m");
        startSidecar(1024);
        byte[] query = queryMessage(insertSql(LONG_HEX_VALUE, 1400));
        List<Client> stoppedClients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Client stopped = new Client();
            stoppedClients.add(stopped);
            stopped.socket.getOutputStream().write(query, 0, query.length / 2);
        }
        Thread.sleep(400);
        try (Client client = new Client()) {
            assertEquals("TDvC", client.execute(insertSql(LONG_HEX_VALUE, 1400)));
        }
        for (Client stopped : stoppedClients) {
            stopped.close();
        }
    }
}
