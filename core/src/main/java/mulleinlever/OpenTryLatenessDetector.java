package mulleinlever;

import java.util.Collection;

/**
 * Decides, for routing only, whether the build on trial is suspected of being slow before there is
 * enough evidence for a vote. An unanswered try is no evidence for a vote until it ends, which is
 * seconds later if a build becomes slow under load, and the platform's tally shows it later still;
 * open tries show it at once. The suspicion may be mistaken, so it reduces the trial's share of the
 * traffic for a few seconds only. Used by {@link Policy} on the event loop.
 */
final class OpenTryLatenessDetector {
    /**
     * The minimum number of late open tries that raises a suspicion. Together with {@link
     * #LATE_SHARE_THRESHOLD} it rarely occurs by chance alone.
     */
    private static final int MIN_LATE_TRY_COUNT = 4;

    /** The share of late tries among the open ones above which a build counts as slow. */
    private static final double LATE_SHARE_THRESHOLD = 2.0 / 3;

    private final long suspicionNs;
    private long suspectedUntilNs = Long.MIN_VALUE;

    /**
     * @param suspicionNs how long a suspicion lasts
     */
    OpenTryLatenessDetector(long suspicionNs) {
        this.suspicionNs = suspicionNs;
    }

    boolean isSuspected(long nowNs) {
        return nowNs < suspectedUntilNs;
    }

    /**
     * Raises or prolongs the suspicion according to the open tries. There is no suspicion if the
     * earlier build's open tries are as late, because its pods would not answer sooner. Called at
     * each tick.
     *
     * @param reqs all reqs that have not been answered or have open tries
     */
    void evaluate(long nowNs, Collection<ReqState> reqs, RolloutStatus status) {
        // Element 0 counts the tries at earlier builds, element 1 those at builds on trial.
        int[] openCounts = new int[2];
        int[] lateCounts = new int[2];
        for (ReqState req : reqs) {
            for (int tryNumber = req.openTryNumbers.nextSetBit(0);
                    tryNumber >= 0;
                    tryNumber = req.openTryNumbers.nextSetBit(tryNumber + 1)) {
                int side = status.isBuildOnTrial(req.tries.get(tryNumber).build()) ? 1 : 0;
                openCounts[side]++;
                lateCounts[side] += req.isOpenTryLate(nowNs, tryNumber) ? 1 : 0;
            }
        }
        if (lateCounts[1] >= MIN_LATE_TRY_COUNT
                && lateCounts[1] > LATE_SHARE_THRESHOLD * openCounts[1]
                && lateCounts[0] <= LATE_SHARE_THRESHOLD * openCounts[0]) {
            suspectedUntilNs = nowNs + suspicionNs;
        }
    }
}
