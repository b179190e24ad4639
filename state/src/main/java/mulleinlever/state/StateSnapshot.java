package mulleinlever.state;

import java.util.List;
import mulleinlever.LearnedState;
import mulleinlever.RolloutStatus;

/**
 * All that is kept of one sidecar, as it stood at one moment.
 *
 * @param rolloutStatus where the newest build stood; its age is not kept
 * @param pods the list of pods as last had, and what was learned of each
 * @param learnedValues what was learned besides, pods not among it
 */
public record StateSnapshot(
        Header head,
        RolloutStatus rolloutStatus,
        List<PodSnapshot> pods,
        List<LearnedState> learnedValues) {
    /**
     * Whose it is and when it was captured.
     *
     * @param writer the program's version
     * @param instance the sidecar's name
     * @param machine a mark of the machine it ran on, empty where none is known
     * @param zone the sidecar's
     * @param start drawn at random at each start of a process
     * @param sequence grows from file to file, over restarts too
     * @param unixMs the machine's wall clock
     * @param listVersion discovery's, of the list; -1 without a list
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

    /** A pod where it listened, as address and port. */
    public record PodSnapshot(String address, LearnedState.PodStats learned) {}

    StateSnapshot withSequence(long sequence) {
        return new StateSnapshot(head.withSequence(sequence), rolloutStatus, pods, learnedValues);
    }
}
