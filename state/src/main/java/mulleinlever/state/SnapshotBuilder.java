package mulleinlever.state;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Function;
import java.util.function.LongSupplier;
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import mulleinlever.RolloutStatus;

/**
 * One capture under way. It is taken in slices, so that the event loop of a sidecar with ten
 * thousand pods is never held for long; what changes between two slices is taken as it is when its
 * turn comes.
 */
public final class SnapshotBuilder {
    /** Pieces between two looks at the clock: some microseconds of work. */
    private static final int BETWEEN_LOOKS = 16;

    private final Iterator<LearnedState> pieces;
    private final Function<String, String> addresses;
    private final List<StateSnapshot.PodSnapshot> pods = new ArrayList<>();
    private final List<LearnedState> learned = new ArrayList<>();

    /**
     * @param pieces what a policy gives out
     * @param addresses where a pod listens, by its id; null for pods whose address is not known,
     *     which are left out
     */
    public SnapshotBuilder(Iterator<LearnedState> pieces, Function<String, String> addresses) {
        this.pieces = pieces;
        this.addresses = addresses;
    }

    /** Takes pieces until a time, some at least; true once all are taken. */
    public boolean collectUntil(LongSupplier clock, long untilNs) {
        for (int i = 1; pieces.hasNext(); i++) {
            take(pieces.next());
            if (i % BETWEEN_LOOKS == 0 && clock.getAsLong() >= untilNs) {
                return !pieces.hasNext();
            }
        }
        return true;
    }

    private void take(LearnedState one) {
        if (!(one instanceof LearnedState.PodStats p)) {
            learned.add(one);
            return;
        }
        String address =
                p.is().state() == PodEntry.State.GONE ? null : addresses.apply(p.is().id());
        if (address != null) {
            pods.add(new StateSnapshot.PodSnapshot(address, p));
        }
    }

    /** What was captured, under a head whose number the keeper gives. */
    public StateSnapshot toSnapshot(StateSnapshot.Header head, RolloutStatus news) {
        return new StateSnapshot(head, news, pods, learned);
    }
}
