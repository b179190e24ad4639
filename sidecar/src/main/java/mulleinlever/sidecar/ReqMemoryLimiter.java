package mulleinlever.sidecar;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory of the reqs in flight, so that a burst of large values doesn't exhaust it.
 * Above the limit no client is read from until enough has been released. Called by the event loop
 * only.
 */
final class ReqMemoryLimiter {
    private static final long MAX_RESERVED_BYTES = 12L << 20;

    /** The connections that paused reading because of the limit. */
    private final Set<ClientConnection> waiting = new LinkedHashSet<>();

    private long reservedBytes;

    /** Returns whether more memory is reserved than the limit allows. */
    boolean isExceeded() {
        return reservedBytes > MAX_RESERVED_BYTES;
    }

    /** Adds to the reserved memory, in bytes. The limit doesn't reject a reservation. */
    void reserve(int bytes) {
        reservedBytes += bytes;
    }

    /**
     * Subtracts from the reserved memory, in bytes. Once it is within the limit again, all waiting
     * connections resume decoding.
     */
    void release(int bytes) {
        reservedBytes -= bytes;
        if (!isExceeded() && !waiting.isEmpty()) {
            waiting.forEach(ClientConnection::scheduleDecode);
            waiting.clear();
        }
    }

    /** Adds a connection that resumes decoding once the reserved memory is within the limit. */
    void addWaiter(ClientConnection client) {
        waiting.add(client);
    }

    void removeWaiter(ClientConnection client) {
        waiting.remove(client);
    }
}
