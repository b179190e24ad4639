package mulleinlever.sidecar;

import mulleinlever.DecayingSum;

/**
 * Decides how long a connection to a pod may take to open before it is given up and its try fails
 * to connect. A try to a pod that is suspended, lost or cut off would otherwise wait for the full
 * timeout of the settings, which can be most of a latency objective.
 *
 * <p>A connection that opens at all does so within a few times the duration of the slowest recent
 * one. The more connections time out, the longer the timeout: the pods may be slow rather than
 * gone, and each connection given up too soon would cost them one more handshake.
 *
 * <p>Called by the event loop only.
 */
final class AdaptiveConnectTimeout {
    /** The timeout as a multiple of the slowest recent duration, when no connection times out. */
    private static final double SLOWEST_MULTIPLE = 3;

    /** The number of opened connections below which the maximum timeout applies. */
    private static final double MIN_SUCCESS_COUNT = 20;

    /**
     * The minimum timeout as a fraction of the maximum: a garbage collection pause of the sidecar
     * or of the pod must not make connections time out.
     */
    private static final double MIN_TIMEOUT_FRACTION = 0.1;

    private static final long HALF_LIFE_NS = 10_000_000_000L;

    private final long maxTimeoutNs;

    /** All connections that opened, without decay. */
    private long successCount;

    /** The duration of the slowest connection that opened, decayed since. */
    private final DecayingSum slowestConnectNs = new DecayingSum(HALF_LIFE_NS);

    private final DecayingSum recentSuccesses = new DecayingSum(HALF_LIFE_NS);
    private final DecayingSum recentTimeouts = new DecayingSum(HALF_LIFE_NS);

    /** Creates a timeout that is at most {@code maxTimeoutNs}. */
    AdaptiveConnectTimeout(long maxTimeoutNs) {
        this.maxTimeoutNs = maxTimeoutNs;
    }

    /** Records a connection that opened after {@code durationNs}. */
    void recordSuccess(long nowNs, long durationNs) {
        successCount++;
        recentSuccesses.add(nowNs, 1);
        slowestConnectNs.add(nowNs, Math.max(0, durationNs - slowestConnectNs.valueAt(nowNs)));
    }

    /**
     * Records a connection that did not open within its timeout. Refused connections are not
     * recorded, since they do not show how slow pods are.
     */
    void recordTimeout(long nowNs) {
        recentTimeouts.add(nowNs, 1);
    }

    /** Returns the timeout for a connection that begins to open now. */
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
