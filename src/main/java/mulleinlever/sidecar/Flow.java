package mulleinlever.sidecar;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the bytes held for clients: messages half read, reqs in hand, answers not yet taken. Past the most
 * none is read from until there is room again: neither large values nor slow readers use up the memory.
 */
final class Flow {
    private static final long MOST = 12L << 20;

    private final Set<TakeIn> waiting = new LinkedHashSet<>();
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
            waiting.forEach(TakeIn::resumeSoon);
            waiting.clear();
        }
    }

    void await(TakeIn client) {
        waiting.add(client);
    }

    void forget(TakeIn client) {
        waiting.remove(client);
    }
}
