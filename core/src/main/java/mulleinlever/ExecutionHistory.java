package mulleinlever;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the reqs that have ended and may have run at a pod, by their ids. A client whose
 * connection has ended may send its req once more under the same id; that must not run again where
 * its first run is not recognised. Used on the event loop.
 */
final class ExecutionHistory {
    /** A try that may have run, of a req that has ended. */
    private record Execution(Try firstTry, long expiresNs) {}

    private final long retentionNs;
    private int maxEntries = Integer.MAX_VALUE;

    /** In the order in which the reqs ended. */
    private final Map<String, Execution> executionsById = new LinkedHashMap<>();

    ExecutionHistory(long retentionNs) {
        this.retentionNs = retentionNs;
    }

    /**
     * Returns the history for reqs of these routes. It lasts for the longest time for which a
     * client waits, and for the longest dedup window after that.
     */
    static ExecutionHistory of(Settings settings) {
        long maxTimeoutNs = 0;
        long maxWindowNs = 0;
        for (Settings.RouteSettings route : settings.routes()) {
            maxTimeoutNs = Math.max(maxTimeoutNs, route.timeoutNs());
            maxWindowNs = Math.max(maxWindowNs, route.dedupWindowNs());
        }
        return new ExecutionHistory(maxTimeoutNs + maxWindowNs);
    }

    /** Sets the number of entries above which the oldest are dropped. */
    void limitEntries(int newMaxEntries) {
        maxEntries = newMaxEntries;
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
        executionsById.remove(reqState.req.id());
        executionsById.put(reqState.req.id(), new Execution(firstTry, nowNs + retentionNs));
    }

    private void removeExpired(long nowNs) {
        for (Iterator<Execution> oldestFirst = executionsById.values().iterator();
                oldestFirst.hasNext(); ) {
            boolean expired = oldestFirst.next().expiresNs() <= nowNs;
            if (!expired && executionsById.size() < maxEntries) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /** Returns the first try that may have run of an earlier req with this id; null if none did. */
    Try find(long nowNs, String reqId) {
        Execution execution = executionsById.get(reqId);
        return execution == null || execution.expiresNs() <= nowNs ? null : execution.firstTry();
    }
}
