package mulleinlever;

/**
 * Decides when a server started. The list tells it by a wall clock that may have been stepped, on
 * our machine or on the server's, and slow start must neither be left out for that nor last for as
 * long as the step. Times are nanoseconds.
 */
final class PodStartEstimator {
    /** A server that is new on the list can't have run for longer without being listed. */
    private static final long MAX_UNLISTED_NS = 30_000_000_000L;

    /** Clocks of one network differ by less. */
    private static final long MAX_CLOCK_SKEW_NS = 500_000_000L;

    private boolean wallClockTrusted = true;

    /** The wall clock was stepped: what it tells from now on is not to be relied on. */
    void onWallClockStepped() {
        wallClockTrusted = false;
    }

    /**
     * When a server started that is new on the list or has started anew.
     *
     * @param listedStartNs as the list tells it; 0 for long ago
     * @param listConfirmedNs when the list was last true without it
     */
    long estimateStartNs(long listedStartNs, long listConfirmedNs, long nowNs) {
        if (listedStartNs == 0) {
            return 0;
        }
        wallClockTrusted &=
                listedStartNs < nowNs + MAX_CLOCK_SKEW_NS
                        && listedStartNs > listConfirmedNs - MAX_UNLISTED_NS;
        return Math.min(
                nowNs, wallClockTrusted ? listedStartNs : Math.max(listConfirmedNs, listedStartNs));
    }
}
