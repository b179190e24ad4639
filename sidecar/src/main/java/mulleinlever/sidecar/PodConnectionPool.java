package mulleinlever.sidecar;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import mulleinlever.PodEntry;
import mulleinlever.Settings;

/**
 * Keeps the pods' addresses, opens connections to them and holds the idle ones for reuse. Called by
 * the event loop only.
 */
final class PodConnectionPool {
    /**
     * The fraction of the pods' idle timeout after which idle connections are closed: a req written
     * to a connection that the pod has closed meanwhile would be lost.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.85;

    /** One pod's address and the connections to it. */
    private static final class PodEndpoint {
        /** Null until a pod list has contained a valid address of the pod. */
        InetSocketAddress address;

        /** Ordered by the time of last use, the most recent last. */
        final ArrayDeque<PodConnection> idleConnections = new ArrayDeque<>();

        /** Connections that open or wait for the end of their cooldown, each with a try. */
        final Set<PodConnection> pendingConnections = new LinkedHashSet<>();

        int connectionCount;

        /** Whether the pod has left the list; the entry is removed when no connection is left. */
        boolean gone;
    }

    private final NettyTransport transport;
    private final Clock clock;
    private final RateLimitedLog log;
    private final PodResponseHandler responseHandler;
    private final MessageMemoryLimiter responseMemory;
    private final int maxConnections;
    private final AdaptiveConnectTimeout connectTimeout;
    private final long idleTimeoutNs;
    private final Map<String, PodEndpoint> endpointsByPodId = new LinkedHashMap<>();
    private int connectionCount;
    private final SidecarMetrics metrics;

    PodConnectionPool(
            NettyTransport transport,
            Clock clock,
            RateLimitedLog log,
            PodResponseHandler responseHandler,
            MessageMemoryLimiter responseMemory,
            int maxConnections,
            Settings.PolicyLimits limits,
            SidecarMetrics metrics) {
        this.metrics = metrics;
        this.transport = transport;
        this.clock = clock;
        this.log = log;
        this.responseHandler = responseHandler;
        this.responseMemory = responseMemory;
        this.maxConnections = maxConnections;
        this.connectTimeout =
                new AdaptiveConnectTimeout(
                        limits.connectTimeoutNs() > 0 ? limits.connectTimeoutNs() : 1_000_000_000L);
        this.idleTimeoutNs =
                limits.connectionIdleTimeoutNs() > 0
                        ? (long) (IDLE_TIMEOUT_FRACTION * limits.connectionIdleTimeoutNs())
                        : Long.MAX_VALUE;
    }

    /**
     * Takes over the addresses of a pod list. Called before the policy receives the list, so that
     * the policy can use every pod on it.
     */
    void updateAddresses(PodList list) {
        for (PodEntry entry : list.entries()) {
            PodEndpoint endpoint =
                    endpointsByPodId.computeIfAbsent(entry.id(), id -> new PodEndpoint());
            endpoint.gone = entry.state() == PodEntry.State.GONE;
            InetSocketAddress newAddress =
                    SocketAddresses.parse(list.addressesByPodId().getOrDefault(entry.id(), ""));
            if (newAddress != null && !newAddress.equals(endpoint.address)) {
                endpoint.address = newAddress;
                closeIdle(endpoint);
            }
        }
    }

    /**
     * Closes the idle and the pending connections to pods that are no longer ready. Called after
     * the policy has received the list. A try that waits for a connection to such a pod could be
     * written after the time within which sending to it must stop; it fails to connect instead, and
     * the policy decides anew.
     */
    void closeConnectionsToLeavingPods(PodList list) {
        Set<String> leavingPodIds =
                list.isFull()
                        ? new LinkedHashSet<>(endpointsByPodId.keySet())
                        : new LinkedHashSet<>();
        for (PodEntry entry : list.entries()) {
            if (entry.state() == PodEntry.State.READY) {
                leavingPodIds.remove(entry.id());
            } else {
                leavingPodIds.add(entry.id());
            }
        }
        for (String podId : leavingPodIds) {
            endpointsByPodId.get(podId).gone |=
                    list.isFull() && !list.addressesByPodId().containsKey(podId);
            closeIdle(endpointsByPodId.get(podId));
            new ArrayList<>(endpointsByPodId.get(podId).pendingConnections)
                    .forEach(PodConnection::closeUnlessActive);
        }
    }

    private static void closeIdle(PodEndpoint endpoint) {
        new ArrayList<>(endpoint.idleConnections).forEach(PodConnection::close);
        endpoint.idleConnections.clear();
    }

    /** Returns a pod's address and port as text, or null if they are unknown. */
    String podAddress(String podId) {
        PodEndpoint endpoint = endpointsByPodId.get(podId);
        return endpoint == null || endpoint.address == null
                ? null
                : SocketAddresses.format(endpoint.address);
    }

    /**
     * Removes an idle connection to a pod from the pool and returns it, or null if there is none.
     * Of those past their cooldown it is the most recently used, so that surplus connections reach
     * the idle timeout. If all are in their cooldown, it is the one whose cooldown ends first,
     * since opening another costs the pod more.
     */
    PodConnection acquireIdle(String podId) {
        PodEndpoint endpoint = endpointsByPodId.get(podId);
        if (endpoint == null) {
            return null;
        }
        long nowNs = clock.nowNs();
        PodConnection candidate = null;
        for (Iterator<PodConnection> newestFirst = endpoint.idleConnections.descendingIterator();
                newestFirst.hasNext()
                        && (candidate == null || candidate.remainingCooldownNs(nowNs) > 0); ) {
            PodConnection connection = newestFirst.next();
            candidate =
                    connection.isReusable() && nowNs - connection.idleSinceNs < idleTimeoutNs
                            ? connection
                            : candidate;
        }
        endpoint.idleConnections.remove(candidate);
        if (candidate != null) {
            metrics.increment(SidecarMetrics.Event.REUSED);
        }
        return candidate;
    }

    /**
     * Lets a try wait for the end of a connection's cooldown. Like a connection that is opening, it
     * is closed if the pod leaves.
     */
    void awaitCooldown(UpstreamTry upstreamTry, PodConnection connection, long delayNs) {
        metrics.increment(SidecarMetrics.Event.RESTED);
        addPending(upstreamTry, connection);
        transport.schedule(delayNs, () -> connection.writeAfterDelay(upstreamTry));
    }

    /** Lets a try wait until its client is known to be connected, as for the end of a cooldown. */
    void awaitClient(UpstreamTry upstreamTry, PodConnection connection, ClientPresence client) {
        addPending(upstreamTry, connection);
        client.awaitDecision(() -> connection.writeAfterDelay(upstreamTry));
    }

    private void addPending(UpstreamTry upstreamTry, PodConnection connection) {
        upstreamTry.connection = connection;
        connection.setWaitingTry(upstreamTry);
        endpointsByPodId.get(connection.podId).pendingConnections.add(connection);
    }

    /** Adds a connection to the idle ones, or closes it if the pod's address has changed. */
    void release(PodConnection connection) {
        PodEndpoint endpoint = endpointsByPodId.get(connection.podId);
        if (connection.address.equals(endpoint.address)) {
            endpoint.idleConnections.addLast(connection);
        } else {
            connection.close();
        }
    }

    /** Removes a closed connection. Called once for each connection, by the connection itself. */
    void connectionClosed(PodConnection connection) {
        connectionCount--;
        endpointsByPodId.get(connection.podId).connectionCount--;
        endpointsByPodId.get(connection.podId).idleConnections.remove(connection);
        endpointsByPodId.get(connection.podId).pendingConnections.remove(connection);
    }

    /** Counts a connection that was refused, by the network or by the pod. */
    void recordRefused() {
        metrics.increment(SidecarMetrics.Event.REFUSED);
    }

    /** Returns the number of connections to all pods, including those that are opening. */
    int connectionCount() {
        return connectionCount;
    }

    /** Records that a connection no longer opens or waits for the end of its cooldown. */
    void removePending(PodConnection connection) {
        endpointsByPodId.get(connection.podId).pendingConnections.remove(connection);
    }

    /** Records that a connection has completed its handshake and is ready for its first try. */
    void connectionReady(PodConnection connection) {
        connectTimeout.recordSuccess(clock.nowNs(), clock.nowNs() - connection.connectStartNs);
        removePending(connection);
    }

    /** Counts a connection that was not ready within its timeout. */
    void recordConnectTimeout() {
        metrics.increment(SidecarMetrics.Event.TOO_LATE);
        connectTimeout.recordTimeout(clock.nowNs());
    }

    /**
     * Opens a connection for a try. Returns false if the pod's address is unknown, or if the
     * maximum number of connections is reached and no connection to any pod is idle.
     */
    boolean openConnection(UpstreamTry upstreamTry, TryDispatcher tryDispatcher) {
        PodEndpoint endpoint = endpointsByPodId.get(upstreamTry.podId);
        if (endpoint == null
                || endpoint.address == null
                || connectionCount >= maxConnections && !closeOldestIdle()) {
            return false;
        }
        metrics.increment(SidecarMetrics.Event.OPENED);
        connectionCount++;
        endpoint.connectionCount++;
        PodConnection connection =
                new PodConnection(
                        upstreamTry.podId,
                        endpoint.address,
                        this,
                        responseHandler,
                        tryDispatcher,
                        responseMemory,
                        clock,
                        log);
        upstreamTry.connection = connection;
        connection.setWaitingTry(upstreamTry);
        endpoint.pendingConnections.add(connection);
        long timeoutNs = connectTimeout.timeoutNs(connection.connectStartNs);
        Channel channel =
                transport.connect(
                        endpoint.address, timeoutNs, connection, connection::connectFailed);
        connection.setConnecting(
                channel, transport.schedule(timeoutNs, connection::connectTimedOut));
        return true;
    }

    /**
     * Closes the connection that has been idle longest, regardless of its pod; returns false if
     * none is idle.
     */
    private boolean closeOldestIdle() {
        PodConnection oldest = null;
        for (PodEndpoint endpoint : endpointsByPodId.values()) {
            PodConnection connection = endpoint.idleConnections.peekFirst();
            oldest =
                    connection != null
                                    && (oldest == null
                                            || connection.idleSinceNs < oldest.idleSinceNs)
                            ? connection
                            : oldest;
        }
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    /**
     * Closes the connections past the idle timeout, and removes the pods that are gone and have no
     * connection left: without that they would accumulate with each release.
     */
    void evictExpired(long nowNs) {
        endpointsByPodId
                .values()
                .removeIf(endpoint -> endpoint.gone && endpoint.connectionCount == 0);
        for (PodEndpoint endpoint : endpointsByPodId.values()) {
            while (!endpoint.idleConnections.isEmpty()
                    && nowNs - endpoint.idleConnections.peekFirst().idleSinceNs >= idleTimeoutNs) {
                endpoint.idleConnections.pollFirst().close();
            }
        }
    }
}
