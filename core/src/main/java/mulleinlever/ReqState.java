package mulleinlever;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A req in hand, kept until it has its answer and all its tries have ended. */
final class ReqState {
    final Req is;
    final RouteState row;
    final long arrivedNs;
    final long dueNs;
    final List<Try> tries = new ArrayList<>(2);

    /** Numbers of the tries that are out, and of those proven not to have run. */
    final BitSet out = new BitSet();

    private final BitSet neverRan = new BitSet();
    int errors;
    boolean answered;
    boolean streaming;
    boolean calledBack;

    ReqState(Req is, RouteState row, long nowNs) {
        this.is = is;
        this.row = row;
        this.arrivedNs = nowNs;
        this.dueNs = nowNs + is.expiresInNs();
    }

    void start(Try t) {
        out.set(tries.size());
        tries.add(t);
    }

    void end(int no, TryOutcome ending) {
        out.clear(no);
        neverRan.set(no, ending.neverRan());
        errors += ending == TryOutcome.ERROR ? 1 : 0;
    }

    /** The first try that may have run, or may yet, if any. */
    Try mayHaveRun() {
        int no = neverRan.nextClearBit(0);
        return no < tries.size() ? tries.get(no) : null;
    }

    boolean waitsForOne() {
        return out.cardinality() == 1 && !answered && !streaming && !calledBack;
    }

    /** Whether a try that is still out has taken longer than tries of the route should. */
    boolean lateAlready(long nowNs, int no) {
        return nowNs - tries.get(no).sentNs() > row.lateNs;
    }

    Try last() {
        return tries.get(tries.size() - 1);
    }

    boolean mayRepeat() {
        return row.is.repeat() != Settings.RetrySafety.NON_RETRIABLE || mayHaveRun() == null;
    }

    /** Whether a client told to try again can do no harm. */
    boolean harmlessToShed() {
        return mayHaveRun() == null
                || row.is.repeat() == Settings.RetrySafety.RETRIABLE
                || row.is.repeat() == Settings.RetrySafety.DEDUPED
                        && row.is.scope() == Settings.DedupScope.ALL;
    }

    /** Once it may have run, a deduped req stays with the pods that drop its repeats. */
    boolean mayGoTo(PodEntry pod) {
        return !repeatIsBound() || row.is.scope().holds(mayHaveRun().pod().is, pod);
    }

    /** Whether a repeat has to reach the pods that drop it before they forget the first. */
    boolean repeatIsBound() {
        return row.is.repeat() == Settings.RetrySafety.DEDUPED && mayHaveRun() != null;
    }

    /** When its client leaves, or the pods that drop its repeats begin to forget it. */
    long lastRelayNs() {
        return !repeatIsBound() ? dueNs : Math.min(dueNs, mayHaveRun().sentNs() + row.is.dedupNs());
    }
}
