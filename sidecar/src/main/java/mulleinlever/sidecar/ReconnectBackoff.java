package mulleinlever.sidecar;

import java.util.SplittableRandom;

/**
 * Decides how long to wait before a connection that has ended is opened again. Many sidecars lose
 * the same peer at the same moment: after a fixed delay all of them would reconnect at the same
 * time, again and again for as long as the peer is down.
 *
 * <p>The delay doubles up to a maximum, and jitter draws it from the upper half of that range. Only
 * a connection that stayed open for longer than the maximum and the initial delay together resets
 * it, since a peer that accepts connections and closes them at once is down too.
 */
final class ReconnectBackoff {
    private final long initialDelayNs;
    private final long maxDelayNs;
    private final SplittableRandom random;

    /** The latest delay before jitter; 0 before the first. */
    private long fullDelayNs;

    private long openedNs;

    /**
     * Creates a backoff whose delays begin at {@code initialDelayNs}, which is also the maximum if
     * {@code maxDelayNs} is less.
     */
    ReconnectBackoff(long initialDelayNs, long maxDelayNs, long seed) {
        this.initialDelayNs = initialDelayNs;
        this.maxDelayNs = Math.max(initialDelayNs, maxDelayNs);
        this.random = new SplittableRandom(seed);
    }

    /**
     * Returns the maximum delay, in nanoseconds, with which the sidecars of a fleet together
     * reconnect to a peer at two thirds of {@code callsPerSecond} on average, but no more than one
     * minute. Right after they lost the peer the attempts are still bunched, and those of a large
     * fleet exceed the average in single seconds.
     *
     * @param callsPerSecond the calls that the peer accepts from the whole fleet; less than 0.1, or
     *     not a number, counts as 0.1
     */
    static long maxDelayNs(int sidecars, double callsPerSecond) {
        return (long)
                (1e9
                        * Math.min(
                                60,
                                2.0 * sidecars / (callsPerSecond > 0.1 ? callsPerSecond : 0.1)));
    }

    /** Records that the connection is being opened at the given time. */
    void recordOpened(long nowNs) {
        openedNs = nowNs;
    }

    /**
     * Returns how long to wait, in nanoseconds, before a connection that has ended now is opened
     * again.
     */
    long nextDelayNs(long nowNs) {
        boolean stayedOpen = nowNs - openedNs > maxDelayNs + initialDelayNs;
        fullDelayNs =
                fullDelayNs == 0 || stayedOpen
                        ? initialDelayNs
                        : Math.min(maxDelayNs, 2 * fullDelayNs);
        return fullDelayNs / 2 + random.nextLong(fullDelayNs / 2 + 1);
    }
}
