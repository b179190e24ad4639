package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that hundreds of slow or stopped clients neither use up memory nor delay other clients. */
@Timeout(60)
class ClientMemoryTest extends SidecarTestBase {
    private static final int TROUBLE_MS = 4_000;
    private static final int BAD_CLIENTS = 400;
    private static final int REQUESTS_PER_SECOND = 120;
    private static final int MAX_SOCKETS = 1024;
    private static final int TIMEOUT_MS = 500;

    /** The memory that the process may take, in MiB. */
    private static final int MEMORY_LIMIT_MB = 128;

    private final AtomicBoolean ended = new AtomicBoolean();

    ClientMemoryTest() throws IOException {}

    /** Runs one client of a disturbance until it is closed. */
    interface BadClient {
        void run(int number) throws Exception;
    }

    private void startSidecarWithLimit() throws Exception {
        configReplacements.put(
                "\"limits\":{", "\"limits\":{\"memory_mb\":" + MEMORY_LIMIT_MB + ",");
        extraJvmFlags.addAll(
                List.of(
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xms40m",
                        "-XX:MaxMetaspaceSize=32m",
                        "-XX:ReservedCodeCacheSize=16m",
                        "-Xss256k"));
        startSidecar(MAX_SOCKETS);
    }

    /** Returns the peak size of the sidecar's process, in MiB. */
    private long peakMemoryMb() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmHWM:"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")) / 1024)
                .findFirst()
                .orElseThrow();
    }

    private void assertOthersAreServedBeside(BadClient badClient) throws Exception {
        new ClientTraffic(this, TIMEOUT_MS).run(REQUESTS_PER_SECOND, 500);
        for (int i = 0; i < BAD_CLIENTS; i++) {
            int number = i;
            startDaemonThread(
                    () -> {
                        while (!ended.get()) {
                            try {
                                badClient.run(number);
                            } catch (IOException e) {
                                // Closed by the sidecar, as it may be.
                            }
                            Thread.sleep(20);
                        }
                    });
        }
        ClientTraffic traffic = new ClientTraffic(this, TIMEOUT_MS);
        traffic.run(REQUESTS_PER_SECOND, TROUBLE_MS);
        ended.set(true);
        if (System.getProperty("log") != null) System.out.println(logText());
        System.out.println("beside bad clients: " + traffic + ", peak " + peakMemoryMb() + " MB");
        assertTrue(traffic.lost.isEmpty(), traffic.toString());
        assertTrue(
                traffic.servedCount() >= 0.9 * REQUESTS_PER_SECOND * TROUBLE_MS / 1000,
                traffic.toString());
        assertTrue(process.isAlive(), logText());
        assertTrue(peakMemoryMb() <= MEMORY_LIMIT_MB, "peak " + peakMemoryMb() + " MB");
        assertFalse(logText().contains("fault"), logText());
    }

    private void startPods(byte[] value) throws IOException {
        for (int i = 0; i < 14; i++) {
            startPod(
                    (query, out) -> {
                        Thread.sleep(5);
                        out.write(
                                rowResponse(
                                        query.contains("'long'")
                                                ? value
                                                : "v".getBytes(StandardCharsets.US_ASCII)));
                        return true;
                    });
        }
    }

    // Startup messages of any number of fields were collected up to the length of the longest
    // query.
    @Test
    void othersAreServedBesideUnfinishedLongStartupMessages() throws Exception {
        startPods(new byte[1]);
        startSidecarWithLimit();
        byte[] fields = "a\0b\0".repeat(37_000).getBytes(StandardCharsets.US_ASCII);
        var head = new ByteArrayOutputStream();
        var out = new DataOutputStream(head);
        out.writeInt(fields.length + 100);
        out.writeInt(3 << 16);
        out.write(fields);
        assertOthersAreServedBeside(
                number -> {
                    try (Client client = new Client(false)) {
                        client.socket.getOutputStream().write(head.toByteArray());
                        client.isClosedByPeer();
                    }
                });
    }

    // A startup message that is longer than any client's was waited for until its time was over.
    @Test
    void startupMessageThatIsTooLongEndsAtOnce() throws Exception {
        startPods(new byte[1]);
        startSidecarWithLimit();
        var head = new ByteArrayOutputStream();
        var out = new DataOutputStream(head);
        out.writeInt(20_000);
        out.writeInt(3 << 16);
        long startNs = System.nanoTime();
        try (Client client = new Client(false)) {
            client.socket.getOutputStream().write(head.toByteArray());
            assertEquals("E08P01", client.readMessage());
            assertTrue(client.isClosedByPeer());
        }
        long tookMs = (System.nanoTime() - startNs) / 1_000_000;
        assertTrue(tookMs < 1_000, "closed after " + tookMs + " ms");
    }

    // Clients that stop in the middle of a long request, or write it slowly.
    @Test
    void othersAreServedBesideHalfAndSlowRequests() throws Exception {
        startPods(new byte[1]);
        startSidecarWithLimit();
        byte[] query = queryMessage(insertSql("\\x" + "9f".repeat(60_000), 2000));
        assertOthersAreServedBeside(
                number -> {
                    try (Client client = new Client()) {
                        var out = client.socket.getOutputStream();
                        if (number % 2 == 0) {
                            out.write(query, 0, query.length / 2);
                            client.isClosedByPeer();
                        }
                        for (int i = 0; i < query.length && !ended.get(); i += 100) {
                            out.write(query, i, Math.min(100, query.length - i));
                            Thread.sleep(5);
                        }
                    }
                });
    }

    // New clients were not accepted in time beside hundreds that sent requests at once, read no
    // answers, and left no descriptors.
    @Test
    void othersAreServedBesideClientsThatReadNoAnswers() throws Exception {
        startPods(longValue());
        startSidecarWithLimit();
        assertOthersAreServedBesideClientsThatDontRead(40);
    }

    // The same with more answers than the operating system keeps for a connection, so that they
    // use up the sidecar's own memory.
    @Test
    void othersAreServedBesideClientsThatReadNoneOfManyAnswers() throws Exception {
        startPods(longValue());
        extraJvmFlags.add("-XX:MaxDirectMemorySize=16m");
        startSidecarWithLimit();
        assertOthersAreServedBesideClientsThatDontRead(400);
    }

    // Clients that keep the memory of all answers by taking none give it to others.
    @Test
    void clientsThatTakeNoAnswersGiveTheirMemoryToOthers() throws Exception {
        startPods(longValue());
        extraJvmFlags.add("-XX:MaxDirectMemorySize=16m");
        configReplacements.put("\"aimNs\":500000000", "\"aimNs\":5000000000");
        configReplacements.put("\"deadlineNs\":1500000000", "\"deadlineNs\":20000000000");
        startSidecarWithLimit();
        for (int i = 0; i < 8; i++) {
            Client unread = new Client();
            closeables.add(unread);
            startDaemonThread(
                    () -> {
                        for (int j = 0; j < 2_000; j++) {
                            unread.socket
                                    .getOutputStream()
                                    .write(queryMessage(newSelectSql("long", 20_000)));
                        }
                    });
        }
        // Memory is used up, or was between two lines of the log.
        Pattern memoryUsed = Pattern.compile("resp_mb=[2-9][.]|evicted=");
        awaitTrue(() -> memoryUsed.matcher(logText()).find());
        TimeUnit.MILLISECONDS.sleep(2_000);
        try (Client client = new Client()) {
            for (int i = 0; i < 20; i++) {
                assertTrue(client.execute(newSelectSql("long", 1_000)).startsWith("TD"), logText());
            }
        }
    }

    private static byte[] longValue() {
        byte[] value = new byte[60_000];
        Arrays.fill(value, (byte) 'x');
        return value;
    }

    private void assertOthersAreServedBesideClientsThatDontRead(int requestCount) throws Exception {
        Queue<Socket> unread = new ConcurrentLinkedQueue<>();
        assertOthersAreServedBeside(
                number -> {
                    Socket socket = new Socket();
                    unread.add(socket);
                    socket.setReceiveBufferSize(4096);
                    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                    socket.getOutputStream().write(startupMessage());
                    for (int i = 0; i < requestCount; i++) {
                        socket.getOutputStream().write(queryMessage(newSelectSql("long", 5000)));
                    }
                    TimeUnit.MILLISECONDS.sleep(TROUBLE_MS);
                });
        for (Socket socket : unread) {
            socket.close();
        }
    }
}
