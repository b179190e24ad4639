package mulleinlever.sidecar;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The open connections of all clients. Bounds their number and the memory that clients hold by
 * partial messages and unread responses, and closes stalled and idle connections. Called by the
 * event loop only.
 */
final class ClientConnections {
    /** The maximum size of partial messages and unsent responses over all connections. */
    private static final long MAX_BUFFERED_BYTES = 8L << 20;

    private final int maxConnections;
    private final Lifecycle lifecycle;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private long bufferedBytes;

    /**
     * Creates the set of connections.
     *
     * @param maxConnections the number of connections at which an idle one is closed or, if none is
     *     idle, accepting pauses
     */
    ClientConnections(int maxConnections, Lifecycle lifecycle) {
        this.maxConnections = maxConnections;
        this.lifecycle = lifecycle;
    }

    /** Sets the listening channel; called before the first connection is accepted. */
    void setListener(Channel listener) {
        this.listener = listener;
    }

    int connectionCount() {
        return connections.size();
    }

    /**
     * Adds a connection. At the maximum number, the other connection that has been idle longest is
     * closed. If none is idle, accepting pauses: new connections wait in the backlog of the
     * operating system and use up no file descriptors.
     */
    void connectionOpened(ClientConnection opened, long nowNs) {
        connections.add(opened);
        if (connections.size() >= maxConnections) {
            connections.stream()
                    .filter(c -> c != opened && c.idleNs(nowNs) >= 0)
                    .max(Comparator.comparingLong(c -> c.idleNs(nowNs)))
                    .ifPresentOrElse(
                            ClientConnection::closeIfIdle,
                            () -> listener.config().setAutoRead(false));
        }
    }

    /** Removes a connection, and resumes accepting below the maximum number. */
    void connectionClosed(ClientConnection closed) {
        connections.remove(closed);
        if (connections.size() < maxConnections && !listener.config().isAutoRead()) {
            listener.config().setAutoRead(true);
        }
    }

    /**
     * Adds to the size of partial messages and unsent responses; negative numbers reduce it. A
     * client that leaves a message incomplete or reads no responses could hold memory forever.
     * Above the maximum, the connection that holds memory and has made no progress for longest is
     * closed; all others continue to be served.
     */
    void addBufferedBytes(int addedBytes) {
        bufferedBytes += addedBytes;
        if (addedBytes > 0 && bufferedBytes > MAX_BUFFERED_BYTES) {
            connections.stream()
                    .filter(ClientConnection::hasBufferedBytes)
                    .min(Comparator.comparingLong(ClientConnection::lastProgressNs))
                    .ifPresent(ClientConnection::closeNow);
        }
    }

    /**
     * Closes the connections whose clients have made no progress for longer than the stall timeout.
     */
    void closeStalled(long nowNs) {
        new ArrayList<>(connections).forEach(c -> c.closeIfStalled(nowNs));
    }

    /** Stops accepting and closes idle connections; the others close after their last response. */
    void shutDown() {
        listener.close();
        new ArrayList<>(connections).forEach(ClientConnection::closeIfIdle);
    }

    /** Returns whether connections are to close as soon as they are idle. */
    boolean isShuttingDown() {
        return lifecycle.isIn(Lifecycle.Phase.FINISHING);
    }
}
