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
            PendingCommand held, int no, String pod, long calledNs, long writeByNs, long untilNs) {
        this.command = held;
        this.tryNo = no;
        this.podId = pod;
        this.startedNs = calledNs;
        this.writeDeadlineNs = writeByNs;
        this.deadlineNs = untilNs;
    }

    boolean hasEnded() {
        return outcome != null;
    }
}
