package mulleinlever.sidecar;

import java.util.SplittableRandom;

/**
 * Decides how long to wait before what has ended is opened anew. Many sidecars lose the same peer
 * at the same moment: by a fixed pause all would come back in step, for as long as it is down.
 * Waits double up to a bound and are drawn from their upper half; only what has stood for longer
 * than the bound begins at the first again, since a peer that accepts and breaks off at once is
 * down too.
 */
final class ReconnectBackoff {
    private final long initialDelayNs;
    private final long maxDelayNs;
    private final SplittableRandom random;
    private long fullDelayNs;
    private long openedNs;

    /** Times in nanoseconds; the longest wait is the first one where it would be less. */
    ReconnectBackoff(long initialDelayNs, long maxDelayNs, long seed) {
        this.initialDelayNs = initialDelayNs;
        this.maxDelayNs = Math.max(initialDelayNs, maxDelayNs);
        this.random = new SplittableRandom(seed);
    }

    /**
     * The longest wait by which a fleet makes two in three of the calls a second that a peer takes
     * from all, on average: no more than a minute, whatever was set. While it is still bunched, a
     * large one makes more in single seconds.
     */
    static long maxDelayNs(int sidecars, double callsPerSecond) {
        return (long)
                (1e9
                        * Math.min(
                                60,
                                2.0 * sidecars / (callsPerSecond > 0.1 ? callsPerSecond : 0.1)));
    }

    void recordOpened(long nowNs) {
        openedNs = nowNs;
    }

    /** How long to wait, in nanoseconds, after it has ended now. */
    long nextDelayNs(long nowNs) {
        boolean stayedOpen = nowNs - openedNs > maxDelayNs + initialDelayNs;
        fullDelayNs =
                fullDelayNs == 0 || stayedOpen
                        ? initialDelayNs
                        : Math.min(maxDelayNs, 2 * fullDelayNs);
        return fullDelayNs / 2 + random.nextLong(fullDelayNs / 2 + 1);
    }
}
