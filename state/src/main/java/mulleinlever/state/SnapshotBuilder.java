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
    private static final int VALUES_PER_CLOCK_READ = 16;

    private final Iterator<LearnedState> values;
    private final Function<String, String> addressOfPod;
    private final List<StateSnapshot.PodSnapshot> pods = new ArrayList<>();
    private final List<LearnedState> learnedValues = new ArrayList<>();

    /**
     * @param values what a policy gives out
     * @param addressOfPod where a pod listens, by its id; null for pods whose address is not known,
     *     which are left out
     */
    public SnapshotBuilder(Iterator<LearnedState> values, Function<String, String> addressOfPod) {
        this.values = values;
        this.addressOfPod = addressOfPod;
    }

    /** Takes pieces until a time, some at least; true once all are taken. */
    public boolean collectUntil(LongSupplier clock, long deadlineNs) {
        for (int i = 1; values.hasNext(); i++) {
            add(values.next());
            if (i % VALUES_PER_CLOCK_READ == 0 && clock.getAsLong() >= deadlineNs) {
                return !values.hasNext();
            }
        }
        return true;
    }

    private void add(LearnedState value) {
        if (!(value instanceof LearnedState.PodStats pod)) {
            learnedValues.add(value);
            return;
        }
        String address =
                pod.is().state() == PodEntry.State.GONE ? null : addressOfPod.apply(pod.is().id());
        if (address != null) {
            pods.add(new StateSnapshot.PodSnapshot(address, pod));
        }
    }

    /** What was captured, under a head whose number the keeper gives. */
    public StateSnapshot toSnapshot(StateSnapshot.Header head, RolloutStatus rolloutStatus) {
        return new StateSnapshot(head, rolloutStatus, pods, learnedValues);
    }
}
