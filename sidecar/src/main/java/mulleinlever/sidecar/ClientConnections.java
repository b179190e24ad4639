package mulleinlever.sidecar;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/** The clients' connections: how many there may be, and which have been silent for too long. */
final class ClientConnections {
    private static final long MAX_BUFFERED_BYTES = 8L << 20;

    private final int maxConnections;
    private final Lifecycle lifecycle;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private long bufferedBytes;

    ClientConnections(int maxConnections, Lifecycle lifecycle) {
        this.maxConnections = maxConnections;
        this.lifecycle = lifecycle;
    }

    void setListener(Channel listener) {
        this.listener = listener;
    }

    int connectionCount() {
        return connections.size();
    }

    /**
     * At the most, the one idle for longest goes. If none is idle no more are accepted: they wait
     * in the machine's queue rather than use up descriptors.
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

    void connectionClosed(ClientConnection closed) {
        connections.remove(closed);
        if (connections.size() < maxConnections && !listener.config().isAutoRead()) {
            listener.config().setAutoRead(true);
        }
    }

    /**
     * Peers that send half a message or take no answers hold memory for as long as they like. Past
     * the most, the one that has not moved for longest goes; all others are served as ever.
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

    void closeStalled(long nowNs) {
        new ArrayList<>(connections).forEach(c -> c.closeIfStalled(nowNs));
    }

    void shutDown() {
        listener.close();
        new ArrayList<>(connections).forEach(ClientConnection::closeIfIdle);
    }

    boolean isShuttingDown() {
        return lifecycle.isIn(Lifecycle.Phase.FINISHING);
    }
}
