package mulleinlever.sidecar;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds what reqs in hand take: past the most no client is read from until there is room again, so
 * that large values in a burst don't use up the memory.
 */
final class ReqMemoryLimiter {
    private static final long MOST = 12L << 20;

    private final Set<ClientConnection> waiting = new LinkedHashSet<>();
    private long bytes;

    boolean full() {
        return bytes > MOST;
    }

    void add(int more) {
        bytes += more;
    }

    void remove(int less) {
        bytes -= less;
        if (!full() && !waiting.isEmpty()) {
            waiting.forEach(ClientConnection::resumeSoon);
            waiting.clear();
        }
    }

    void await(ClientConnection client) {
        waiting.add(client);
    }

    void forget(ClientConnection client) {
        waiting.remove(client);
    }
}
