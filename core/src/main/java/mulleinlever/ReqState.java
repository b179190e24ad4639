package mulleinlever;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A req in hand, kept until it has its answer and all its tries have ended. */
final class ReqState {
    final Req req;
    final RouteState route;
    final long arrivedNs;
    final long deadlineNs;
    final List<Try> tries = new ArrayList<>(2);

    /** Numbers of the tries that are out, and of those proven not to have run. */
    final BitSet openTryNumbers = new BitSet();

    private final BitSet triesNotRun = new BitSet();
    int errorCount;
    boolean answered;
    boolean streaming;
    boolean failoverPending;

    ReqState(Req req, RouteState route, long nowNs) {
        this.req = req;
        this.route = route;
        this.arrivedNs = nowNs;
        this.deadlineNs = nowNs + req.expiresInNs();
    }

    void addTry(Try t) {
        openTryNumbers.set(tries.size());
        tries.add(t);
    }

    void endTry(int tryNo, TryOutcome outcome) {
        openTryNumbers.clear(tryNo);
        triesNotRun.set(tryNo, outcome.provesNotRun());
        errorCount += outcome == TryOutcome.ERROR ? 1 : 0;
    }

    /** The first try that may have run, or may yet, if any. */
    Try firstTryThatMayHaveRun() {
        int tryNo = triesNotRun.nextClearBit(0);
        return tryNo < tries.size() ? tries.get(tryNo) : null;
    }

    boolean isWaitingForSingleTry() {
        return openTryNumbers.cardinality() == 1 && !answered && !streaming && !failoverPending;
    }

    /** Whether a try that is still out has taken longer than tries of the route should. */
    boolean isOpenTryLate(long nowNs, int tryNo) {
        return nowNs - tries.get(tryNo).sentNs() > route.lateThresholdNs;
    }

    Try lastTry() {
        return tries.get(tries.size() - 1);
    }

    boolean isRetryAllowed() {
        return route.settings.retrySafety() != Settings.RetrySafety.NOT_RETRYABLE
                || firstTryThatMayHaveRun() == null;
    }

    /** Whether a client told to try again can do no harm. */
    boolean isSafeToShed() {
        return firstTryThatMayHaveRun() == null
                || route.settings.retrySafety() == Settings.RetrySafety.IDEMPOTENT
                || route.settings.retrySafety() == Settings.RetrySafety.DEDUPLICATED
                        && route.settings.dedupScope() == Settings.DedupScope.ALL;
    }

    /** Once it may have run, a deduped req stays with the pods that drop its repeats. */
    boolean canSendTo(PodEntry pod) {
        return !isRetryScopeBound()
                || route.settings
                        .dedupScope()
                        .isShared(firstTryThatMayHaveRun().pod().listEntry, pod);
    }

    /** Whether a repeat has to reach the pods that drop it before they forget the first. */
    boolean isRetryScopeBound() {
        return route.settings.retrySafety() == Settings.RetrySafety.DEDUPLICATED
                && firstTryThatMayHaveRun() != null;
    }

    /** When its client leaves, or the pods that drop its repeats begin to forget it. */
    long lastSendNs() {
        return !isRetryScopeBound()
                ? deadlineNs
                : Math.min(
                        deadlineNs,
                        firstTryThatMayHaveRun().sentNs() + route.settings.dedupWindowNs());
    }
}
