package mulleinlever;

import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Remembers the reqs that have ended and may have run at a pod, by hashes of their ids. A client
 * whose connection has ended may send its req once more under the same id; that must not run again
 * where its first run is not recognised. Used on the event loop.
 */
final class ExecutionHistory {
    /**
     * The memory of one entry in bytes, whatever the length of the req's id: the entry with its
     * try, its key, and its node and its part of the table in the map.
     */
    static final int ENTRY_BYTES = 136;

    /** A try that may have run, of a req that has ended. */
    private record Execution(Try firstTry, long expiresNs) {}

    private final long retentionNs;
    private final SipHash idHash;
    private int maxEntries = Integer.MAX_VALUE;

    /** By the hashes of the reqs' ids, in the order in which the reqs ended. */
    private final Map<Long, Execution> executionsByIdHash = new LinkedHashMap<>();

    /**
     * Creates an empty history.
     *
     * @param retentionNs how long a req is remembered after its end
     * @param seed the seed of the key with which ids are hashed
     */
    ExecutionHistory(long retentionNs, long seed) {
        this.retentionNs = retentionNs;
        SplittableRandom keys = new SplittableRandom(seed);
        this.idHash = new SipHash(keys.nextLong(), keys.nextLong());
    }

    /**
     * Returns the history for reqs of these routes. It lasts for the longest time for which a
     * client waits, and for the longest dedup window after that.
     */
    static ExecutionHistory of(Settings settings, long seed) {
        long maxTimeoutNs = 0;
        long maxWindowNs = 0;
        for (Settings.RouteSettings route : settings.routes()) {
            maxTimeoutNs = Math.max(maxTimeoutNs, route.timeoutNs());
            maxWindowNs = Math.max(maxWindowNs, route.dedupWindowNs());
        }
        return new ExecutionHistory(maxTimeoutNs + maxWindowNs, seed);
    }

    /** Sets the memory above which the oldest entries are dropped, in bytes. */
    void limitMemory(long maxBytes) {
        maxEntries = (int) Math.max(1, Math.min(maxBytes / ENTRY_BYTES, Integer.MAX_VALUE));
    }

    /**
     * Records that a req has ended, unless a repeat of it does no harm or none of its tries ran.
     */
    void recordEnded(long nowNs, ReqState reqState) {
        Try firstTry = reqState.firstTryThatMayHaveRun();
        if (firstTry == null
                || reqState.route.settings.retrySafety() == Settings.RetrySafety.IDEMPOTENT) {
            return;
        }
        removeExpired(nowNs);
        long key = hash(reqState.req.id());
        executionsByIdHash.remove(key);
        executionsByIdHash.put(key, new Execution(firstTry, nowNs + retentionNs));
    }

    private long hash(String reqId) {
        return idHash.hash(reqId.getBytes(StandardCharsets.UTF_8));
    }

    private void removeExpired(long nowNs) {
        for (Iterator<Execution> oldestFirst = executionsByIdHash.values().iterator();
                oldestFirst.hasNext(); ) {
            boolean expired = oldestFirst.next().expiresNs() <= nowNs;
            if (!expired && executionsByIdHash.size() < maxEntries) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /** Returns the first try that may have run of an earlier req with this id; null if none did. */
    Try find(long nowNs, String reqId) {
        Execution execution = executionsByIdHash.get(hash(reqId));
        return execution == null || execution.expiresNs() <= nowNs ? null : execution.firstTry();
    }

    /** Returns the number of reqs that are remembered. */
    int size() {
        return executionsByIdHash.size();
    }
}
