package mulleinlever.sidecar;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/** The clients' connections: how many there may be, and which have been silent for too long. */
final class ClientConnections {
    private static final long MOST_OWED = 8L << 20;

    private final int most;
    private final Lifecycle life;
    private final Set<ClientConnection> all = new LinkedHashSet<>();
    private Channel listener;
    private long owed;

    ClientConnections(int most, Lifecycle life) {
        this.most = most;
        this.life = life;
    }

    void setListener(Channel channel) {
        this.listener = channel;
    }

    int connectionCount() {
        return all.size();
    }

    /**
     * At the most, the one idle for longest goes. If none is idle no more are accepted: they wait
     * in the machine's queue rather than use up descriptors.
     */
    void connectionOpened(ClientConnection client, long now) {
        all.add(client);
        if (all.size() >= most) {
            all.stream()
                    .filter(c -> c != client && c.idleNs(now) >= 0)
                    .max(Comparator.comparingLong(c -> c.idleNs(now)))
                    .ifPresentOrElse(
                            ClientConnection::closeIfIdle,
                            () -> listener.config().setAutoRead(false));
        }
    }

    void connectionClosed(ClientConnection client) {
        all.remove(client);
        if (all.size() < most && !listener.config().isAutoRead()) {
            listener.config().setAutoRead(true);
        }
    }

    /**
     * Peers that send half a message or take no answers hold memory for as long as they like. Past
     * the most, the one that has not moved for longest goes; all others are served as ever.
     */
    void addBufferedBytes(int more) {
        owed += more;
        if (more > 0 && owed > MOST_OWED) {
            all.stream()
                    .filter(ClientConnection::hasBufferedBytes)
                    .min(Comparator.comparingLong(ClientConnection::lastProgressNs))
                    .ifPresent(ClientConnection::closeNow);
        }
    }

    void closeStalled(long now) {
        new ArrayList<>(all).forEach(c -> c.closeIfStalled(now));
    }

    void shutDown() {
        listener.close();
        new ArrayList<>(all).forEach(ClientConnection::closeIfIdle);
    }

    boolean isShuttingDown() {
        return life.isIn(Lifecycle.Phase.FINISHING);
    }
}
