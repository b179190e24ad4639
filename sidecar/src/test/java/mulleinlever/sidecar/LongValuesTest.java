package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that values of the maximum size don't exhaust the sidecar's memory. */
@Timeout(60)
class LongValuesTest extends SidecarTestBase {
    private static final String LONG_VALUE = "x".repeat(64 * 1024);
    private static final String LONG_HEX_VALUE = "\\x" + "9f".repeat(64 * 1024);

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
}
