package mulleinlever.sidecar;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/** Bounds the bytes of reqs in hand: past the most, clients are not read from until there is room again. */
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
            var all = new ArrayList<>(waiting);
            waiting.clear();
            all.forEach(TakeIn::resume);
        }
    }

    void await(TakeIn client) {
        waiting.add(client);
    }

    void forget(TakeIn client) {
        waiting.remove(client);
    }
}
