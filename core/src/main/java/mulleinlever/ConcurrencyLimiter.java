package mulleinlever;

/**
 * Decides how many tries one sidecar may have open at all pods together. The longer answers take,
 * the fewer: what waits at the sidecar can be shed or go elsewhere, what waits at a pod can't.
 */
final class ConcurrencyLimiter {
    private static final long LATENCY_HALF_LIFE_NS = 1_000_000_000L;

    /**
     * Answers are wanted at this share of their latency objective; above it, fewer tries are let
     * out.
     */
    private static final double TARGET_LATENCY_RATIO = 0.33;

    /**
     * Tries that all sidecars together may always have open at a pod, and times that at the start.
     */
    private static final double MIN_OPEN_TRIES_PER_POD = 3;

    private static final double INITIAL_LIMIT_FACTOR = 4;
    private static final long DEMAND_HALF_LIFE_NS = 5_000_000_000L;

    private final int sidecarCount;
    private final DecayingMean meanLatencyRatio = new DecayingMean(LATENCY_HALF_LIFE_NS);

    /**
     * Seconds that the reqs that came want at pods at ease: a second's worth of it is what they
     * keep open.
     */
    private final DecayingSum demandSeconds = new DecayingSum(DEMAND_HALF_LIFE_NS);

    private double limit;
    private int openTryCount;

    ConcurrencyLimiter(int sidecarCount) {
        this.sidecarCount = sidecarCount;
    }

    /**
     * A req came whose tries take so long of late, in nanoseconds, and are wanted within the
     * objective.
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
     * How long a try took, in shares of its latency objective; what was never answered counts as
     * just late.
     */
    void recordLatency(long nowNs, double latencyRatio, boolean unanswered) {
        meanLatencyRatio.add(nowNs, unanswered ? Math.min(1, latencyRatio) : latencyRatio);
    }

    double latencyRatio(long nowNs) {
        return meanLatencyRatio.meanAt(nowNs, 0, 1);
    }

    boolean isOverloaded(long nowNs) {
        return latencyRatio(nowNs) > TARGET_LATENCY_RATIO;
    }

    /**
     * How long the reqs before it in line take to be sent, if tries take so long; in nanoseconds.
     */
    double estimatedQueueWaitNs(int queuedBeforeCount, double completedPerSecond, double meanNs) {
        return queuedBeforeCount / Math.max(Math.max(1, completedPerSecond) / 1e9, limit / meanNs);
    }

    /** At each tick, with the number of pods that may be used. */
    void adjustLimit(long nowNs, int podCount) {
        double minLimit = minLimit(nowNs, podCount);
        limit = Math.max(limit, minLimit);
        // Of a few answers chance alone makes the mean lie above its own by as much again over the
        // root of
        // their number.
        double sampleCount = Math.max(1, meanLatencyRatio.snapshot(nowNs).weight());
        double overload =
                latencyRatio(nowNs) / (1 + 1 / Math.sqrt(sampleCount)) / TARGET_LATENCY_RATIO;
        if (overload > 1) {
            limit = Math.max(minLimit, limit * (1 - 0.1 * Math.min(1, overload - 1)));
        } else if (openTryCount > 0.8 * limit) {
            limit *= 1.02;
        }
    }

    /** Before the first pods are known there is none. */
    void initializeLimit(long nowNs, int podCount) {
        limit =
                limit == 0 && podCount > 0
                        ? INITIAL_LIMIT_FACTOR * minLimit(nowNs, podCount)
                        : limit;
    }

    /**
     * An even share of what the pods can always take; but traffic is not spread evenly over
     * sidecars, so it is also what this one's own reqs keep open where answers take as long as at
     * ease, by Little's law: if all do so, pods asked for twice what they can do take twice that
     * long, and no longer.
     */
    private double minLimit(long nowNs, int podCount) {
        return Math.max(
                Math.max(2, MIN_OPEN_TRIES_PER_POD * podCount / sidecarCount),
                demandSeconds.ratePerSecond(nowNs));
    }
}
