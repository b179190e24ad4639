package mulleinlever;

/**
 * Estimates when a pod started. The list states the start by a wall clock that may have been
 * stepped, on this machine or on the pod's. A step must neither end the slow start of a pod early
 * nor prolong it by its length. Used by {@link Policy} on the event loop. Times are nanoseconds.
 */
final class PodStartEstimator {
    /** The maximum time that a pod runs before it is listed. */
    private static final long MAX_UNLISTED_NS = 30_000_000_000L;

    /** The maximum difference between the clocks of two machines of one network. */
    private static final long MAX_CLOCK_SKEW_NS = 500_000_000L;

    private boolean wallClockTrusted = true;

    /** Called when the wall clock was stepped; it is not trusted from then on. */
    void onWallClockStepped() {
        wallClockTrusted = false;
    }

    /**
     * Returns the estimated start of a pod that is new on the list or has restarted; 0 for long
     * ago. The wall clock is no longer trusted after a listed start that can't be right.
     *
     * @param listedStartNs the start according to the list; 0 for long ago
     * @param listConfirmedNs when the list was last known to be correct without the pod
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
