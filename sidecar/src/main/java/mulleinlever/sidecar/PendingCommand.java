package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * A req in flight, or another command whose response waits for those of earlier commands on its
 * connection. Used by the event loop only.
 */
final class PendingCommand {
    final ClientConnection client;

    /** The req's statement; null for a command that is not a req. */
    final Statement statement;

    /** All tries of the req so far, in the order of their numbers. */
    final List<UpstreamTry> tries = new ArrayList<>(2);

    /** When the req was registered. */
    long receivedNs;

    /** The time since receipt within which a response has its full worth; later it is late. */
    long latencyObjectiveNs;

    /** The time since receipt for which the client waits for the response. */
    long clientTimeoutNs;

    /** The response; null until there is one. It is written after those of earlier commands. */
    ByteBuf response;

    /** The number of commands in a row that get this response. */
    int repeatCount = 1;

    /** Whether the req has its response or its client has disconnected. */
    boolean outcomeDecided;

    PendingCommand(ClientConnection client, Statement statement) {
        this.client = client;
        this.statement = statement;
    }

    /** Returns whether any try has not ended yet. */
    boolean hasTriesInFlight() {
        return tries.stream().anyMatch(t -> !t.hasEnded());
    }
}
