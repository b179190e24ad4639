package mulleinlever.sidecar;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import mulleinlever.ClientConnectionPolicy;

/**
 * The open connections of all clients. Bounds their number and the memory that clients hold by
 * partial messages and unread responses, and closes stalled and idle connections. Called by the
 * event loop only.
 */
final class ClientConnections {
    /**
     * The maximum number of connections that are accepted in one turn of the event loop, so that
     * those that are open have their share of it.
     */
    private static final int MAX_ACCEPTS_PER_TURN = 64;

    /**
     * The share of the connections that are closed together in favor of new ones, so that more than
     * one is accepted in a turn of the event loop.
     */
    private static final double EVICTED_SHARE = 0.03;

    /** How long accepting stays paused before another connection is looked for to close. */
    private static final long ACCEPT_RETRY_DELAY_NS = 10_000_000L;

    private final int maxConnections;
    private final Lifecycle lifecycle;
    private final NettyTransport transport;
    final ReadRounds rounds;

    /** The connections that wait to be accepted. */
    private final UnreadInputMonitor unaccepted;

    /** When accepting was last paused. */
    private long acceptPausedNs;

    /** Whether connections that arrived while accepting was paused may wait. */
    private boolean acceptBacklogged;

    private final Clock clock;
    private final SidecarMetrics metrics;
    private final MessageMemory memory;
    final InputBacklog inputBacklog;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private long lastConnectionId;

    /** The task that looks again for a connection to close; null if none is scheduled. */
    private Future<?> acceptRetryTask;

    /**
     * Creates the set of connections.
     *
     * @param maxConnections the number of connections at which accepting pauses until one of them
     *     has been closed
     */
    ClientConnections(
            int maxConnections,
            Lifecycle lifecycle,
            NettyTransport transport,
            ReadRounds rounds,
            Clock clock,
            SidecarMetrics metrics,
            MessageMemory memory) {
        this.maxConnections = maxConnections;
        this.lifecycle = lifecycle;
        this.transport = transport;
        this.rounds = rounds;
        this.unaccepted = new UnreadInputMonitor(rounds, clock.nowNs(), clock.nowNs());
        this.clock = clock;
        this.metrics = metrics;
        this.memory = memory;
        this.inputBacklog = new InputBacklog(transport, clock);
    }

    /** Sets the listening channel; called before the first connection is accepted. */
    void setListener(Channel listener) {
        this.listener = listener;
        updateAcceptsPerTurn();
    }

    /** Limits the accepts of one turn so that the maximum number of connections is not passed. */
    private void updateAcceptsPerTurn() {
        int room = maxConnections - connections.size();
        NettyTransport.setAcceptsPerTurn(
                listener, Math.max(1, Math.min(MAX_ACCEPTS_PER_TURN, room)));
    }

    /** Creates the presence of a client whose connection is being accepted. */
    ClientPresence newPresence(Channel channel, InputEndMonitor inputEnd) {
        long noneWaitedAtNs = unaccepted.emptyAtNs();
        acceptBacklogged &= noneWaitedAtNs <= acceptPausedNs;
        long connectedAtNs = acceptBacklogged ? noneWaitedAtNs : rounds.turnStartNs();
        return new ClientPresence(channel, rounds, inputEnd, clock, metrics, connectedAtNs);
    }

    /** Runs a task after the event loop has read from all connections again. */
    void runAfterNextReads(Runnable task) {
        transport.runAfterNextReads(task);
    }

    /** Returns a number for a new connection. No two connections have the same, and none has 0. */
    long nextConnectionId() {
        return ++lastConnectionId;
    }

    int connectionCount() {
        return connections.size();
    }

    /**
     * Adds a connection. At the maximum number, accepting pauses until a connection has ended or
     * was closed in favor of new ones: these wait in the backlog of the operating system and use up
     * no file descriptors.
     */
    void connectionOpened(ClientConnection opened) {
        connections.add(opened);
        unaccepted.onRead(clock.nowNs(), 1);
        updateAcceptsPerTurn();
        if (connections.size() >= maxConnections) {
            listener.config().setAutoRead(false);
            unaccepted.pause();
            acceptPausedNs = clock.nowNs();
            acceptBacklogged = true;
            metrics.increment(SidecarMetrics.Event.ACCEPT_PAUSED);
            // In a later turn of the event loop, when all bytes that have arrived are read.
            transport.execute(this::evictForNewConnections);
        }
    }

    /**
     * Closes connections if the maximum number is reached. Where none can be closed, tries again
     * after a delay, since connections become idle without any notification.
     */
    private void evictForNewConnections() {
        if (connections.size() < maxConnections) {
            return;
        }
        int evictions = (int) Math.max(1, EVICTED_SHARE * maxConnections);
        boolean anySelected = true;
        while (anySelected && evictions > 0) {
            Optional<ClientConnection> selected =
                    ClientConnectionPolicy.selectForEviction(
                            connections, ClientConnection::activity, clock.nowNs());
            anySelected = selected.isPresent();
            evictions--;
            selected.ifPresent(this::evict);
        }
        cancelAcceptRetry();
        acceptRetryTask = transport.schedule(ACCEPT_RETRY_DELAY_NS, this::evictForNewConnections);
    }

    private void cancelAcceptRetry() {
        if (acceptRetryTask != null) {
            acceptRetryTask.cancel(false);
            acceptRetryTask = null;
        }
    }

    /** Removes a connection, and resumes accepting below the maximum number. */
    void connectionClosed(ClientConnection closed) {
        connections.remove(closed);
        updateAcceptsPerTurn();
        if (connections.size() < maxConnections && !listener.config().isAutoRead()) {
            cancelAcceptRetry();
            listener.config().setAutoRead(true);
            unaccepted.resume(clock.nowNs());
        }
    }

    /** Closes the connections whose clients keep the sidecar or others waiting for too long. */
    void closeStalled() {
        long nowNs = clock.nowNs();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (ClientConnectionPolicy.isStalled(connection.activity(), nowNs)) {
                metrics.increment(SidecarMetrics.Event.STALLED);
                connection.closeStalled();
            }
        }
        freeMemory();
    }

    /**
     * Closes connections whose clients hold memory and make no progress, while others wait for
     * memory.
     */
    void freeMemory() {
        while (memory.requests().isShort()) {
            Optional<ClientConnection> selected =
                    ClientConnectionPolicy.selectForRequestMemory(
                            connections, ClientConnection::activity, clock.nowNs());
            if (selected.isEmpty()) {
                break;
            }
            evict(selected.get());
        }
        while (memory.responses().isShort()) {
            Optional<ClientConnection> selected =
                    ClientConnectionPolicy.selectForResponseMemory(
                            connections, ClientConnection::activity, clock.nowNs());
            if (selected.isEmpty()) {
                break;
            }
            metrics.increment(SidecarMetrics.Event.EVICTED);
            selected.get().closeNow();
        }
    }

    private void evict(ClientConnection connection) {
        metrics.increment(SidecarMetrics.Event.EVICTED);
        connection.evict();
    }

    /** Stops accepting and closes idle connections; the others close after their last response. */
    void shutDown() {
        listener.close();
        new ArrayList<>(connections).forEach(ClientConnection::closeIfIdle);
    }

    /** Reads nothing more from any connection. */
    void stopReading() {
        connections.forEach(ClientConnection::stopReading);
    }

    /** Answers the messages that are not complete; their connections close behind the answers. */
    void answerIncompleteMessages() {
        new ArrayList<>(connections).forEach(ClientConnection::answerIncompleteMessage);
    }

    /** Returns whether connections are to close as soon as they are idle. */
    boolean isShuttingDown() {
        return lifecycle.isIn(Lifecycle.Phase.FINISHING);
    }
}
