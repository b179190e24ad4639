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
 * Collects a snapshot on the event loop. It works in slices, so that it never blocks the event loop
 * for long, even with ten thousand pods. A value that changes between two slices is captured as it
 * is when its turn comes.
 */
public final class SnapshotBuilder {
    /** The number of values between two readings of the clock: some microseconds of work. */
    private static final int VALUES_PER_CLOCK_READ = 16;

    private final Iterator<LearnedState> values;
    private final Function<String, String> addressOfPod;
    private final List<StateSnapshot.PodSnapshot> pods = new ArrayList<>();
    private final List<LearnedState> learnedValues = new ArrayList<>();

    /**
     * @param values the learned values of the policy
     * @param addressOfPod returns the address and port of a pod by its id, or null if unknown; pods
     *     without an address are not captured
     */
    public SnapshotBuilder(Iterator<LearnedState> values, Function<String, String> addressOfPod) {
        this.values = values;
        this.addressOfPod = addressOfPod;
    }

    /**
     * Collects values until the clock reaches the deadline. Each call collects at least {@value
     * #VALUES_PER_CLOCK_READ} values if as many are left, even past the deadline. Returns whether
     * all values have been collected.
     */
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

    /** Returns the snapshot; {@link StateStore} replaces the sequence number in its header. */
    public StateSnapshot toSnapshot(StateSnapshot.Header header, RolloutStatus rolloutStatus) {
        return new StateSnapshot(header, rolloutStatus, pods, learnedValues);
    }
}
