package mulleinlever.sidecar;

import java.util.concurrent.Future;
import mulleinlever.TryOutcome;

/** One upstream try, from the module's call until its end is booked. */
final class UpstreamTry {
    final PendingCommand command;
    final int tryNo;
    final String podId;
    final long startedNs;

    /** It is written by then or not at all. */
    final long writeDeadlineNs;

    final long deadlineNs;
    PodConnection connection;
    Future<?> timeoutTask;

    /** Whether the last byte of the req was handed to the network: from then on it may have run. */
    boolean fullyWritten;

    /** How it ended; null until it has. */
    TryOutcome outcome;

    UpstreamTry(
            PendingCommand command,
            int tryNo,
            String podId,
            long startedNs,
            long writeDeadlineNs,
            long deadlineNs) {
        this.command = command;
        this.tryNo = tryNo;
        this.podId = podId;
        this.startedNs = startedNs;
        this.writeDeadlineNs = writeDeadlineNs;
        this.deadlineNs = deadlineNs;
    }

    boolean hasEnded() {
        return outcome != null;
    }
}
