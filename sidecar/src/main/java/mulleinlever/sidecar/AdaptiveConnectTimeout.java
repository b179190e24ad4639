package mulleinlever.sidecar;

import mulleinlever.DecayingSum;

/**
 * Decides how long a connection to a pod may take to come up before the try that waits for it goes
 * elsewhere: a pod that is paused, lost or cut off holds it for all the time that the settings
 * allow, which can be most of a latency objective. What comes up at all does so within a few times
 * the slowest of late. Where many fail, pods may be slow rather than gone, and giving up sooner
 * would cost them one handshake more each time: then it waits longer.
 */
final class AdaptiveConnectTimeout {
    private static final double SLOWEST_MULTIPLE = 3;

    /** Fewer show too little of what is usual. */
    private static final double MIN_SUCCESS_COUNT = 20;

    /**
     * Never under this part of what the settings allow: a collector's pause at either end must not
     * count.
     */
    private static final double MIN_TIMEOUT_FRACTION = 0.1;

    private static final long HALF_LIFE_NS = 10_000_000_000L;

    private final long maxTimeoutNs;
    private long successCount;
    private final DecayingSum slowestConnectNs = new DecayingSum(HALF_LIFE_NS);
    private final DecayingSum recentSuccesses = new DecayingSum(HALF_LIFE_NS);
    private final DecayingSum recentTimeouts = new DecayingSum(HALF_LIFE_NS);

    /** Up to what the settings allow, in nanoseconds. */
    AdaptiveConnectTimeout(long maxTimeoutNs) {
        this.maxTimeoutNs = maxTimeoutNs;
    }

    void recordSuccess(long nowNs, long durationNs) {
        successCount++;
        recentSuccesses.add(nowNs, 1);
        slowestConnectNs.add(nowNs, Math.max(0, durationNs - slowestConnectNs.valueAt(nowNs)));
    }

    /** It did not come up in its time; one that was refused tells nothing of how slow pods are. */
    void recordTimeout(long nowNs) {
        recentTimeouts.add(nowNs, 1);
    }

    /** In nanoseconds, for a connection opened now. */
    long timeoutNs(long nowNs) {
        double successes = recentSuccesses.valueAt(nowNs);
        if (successCount < MIN_SUCCESS_COUNT || successes == 0) {
            return maxTimeoutNs;
        }
        double multiple =
                SLOWEST_MULTIPLE * (successes + recentTimeouts.valueAt(nowNs)) / successes;
        return (long)
                Math.min(
                        maxTimeoutNs,
                        Math.max(
                                MIN_TIMEOUT_FRACTION * maxTimeoutNs,
                                multiple * slowestConnectNs.valueAt(nowNs)));
    }
}
