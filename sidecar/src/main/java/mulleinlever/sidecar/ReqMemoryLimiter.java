package mulleinlever.sidecar;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds what reqs in hand take: past the most no client is read from until there is room again, so
 * that large values in a burst don't use up the memory.
 */
final class ReqMemoryLimiter {
    private static final long MAX_RESERVED_BYTES = 12L << 20;

    private final Set<ClientConnection> waiting = new LinkedHashSet<>();
    private long reservedBytes;

    boolean isExceeded() {
        return reservedBytes > MAX_RESERVED_BYTES;
    }

    void reserve(int bytes) {
        reservedBytes += bytes;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
        if (!isExceeded() && !waiting.isEmpty()) {
            waiting.forEach(ClientConnection::scheduleDecode);
            waiting.clear();
        }
    }

    void addWaiter(ClientConnection client) {
        waiting.add(client);
    }

    void removeWaiter(ClientConnection client) {
        waiting.remove(client);
    }
}
