package mulleinlever.sidecar;

/**
 * The client connections that have received more messages than they may handle in one turn of the
 * event loop. These share what a turn has time for. Called by the event loop only.
 */
final class InputBacklog {
    private int connectionCount;

    /** Adds a connection, which was not in the backlog. */
    void add() {
        connectionCount++;
    }

    /** Removes a connection, which was in the backlog. */
    void remove() {
        connectionCount--;
    }

    int connectionCount() {
        return connectionCount;
    }
}
