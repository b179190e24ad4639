package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that clients that send commands at full speed take no time from other clients. */
@Timeout(60)
class CommandFloodTest extends SidecarTestBase {
    private static final int FLOOD_MS = 4_000;
    private static final int FLOODING_CLIENTS = 6;
    private static final int BATCH_COMMANDS = 200;
    private static final int REQUESTS_PER_SECOND = 200;
    private static final int MAX_SOCKETS = 1024;

    /** Below the shortest time that clients of the settings wait, but enough for a busy machine. */
    private static final int TIMEOUT_MS = 400;

    CommandFloodTest() throws IOException {}

    /** Sends commands on one connection without a pause, and reads all answers. */
    private void flood(IntFunction<String> command, long endNs) throws IOException {
        Client client = new Client();
        startDaemonThread(
                () -> {
                    byte[] buffer = new byte[1 << 16];
                    while (client.socket.getInputStream().read(buffer) >= 0) {}
                });
        startDaemonThread(
                () -> {
                    for (int number = 0; System.nanoTime() < endNs; ) {
                        var batch = new ByteArrayOutputStream();
                        for (int i = 0; i < BATCH_COMMANDS; i++) {
                            batch.write(queryMessage(command.apply(number++)));
                        }
                        client.socket.getOutputStream().write(batch.toByteArray());
                    }
                    client.close();
                });
    }

    private void assertOthersAreServedBeside(IntFunction<String> command) throws Exception {
        assertOthersAreServedBeside(FLOODING_CLIENTS, command);
    }

    private void assertOthersAreServedBeside(int floodingClients, IntFunction<String> command)
            throws Exception {
        for (int i = 0; i < 6; i++) {
            startPod(
                    (q, out) -> {
                        Thread.sleep(5);
                        return sendRow(out, "v");
                    });
        }
        startSidecar(MAX_SOCKETS);
        // The first requests open the connections to the pods.
        new ClientTraffic(this, TIMEOUT_MS).run(REQUESTS_PER_SECOND, 500);
        long endNs = System.nanoTime() + FLOOD_MS * 1_000_000L;
        for (int i = 0; i < floodingClients; i++) {
            int client = i;
            flood(number -> command.apply(number * floodingClients + client), endNs);
        }
        ClientTraffic traffic = new ClientTraffic(this, TIMEOUT_MS);
        traffic.run(REQUESTS_PER_SECOND, FLOOD_MS);
        System.out.println("beside a flood: " + traffic);
        assertTrue(traffic.lost.isEmpty(), traffic.toString());
        assertTrue(
                traffic.servedCount() >= 0.9 * REQUESTS_PER_SECOND * FLOOD_MS / 1000,
                traffic.toString());
        assertFalse(logText().contains("OutOfMemory"), logText());
    }

    // Each empty statement was answered by a write of its own, hundreds of them for each connection
    // in one turn of the event loop, so that others were accepted and answered late or never.
    @Test
    void othersAreServedBesideEmptyStatementsAtFullSpeed() throws Exception {
        assertOthersAreServedBeside(number -> "");
    }

    // The same with statements that are no requests.
    @Test
    void othersAreServedBesideUnsoundStatementsAtFullSpeed() throws Exception {
        assertOthersAreServedBeside(number -> "x");
    }

    // Each of many connections handled what it had received, so that their number made turns long.
    @Test
    void othersAreServedBesideHundredClientsAtFullSpeed() throws Exception {
        assertOthersAreServedBeside(
                100, number -> String.format("SELECT 1 /* id=%x,c=get,d=0 */", number));
    }

    // The same with ever new names, which must not be kept.
    @Test
    void othersAreServedBesideEverNewNamesAtFullSpeed() throws Exception {
        assertOthersAreServedBeside(
                number ->
                        String.format(
                                "SELECT 1 /* id=%x,c=%s,t=t%d,d=0 */",
                                (1L << 40) + number,
                                number % 2 == 0 ? "get" : "class" + number,
                                number));
    }
}
