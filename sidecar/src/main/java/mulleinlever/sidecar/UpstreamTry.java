package mulleinlever.sidecar;

import java.util.concurrent.Future;
import mulleinlever.TryOutcome;

/** One upstream try, from the module's call until its end is booked. */
final class UpstreamTry {
    final PendingCommand held;
    final int no;
    final String pod;
    final long calledNs;

    /** It is written by then or not at all. */
    final long writeByNs;

    final long untilNs;
    PodConnection link;
    Future<?> limit;

    /** Whether the last byte of the req was handed to the network: from then on it may have run. */
    boolean written;

    /** How it ended; null until it has. */
    TryOutcome how;

    UpstreamTry(
            PendingCommand held, int no, String pod, long calledNs, long writeByNs, long untilNs) {
        this.held = held;
        this.no = no;
        this.pod = pod;
        this.calledNs = calledNs;
        this.writeByNs = writeByNs;
        this.untilNs = untilNs;
    }

    boolean ended() {
        return how != null;
    }
}
