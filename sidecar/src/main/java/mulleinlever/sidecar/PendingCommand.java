package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/** A req taken and not yet done with, or another command that waits for its turn to be answered. */
final class PendingCommand {
    /**
     * What a req takes besides its text: the buffer it was read into, its tries, what the module
     * keeps.
     */
    private static final int REQ_OVERHEAD_BYTES = 2048;

    final ClientConnection client;

    /** Null for a command that is no req. */
    final Statement statement;

    final List<UpstreamTry> tries = new ArrayList<>(2);

    /**
     * When it was taken, how long an answer earns its full worth, and how long its client waits.
     */
    long receivedNs;

    long latencyObjectiveNs;
    long clientTimeoutNs;

    /** The answer, once there is one, waiting for those ahead of it on its connection. */
    ByteBuf response;

    boolean outcomeDecided;

    PendingCommand(ClientConnection client, Statement statement) {
        this.client = client;
        this.statement = statement;
    }

    boolean hasTriesInFlight() {
        return tries.stream().anyMatch(t -> !t.hasEnded());
    }

    int memoryBytes() {
        return statement.text.readableBytes() + REQ_OVERHEAD_BYTES;
    }
}
