package mulleinlever;

import java.util.Collection;

/**
 * Decides, for routing alone, whether a build on trial is in doubt before any verdict. A try that
 * is not answered tells a verdict nothing until it ends, which is seconds later where a build slows
 * under load, and the platform's count shows it later still; what is open tells at once. It may be
 * mistaken, so it costs the trial no more than some seconds of its share.
 */
final class OpenTryLatenessDetector {
    /**
     * So many of its open tries late already, being such a part of them: chance alone seldom makes
     * that.
     */
    private static final int MIN_LATE_TRY_COUNT = 4;

    private static final double LATE_SHARE_THRESHOLD = 2.0 / 3;

    private final long suspicionNs;
    private long suspectedUntilNs = Long.MIN_VALUE;

    OpenTryLatenessDetector(long suspicionNs) {
        this.suspicionNs = suspicionNs;
    }

    boolean isSuspected(long nowNs) {
        return nowNs < suspectedUntilNs;
    }

    /** Where the earlier build's open tries are as late, its pods would do no better. */
    void evaluate(long nowNs, Collection<ReqState> reqs, RolloutStatus status) {
        int[] openCounts = new int[2];
        int[] lateCounts = new int[2];
        for (ReqState req : reqs) {
            for (int tryNo = req.openTryNumbers.nextSetBit(0);
                    tryNo >= 0;
                    tryNo = req.openTryNumbers.nextSetBit(tryNo + 1)) {
                int side = status.isBuildOnTrial(req.tries.get(tryNo).build()) ? 1 : 0;
                openCounts[side]++;
                lateCounts[side] += req.isOpenTryLate(nowNs, tryNo) ? 1 : 0;
            }
        }
        if (lateCounts[1] >= MIN_LATE_TRY_COUNT
                && lateCounts[1] > LATE_SHARE_THRESHOLD * openCounts[1]
                && lateCounts[0] <= LATE_SHARE_THRESHOLD * openCounts[0]) {
            suspectedUntilNs = nowNs + suspicionNs;
        }
    }
}
