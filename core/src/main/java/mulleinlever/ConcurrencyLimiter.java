package mulleinlever;

/**
 * Limits the number of tries that one sidecar may have open at all pods together. The limit falls
 * as answers take longer, because a req that waits at the sidecar can be shed or sent to another
 * pod, and one that waits at a pod can't. Used by {@link Policy} on the event loop.
 */
final class ConcurrencyLimiter {
    private static final long LATENCY_HALF_LIFE_NS = 1_000_000_000L;

    /**
     * The desired ratio of try time to latency objective; while the mean ratio is higher, the limit
     * falls.
     */
    private static final double TARGET_LATENCY_RATIO = 0.33;

    /** The number of tries that all sidecars together may always have open at a pod. */
    private static final double MIN_OPEN_TRIES_PER_POD = 3;

    /** The first limit as a multiple of the minimum. */
    private static final double INITIAL_LIMIT_FACTOR = 4;

    private static final long DEMAND_HALF_LIFE_NS = 5_000_000_000L;

    private final int sidecarCount;
    private final DecayingMean meanLatencyRatio = new DecayingMean(LATENCY_HALF_LIFE_NS);

    /**
     * The seconds for which arriving reqs would occupy pods that answer within the target ratio.
     * The rate per second is the number of tries that these reqs keep open.
     */
    private final DecayingSum demandSeconds = new DecayingSum(DEMAND_HALF_LIFE_NS);

    private double limit;
    private int openTryCount;

    ConcurrencyLimiter(int sidecarCount) {
        this.sidecarCount = sidecarCount;
    }

    /**
     * Records the arrival of a req.
     *
     * @param meanNs the current mean time of tries of its route
     * @param objectiveNs the latency objective of its route
     */
    void recordDemand(long nowNs, double meanNs, double objectiveNs) {
        demandSeconds.add(nowNs, Math.min(meanNs, TARGET_LATENCY_RATIO * objectiveNs) / 1e9);
    }

    boolean hasCapacity() {
        return openTryCount < limit;
    }

    int openTryCount() {
        return openTryCount;
    }

    double limit() {
        return limit;
    }

    void onTryStarted() {
        openTryCount++;
    }

    void onTryEnded() {
        openTryCount--;
    }

    /**
     * Records how long a try took.
     *
     * @param latencyRatio its time divided by its latency objective
     * @param unanswered whether it ended without an answer; its ratio then counts as 1 at most
     */
    void recordLatency(long nowNs, double latencyRatio, boolean unanswered) {
        meanLatencyRatio.add(nowNs, unanswered ? Math.min(1, latencyRatio) : latencyRatio);
    }

    /** Returns the mean ratio of try time to latency objective; lower while few tries are known. */
    double latencyRatio(long nowNs) {
        return meanLatencyRatio.meanAt(nowNs, 0, 1);
    }

    boolean isOverloaded(long nowNs) {
        return latencyRatio(nowNs) > TARGET_LATENCY_RATIO;
    }

    /**
     * Returns the estimated time, in nanoseconds, that a req waits until those queued before it
     * have been sent.
     *
     * @param meanNs the mean time of a try
     */
    double estimatedQueueWaitNs(int queuedBeforeCount, double completedPerSecond, double meanNs) {
        return queuedBeforeCount / Math.max(Math.max(1, completedPerSecond) / 1e9, limit / meanNs);
    }

    /**
     * Adapts the limit to the mean latency ratio. Called at each tick.
     *
     * @param podCount the number of ready pods on the list
     */
    void adjustLimit(long nowNs, int podCount) {
        double minLimit = minLimit(nowNs, podCount);
        limit = Math.max(limit, minLimit);
        // The mean of n answers exceeds the true mean by chance by about the true mean divided by
        // the square root of n.
        double sampleCount = Math.max(1, meanLatencyRatio.snapshot(nowNs).weight());
        double overload =
                latencyRatio(nowNs) / (1 + 1 / Math.sqrt(sampleCount)) / TARGET_LATENCY_RATIO;
        if (overload > 1) {
            limit = Math.max(minLimit, limit * (1 - 0.1 * Math.min(1, overload - 1)));
        } else if (openTryCount > 0.8 * limit) {
            limit *= 1.02;
        }
    }

    /** Sets the first limit once pods are known; until then it is 0 and no try may start. */
    void initializeLimit(long nowNs, int podCount) {
        limit =
                limit == 0 && podCount > 0
                        ? INITIAL_LIMIT_FACTOR * minLimit(nowNs, podCount)
                        : limit;
    }

    /**
     * Returns the value that the limit does not fall below. It is an even share of the tries that
     * the pods can always take. Since traffic is not spread evenly over sidecars, it is also at
     * least the number of tries that this sidecar's own reqs keep open, by Little's law, when
     * answers take the target ratio of the latency objective. If all sidecars do so, pods that are
     * sent twice as many reqs as they can complete take twice that time, and no longer.
     */
    private double minLimit(long nowNs, int podCount) {
        return Math.max(
                Math.max(2, MIN_OPEN_TRIES_PER_POD * podCount / sidecarCount),
                demandSeconds.ratePerSecond(nowNs));
    }
}
