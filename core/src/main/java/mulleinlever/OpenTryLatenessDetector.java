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
    private static final int TRIES = 4;

    private static final double PART = 2.0 / 3;

    private final long lastsNs;
    private long untilNs = Long.MIN_VALUE;

    OpenTryLatenessDetector(long lastsNs) {
        this.lastsNs = lastsNs;
    }

    boolean isSuspected(long nowNs) {
        return nowNs < untilNs;
    }

    /** Where the earlier build's open tries are as late, its pods would do no better. */
    void evaluate(long nowNs, Collection<ReqState> held, RolloutStatus news) {
        int[] out = new int[2];
        int[] late = new int[2];
        for (ReqState rq : held) {
            for (int no = rq.openTryNumbers.nextSetBit(0);
                    no >= 0;
                    no = rq.openTryNumbers.nextSetBit(no + 1)) {
                int of = news.isBuildOnTrial(rq.tries.get(no).build()) ? 1 : 0;
                out[of]++;
                late[of] += rq.isOpenTryLate(nowNs, no) ? 1 : 0;
            }
        }
        if (late[1] >= TRIES && late[1] > PART * out[1] && late[0] <= PART * out[0]) {
            untilNs = nowNs + lastsNs;
        }
    }
}
