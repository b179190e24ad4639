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
    private static final double TIMES_SLOWEST = 3;

    /** Fewer show too little of what is usual. */
    private static final double ENOUGH = 20;

    /**
     * Never under this part of what the settings allow: a collector's pause at either end must not
     * count.
     */
    private static final double LEAST_PART = 0.1;

    private static final long HALF_LIFE_NS = 10_000_000_000L;

    private final long mostNs;
    private long ups;
    private final DecayingSum slowestNs = new DecayingSum(HALF_LIFE_NS);
    private final DecayingSum cameUp = new DecayingSum(HALF_LIFE_NS);
    private final DecayingSum tooLate = new DecayingSum(HALF_LIFE_NS);

    /** Up to what the settings allow, in nanoseconds. */
    AdaptiveConnectTimeout(long mostNs) {
        this.mostNs = mostNs;
    }

    void recordSuccess(long nowNs, long tookNs) {
        ups++;
        cameUp.add(nowNs, 1);
        slowestNs.add(nowNs, Math.max(0, tookNs - slowestNs.valueAt(nowNs)));
    }

    /** It did not come up in its time; one that was refused tells nothing of how slow pods are. */
    void recordTimeout(long nowNs) {
        tooLate.add(nowNs, 1);
    }

    /** In nanoseconds, for a connection opened now. */
    long timeoutNs(long nowNs) {
        double up = cameUp.valueAt(nowNs);
        if (ups < ENOUGH || up == 0) {
            return mostNs;
        }
        double times = TIMES_SLOWEST * (up + tooLate.valueAt(nowNs)) / up;
        return (long)
                Math.min(mostNs, Math.max(LEAST_PART * mostNs, times * slowestNs.valueAt(nowNs)));
    }
}
