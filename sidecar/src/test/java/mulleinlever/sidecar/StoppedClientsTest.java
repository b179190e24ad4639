package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that clients that stop and stay take no connections from other clients. */
@Timeout(60)
class StoppedClientsTest extends SidecarTestBase {
    /** The time within which a client that sends nothing valid is owed an error or a close. */
    private static final long BAD_CLIENT_LIMIT_MS = 3_000;

    private static final int MAX_SOCKETS = 64;

    /** The number of client connections at which accepting pauses. */
    private static final int MAX_CLIENT_CONNECTIONS = (int) (0.55 * MAX_SOCKETS);

    StoppedClientsTest() throws IOException {}

    /** Connects and sends the first half of a query. */
    private Client stopInMiddleOfQuery() throws IOException {
        Client client = new Client(false);
        client.socket.getOutputStream().write(startupMessage());
        byte[] query = queryMessage(selectSql("1", 1400));
        client.socket.getOutputStream().write(Arrays.copyOf(query, query.length / 2));
        return client;
    }

    private static void closeAll(List<Client> clients) throws IOException {
        for (Client client : clients) {
            client.close();
        }
    }

    /** Returns the time until the sidecar closes the connection. */
    private static long awaitClosedMs(Client client, long startNs) throws IOException {
        while (!client.isClosedByPeer()) {}
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    // Clients that stopped in the middle of a query kept all connections for 10 s, and nobody else
    // was accepted.
    @Test
    void newClientsAreServedWhileStoppedClientsHoldAllConnections() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar(MAX_SOCKETS);
        List<Client> stoppedClients = new ArrayList<>();
        long startNs = System.nanoTime();
        for (int i = 0; i < 2 * MAX_CLIENT_CONNECTIONS; i++) {
            stoppedClients.add(stopInMiddleOfQuery());
        }
        for (int i = 0; i < 50; i++) {
            try (Client client = new Client()) {
                assertEquals("TDvC", client.execute(selectSql("1", 1000)));
            }
            Thread.sleep(20);
        }
        for (Client stopped : stoppedClients) {
            long closedMs = awaitClosedMs(stopped, startNs);
            assertTrue(closedMs <= BAD_CLIENT_LIMIT_MS, "closed after " + closedMs + " ms");
        }
        closeAll(stoppedClients);
    }

    // A client that stopped in the middle of a query, or sent a byte of it now and then, was closed
    // after 10 s of silence or not at all.
    @Test
    void incompleteMessagesEndInTime() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        long startNs = System.nanoTime();
        try (Client silent = new Client(false);
                Client stopped = stopInMiddleOfQuery();
                Client slow = stopInMiddleOfQuery()) {
            startDaemonThread(
                    () -> {
                        while (true) {
                            Thread.sleep(100);
                            slow.socket.getOutputStream().write(' ');
                        }
                    });
            for (Client client : List.of(silent, stopped, slow)) {
                long closedMs = awaitClosedMs(client, startNs);
                assertTrue(closedMs <= BAD_CLIENT_LIMIT_MS, "closed after " + closedMs + " ms");
            }
        }
    }

    // Accepting paused while no connection was idle, and did not resume when they became idle.
    @Test
    void acceptingResumesWhenConnectionsBecomeIdle() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar(MAX_SOCKETS);
        byte[] query = queryMessage(";");
        int halfBytes = query.length / 2;
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < MAX_CLIENT_CONNECTIONS; i++) {
            Client client = new Client();
            clients.add(client);
            client.socket.getOutputStream().write(query, 0, halfBytes);
            Thread.sleep(2);
        }
        for (Client client : clients) {
            client.socket.getOutputStream().write(query, halfBytes, query.length - halfBytes);
        }
        try (Client client = new Client()) {
            assertEquals("TDvC", client.execute(selectSql("1", 1000)));
        }
        closeAll(clients);
    }
}
