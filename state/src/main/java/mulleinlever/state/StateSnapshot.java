package mulleinlever.state;

import java.util.List;
import mulleinlever.LearnedState;
import mulleinlever.RolloutStatus;

/**
 * The state of one sidecar that is saved across restarts, as captured by {@link SnapshotBuilder}.
 *
 * @param header identifies the sidecar that captured the snapshot, and when
 * @param rolloutStatus the rollout status of the newest build; its age is not saved
 * @param pods the latest pod list, with what was learned about each pod
 * @param learnedValues all other learned values
 */
public record StateSnapshot(
        Header header,
        RolloutStatus rolloutStatus,
        List<PodSnapshot> pods,
        List<LearnedState> learnedValues) {
    /**
     * Identifies the sidecar that captured the snapshot, and when. The names of the components are
     * the keys of the JSON that {@code state show --json} prints.
     *
     * @param writer the version of the program
     * @param instance the name of the sidecar
     * @param machine a checksum that identifies the machine; empty if unknown
     * @param zone the zone of the sidecar
     * @param start a random number drawn at each start of the process
     * @param sequence the sequence number of the file, which also increases across restarts
     * @param unixMs the time of the capture by the machine's clock, as Unix time in milliseconds
     * @param listVersion the version of the pod list, assigned by discovery; -1 without a list
     */
    public record Header(
            String writer,
            String instance,
            String machine,
            String zone,
            long start,
            long sequence,
            long unixMs,
            long listVersion) {
        Header withSequence(long newSequence) {
            return new Header(
                    writer, instance, machine, zone, start, newSequence, unixMs, listVersion);
        }
    }

    /**
     * A pod of the list.
     *
     * @param address the address and port on which the pod listened
     * @param learned the entry of the pod in the list, and what was learned about it
     */
    public record PodSnapshot(String address, LearnedState.PodStats learned) {}

    StateSnapshot withSequence(long sequence) {
        return new StateSnapshot(header.withSequence(sequence), rolloutStatus, pods, learnedValues);
    }
}
