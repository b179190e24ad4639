package mulleinlever;

/**
 * Decides how many tries one sidecar may have open at all pods together. The longer answers take,
 * the fewer: what waits at the sidecar can be shed or go elsewhere, what waits at a pod can't.
 */
final class ConcurrencyLimiter {
    private static final long HALF_LIFE = 1_000_000_000L;

    /**
     * Answers are wanted at this share of their latency objective; above it, fewer tries are let
     * out.
     */
    private static final double AT_EASE = 0.33;

    /**
     * Tries that all sidecars together may always have open at a pod, and times that at the start.
     */
    private static final double LEAST_A_POD = 3;

    private static final double FIRST = 4;
    private static final long RATE_HALF_LIFE = 5_000_000_000L;

    private final int sidecars;
    private final DecayingMean ease = new DecayingMean(HALF_LIFE);

    /**
     * Seconds that the reqs that came want at pods at ease: a second's worth of it is what they
     * keep open.
     */
    private final DecayingSum wanted = new DecayingSum(RATE_HALF_LIFE);

    private double most;
    private int open;

    ConcurrencyLimiter(int sidecars) {
        this.sidecars = sidecars;
    }

    /**
     * A req came whose tries take so long of late, in nanoseconds, and are wanted within the
     * objective.
     */
    void recordDemand(long nowNs, double meanNs, double objectiveNs) {
        wanted.add(nowNs, Math.min(meanNs, AT_EASE * objectiveNs) / 1e9);
    }

    boolean hasCapacity() {
        return open < most;
    }

    int openTryCount() {
        return open;
    }

    double limit() {
        return most;
    }

    void onTryStarted() {
        open++;
    }

    void onTryEnded() {
        open--;
    }

    /**
     * How long a try took, in shares of its latency objective; what was never answered counts as
     * just late.
     */
    void recordLatency(long nowNs, double part, boolean unanswered) {
        ease.add(nowNs, unanswered ? Math.min(1, part) : part);
    }

    double latencyRatio(long nowNs) {
        return ease.meanAt(nowNs, 0, 1);
    }

    boolean isOverloaded(long nowNs) {
        return latencyRatio(nowNs) > AT_EASE;
    }

    /**
     * How long the reqs before it in line take to be sent, if tries take so long; in nanoseconds.
     */
    double estimatedQueueWaitNs(int before, double completedPerSecond, double meanNs) {
        return before / Math.max(Math.max(1, completedPerSecond) / 1e9, most / meanNs);
    }

    /** At each tick, with the number of pods that may be used. */
    void adjustLimit(long nowNs, int pods) {
        double least = least(nowNs, pods);
        most = Math.max(most, least);
        // Of a few answers chance alone makes the mean lie above its own by as much again over the
        // root of
        // their number.
        double seen = Math.max(1, ease.snapshot(nowNs).weight());
        double tense = latencyRatio(nowNs) / (1 + 1 / Math.sqrt(seen)) / AT_EASE;
        if (tense > 1) {
            most = Math.max(least, most * (1 - 0.1 * Math.min(1, tense - 1)));
        } else if (open > 0.8 * most) {
            most *= 1.02;
        }
    }

    /** Before the first pods are known there is none. */
    void initializeLimit(long nowNs, int pods) {
        most = most == 0 && pods > 0 ? FIRST * least(nowNs, pods) : most;
    }

    /**
     * An even share of what the pods can always take; but traffic is not spread evenly over
     * sidecars, so it is also what this one's own reqs keep open where answers take as long as at
     * ease, by Little's law: if all do so, pods asked for twice what they can do take twice that
     * long, and no longer.
     */
    private double least(long nowNs, int pods) {
        return Math.max(Math.max(2, LEAST_A_POD * pods / sidecars), wanted.ratePerSecond(nowNs));
    }
}
