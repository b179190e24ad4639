package mulleinlever.sidecar;

import java.util.concurrent.Future;
import mulleinlever.TryOutcome;

/**
 * One upstream try of a req, from the policy's call that starts it until its outcome is recorded.
 * Read and changed by the event loop only.
 */
final class UpstreamTry {
    final PendingCommand command;

    /** The index of this try among the tries of its req, from 0. */
    final int tryNumber;

    final String podId;
    final long startedNs;

    /** The time after which the req is no longer written to the pod. */
    final long writeDeadlineNs;

    /** The time at which the try ends at the latest. */
    final long deadlineNs;

    /** The connection that carries this try or that it waits for; null without one. */
    PodConnection connection;

    /** The task that ends the try at its deadline; null for a try that ends as moot. */
    Future<?> timeoutTask;

    /**
     * Whether the last byte of the req was passed to the network; from then on the req may have
     * run.
     */
    boolean fullyWritten;

    /** How the try ended; null while it has not. */
    TryOutcome outcome;

    UpstreamTry(
            PendingCommand command,
            int tryNumber,
            String podId,
            long startedNs,
            long writeDeadlineNs,
            long deadlineNs) {
        this.command = command;
        this.tryNumber = tryNumber;
        this.podId = podId;
        this.startedNs = startedNs;
        this.writeDeadlineNs = writeDeadlineNs;
        this.deadlineNs = deadlineNs;
    }

    boolean hasEnded() {
        return outcome != null;
    }
}
