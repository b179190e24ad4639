package mulleinlever.sidecar;

import java.util.ArrayDeque;
import mulleinlever.PipelinePolicy;

/**
 * The client connections that have received more than one turn of the event loop has time for. They
 * are resumed one after the other, for a bounded time in each turn, so that messages of other
 * clients are read and answered in between. Called by the event loop only.
 */
final class InputBacklog {
    private final NettyTransport transport;
    private final Clock clock;
    private final ArrayDeque<ClientConnection> connections = new ArrayDeque<>();
    private boolean resumeScheduled;

    /** The time that connections have taken for more than one message while reading. */
    private long spentInTurnNs;

    private boolean turnEndScheduled;

    InputBacklog(NettyTransport transport, Clock clock) {
        this.transport = transport;
        this.clock = clock;
    }

    /** Lets a connection be resumed later; it must not be in the backlog. */
    void add(ClientConnection connection) {
        connections.add(connection);
        scheduleResume();
    }

    private void scheduleResume() {
        if (!resumeScheduled) {
            resumeScheduled = true;
            // Set by a timer, a timer runs only after the event loop has read from all connections.
            transport.schedule(0, this::resumeConnections);
        }
    }

    private void resumeConnections() {
        resumeScheduled = false;
        long startNs = clock.nowNs();
        int remaining = connections.size();
        do {
            connections.poll().resumeDecode();
            remaining--;
        } while (remaining > 0 && PipelinePolicy.hasTimeInTurn(clock.nowNs() - startNs));
        if (!connections.isEmpty()) {
            scheduleResume();
        }
    }

    /**
     * Returns whether a connection may handle more than one message in this turn.
     *
     * @param connectionNs the time that the connection has taken so far, in nanoseconds
     */
    boolean hasTime(long connectionNs) {
        return PipelinePolicy.hasTimeInSlice(connectionNs)
                && PipelinePolicy.hasTimeInTurn(spentInTurnNs + connectionNs);
    }

    /** Adds the time that a connection has taken for several messages. */
    void spend(long connectionNs) {
        spentInTurnNs += connectionNs;
        if (!turnEndScheduled) {
            turnEndScheduled = true;
            transport.execute(this::turnEnded);
        }
    }

    private void turnEnded() {
        turnEndScheduled = false;
        spentInTurnNs = 0;
    }
}
