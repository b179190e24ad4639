package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the sidecar while system calls fail for lack of file descriptors, and afterwards. */
@Timeout(90)
class DescriptorExhaustionTest extends SidecarTestBase {
    private static final int DESCRIPTOR_LIMIT = 80;

    DescriptorExhaustionTest() throws IOException {}

    /** Opens more connections than the process has file descriptors, which send nothing. */
    private List<Socket> exhaustDescriptors() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 2 * DESCRIPTOR_LIMIT; i++) {
            sockets.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        awaitTrue(() -> logText().contains("Too many open files"));
        return sockets;
    }

    private static void close(List<Socket> sockets) throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    // A watch whose socket could not be created threw while its end was handled, and was never
    // opened again.
    @Test
    void reopensWatchAfterSocketCreationFailed() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        descriptorLimit = DESCRIPTOR_LIMIT;
        startSidecar(1024);
        awaitTrue(() -> discovery.received.size() == 1);
        List<Socket> idleSockets = exhaustDescriptors();
        closeConnections(discovery);
        // A client in the listen backlog takes the descriptor of the closed watch before the watch
        // is opened again.
        awaitTrue(() -> logText().contains("watch 2 has ended"));
        close(idleSockets);
        awaitTrue(() -> discovery.received.size() == 2);
    }

    // When no socket could be created for a try, the failure was reported on a thread other than
    // the event loop, or the try waited for its timeout.
    @Test
    void failsTryFastWhenSocketCreationFails() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        descriptorLimit = DESCRIPTOR_LIMIT;
        startSidecar(1024);
        try (Client client = new Client()) {
            List<Socket> idleSockets = exhaustDescriptors();
            long startNs = System.nanoTime();
            assertEquals("E53300 with retry delay", client.execute(selectSql("1", 1400)));
            long tookMs = (System.nanoTime() - startNs) / 1_000_000;
            assertTrue(tookMs < 700, "answered after " + tookMs + " ms of 1400");
            close(idleSockets);
            awaitServed(client);
        }
    }

    // After a failed accept no client was accepted for a second.
    @Test
    void resumesAcceptingAfterAcceptFailure() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        descriptorLimit = DESCRIPTOR_LIMIT;
        startSidecar(1024);
        for (int i = 0; i < 5; i++) {
            close(exhaustDescriptors());
            long startNs = System.nanoTime();
            try (Client client = new Client()) {
                assertEquals("TDvC", client.execute(selectSql("1", 1400)));
            }
            long tookMs = (System.nanoTime() - startNs) / 1_000_000;
            assertTrue(tookMs < 500, "accepted and served after " + tookMs + " ms");
            Thread.sleep(300);
        }
    }
}
