package mulleinlever.sidecar;

/**
 * Decides how long a connection to a pod may take to come up before the try that waits for it goes elsewhere: a pod
 * that is paused, lost or cut off holds it for all the time that the settings allow, which can be most of a latency
 * objective. What comes up at all does so within a few times the slowest of late. Where many fail, pods may be slow
 * rather than gone, and giving up sooner would cost them one handshake more each time: then it waits longer.
 */
final class Patience {
    private static final double TIMES_SLOWEST = 3;
    /** Fewer show too little of what is usual. */
    private static final double ENOUGH = 20;
    /** Never under this part of what the settings allow: a collector's pause at either end must not count. */
    private static final double LEAST_PART = 0.1;
    private static final double HALF_LIFE_NS = 10e9;

    private final long mostNs;
    private long ups;
    private long atNs;
    private double slowestNs;
    private double cameUp;
    private double failed;

    /** Up to what the settings allow, in nanoseconds. */
    Patience(long mostNs) {
        this.mostNs = mostNs;
    }

    void up(long nowNs, long tookNs) {
        fade(nowNs);
        ups++;
        cameUp++;
        slowestNs = Math.max(slowestNs, tookNs);
    }

    void failed(long nowNs) {
        fade(nowNs);
        failed++;
    }

    /** In nanoseconds, for a connection opened now. */
    long limitNs(long nowNs) {
        fade(nowNs);
        if (ups < ENOUGH || cameUp == 0) {
            return mostNs;
        }
        double tries = (cameUp + failed) / cameUp;
        return (long) Math.min(mostNs, Math.max(LEAST_PART * mostNs, TIMES_SLOWEST * slowestNs * tries));
    }

    private void fade(long nowNs) {
        if (nowNs > atNs) {
            double left = Math.pow(0.5, (nowNs - atNs) / HALF_LIFE_NS);
            slowestNs *= left;
            cameUp *= left;
            failed *= left;
            atNs = nowNs;
        }
    }
}
