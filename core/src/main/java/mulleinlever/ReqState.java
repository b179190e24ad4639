package mulleinlever;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * A req that has not been answered or has open tries. Changed by {@link Policy} on the event loop.
 */
final class ReqState {
    final Req req;
    final RouteState route;
    final long arrivedNs;
    final long deadlineNs;

    /** The place in the {@link ExecutionHistory}; null if it holds none, and once it has ended. */
    ExecutionHistory.Place place;

    /** The first try that may have run of an earlier req with the same id; null if none did. */
    final Try earlierTry;

    final List<Try> tries = new ArrayList<>(2);

    /** The numbers of the open tries; a try's number is its index in {@link #tries}. */
    final BitSet openTryNumbers = new BitSet();

    /** The numbers of the tries that are proven not to have run. */
    private final BitSet triesNotRun = new BitSet();

    /** The number of tries that ended in an error. */
    int errorCount;

    /** Whether the req has been answered or its client has disconnected. */
    boolean answered;

    /** Whether the answer is being streamed to the client. */
    boolean streaming;

    /** Whether a try was cancelled to send the req to another pod, which has not happened yet. */
    boolean failoverPending;

    ReqState(Req req, RouteState route, long nowNs, ExecutionHistory.Place place) {
        this.req = req;
        this.place = place;
        this.earlierTry = place == null ? null : place.earlierTry();
        this.route = route;
        this.arrivedNs = nowNs;
        this.deadlineNs = nowNs + req.expiresInNs();
    }

    void addTry(Try newTry) {
        openTryNumbers.set(tries.size());
        tries.add(newTry);
    }

    void endTry(int tryNumber, TryOutcome outcome) {
        openTryNumbers.clear(tryNumber);
        triesNotRun.set(tryNumber, outcome.provesNotRun());
        errorCount += outcome == TryOutcome.ERROR ? 1 : 0;
    }

    /** Returns the first try that may have run or may still run, or null if there is none. */
    Try firstTryThatMayHaveRun() {
        if (earlierTry != null) {
            return earlierTry;
        }
        int tryNumber = triesNotRun.nextClearBit(0);
        return tryNumber < tries.size() ? tries.get(tryNumber) : null;
    }

    /** Returns whether no try of the req was sent, nor of an earlier one with its id. */
    boolean isUnsent() {
        return tries.isEmpty() && earlierTry == null;
    }

    boolean isWaitingForSingleTry() {
        return openTryNumbers.cardinality() == 1 && !answered && !streaming && !failoverPending;
    }

    /** Returns whether an open try has taken longer than the late threshold of its route. */
    boolean isOpenTryLate(long nowNs, int tryNumber) {
        return nowNs - tries.get(tryNumber).sentNs() > route.lateThresholdNs;
    }

    /** Returns the latest try; there must be one. */
    Try lastTry() {
        return tries.get(tries.size() - 1);
    }

    /** Returns whether another try can do no harm, apart from the dedup scope and window. */
    boolean isRetryAllowed() {
        return route.settings.retrySafety() != Settings.RetrySafety.NOT_RETRYABLE
                || firstTryThatMayHaveRun() == null;
    }

    /**
     * Returns whether the req may be answered with a shed reply, after which the client may send it
     * again to any sidecar and pod.
     */
    boolean isSafeToShed() {
        return firstTryThatMayHaveRun() == null
                || route.settings.retrySafety() == Settings.RetrySafety.IDEMPOTENT
                || route.settings.retrySafety() == Settings.RetrySafety.DEDUPLICATED
                        && route.settings.dedupScope() == Settings.DedupScope.ALL
                        && earlierTry == null;
    }

    /**
     * Returns whether the req may be sent to the pod. A deduplicated req that may have run is sent
     * to pods within the dedup scope only, which drop repeats.
     */
    boolean canSendTo(PodEntry pod) {
        return !isRetryScopeBound()
                || route.settings
                        .dedupScope()
                        .isShared(firstTryThatMayHaveRun().pod().listEntry, pod);
    }

    /**
     * Returns whether further tries are bound to the dedup scope and window, because a try of a
     * deduplicated req may have run.
     */
    boolean isRetryScopeBound() {
        return route.settings.retrySafety() == Settings.RetrySafety.DEDUPLICATED
                && firstTryThatMayHaveRun() != null;
    }

    /**
     * Returns the last time at which a try may be sent: the deadline of the req, or the end of the
     * dedup window if the req is bound to it and it ends sooner.
     */
    long lastSendNs() {
        return !isRetryScopeBound()
                ? deadlineNs
                : Math.min(
                        deadlineNs,
                        firstTryThatMayHaveRun().sentNs() + route.settings.dedupWindowNs());
    }
}
