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

/** Where the pods listen, and the connections to them that wait for work. */
final class PodConnectionPool {
    /**
     * Idle connections go before the pods' own limit: a req written to a closed one would be lost.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.85;

    private static final class PodEndpoint {
        InetSocketAddress address;
        final ArrayDeque<PodConnection> idleConnections = new ArrayDeque<>();
        final Set<PodConnection> pendingConnections = new LinkedHashSet<>();
        int connectionCount;
        boolean gone;
    }

    private final NettyTransport transport;
    private final Clock clock;
    private final RateLimitedLog log;
    private final PodResponseHandler responseHandler;
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
            int maxConnections,
            Settings.PolicyLimits limits,
            SidecarMetrics metrics) {
        this.metrics = metrics;
        this.transport = transport;
        this.clock = clock;
        this.log = log;
        this.responseHandler = responseHandler;
        this.maxConnections = maxConnections;
        this.connectTimeout =
                new AdaptiveConnectTimeout(
                        limits.connectTimeoutNs() > 0 ? limits.connectTimeoutNs() : 1_000_000_000L);
        this.idleTimeoutNs =
                limits.connectionIdleTimeoutNs() > 0
                        ? (long) (IDLE_TIMEOUT_FRACTION * limits.connectionIdleTimeoutNs())
                        : Long.MAX_VALUE;
    }

    /** Before the module hears of the list, so that it can use all that stands on it. */
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
     * After the module has heard: what waits for a connection to a pod that leaves would be sent
     * there late, past the time in which that is allowed, so it has failed to connect and the
     * module decides anew.
     */
    void closeToLeavingPods(PodList list) {
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
                    .forEach(PodConnection::closeUnlessCarrying);
        }
    }

    private static void closeIdle(PodEndpoint endpoint) {
        new ArrayList<>(endpoint.idleConnections).forEach(PodConnection::close);
        endpoint.idleConnections.clear();
    }

    /** Where a pod listens, as address and port; null where that is not known. */
    String podAddress(String podId) {
        PodEndpoint endpoint = endpointsByPodId.get(podId);
        return endpoint == null || endpoint.address == null
                ? null
                : SocketAddresses.format(endpoint.address);
    }

    /**
     * The one used last of those that have rested: those not needed grow old and are closed. Where
     * none has rested, the one that will have first, since to open another costs the pod more.
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

    /** Lets a try wait until the connection has rested; it is given up like one that opens. */
    void awaitCooldown(UpstreamTry upstreamTry, PodConnection connection, long delayNs) {
        metrics.increment(SidecarMetrics.Event.RESTED);
        upstreamTry.connection = connection;
        connection.setWaitingTry(upstreamTry);
        endpointsByPodId.get(connection.podId).pendingConnections.add(connection);
        transport.schedule(delayNs, () -> connection.cooldownEnded(upstreamTry));
    }

    void release(PodConnection connection) {
        PodEndpoint endpoint = endpointsByPodId.get(connection.podId);
        if (connection.address.equals(endpoint.address)) {
            endpoint.idleConnections.addLast(connection);
        } else {
            connection.close();
        }
    }

    void connectionClosed(PodConnection connection) {
        connectionCount--;
        endpointsByPodId.get(connection.podId).connectionCount--;
        endpointsByPodId.get(connection.podId).idleConnections.remove(connection);
        endpointsByPodId.get(connection.podId).pendingConnections.remove(connection);
    }

    void recordRefused() {
        metrics.increment(SidecarMetrics.Event.REFUSED);
    }

    int connectionCount() {
        return connectionCount;
    }

    void removePending(PodConnection connection) {
        endpointsByPodId.get(connection.podId).pendingConnections.remove(connection);
    }

    /** It is ready for its first try. */
    void connectionReady(PodConnection connection) {
        connectTimeout.recordSuccess(clock.nowNs(), clock.nowNs() - connection.connectStartNs);
        removePending(connection);
    }

    void recordConnectTimeout() {
        metrics.increment(SidecarMetrics.Event.TOO_LATE);
        connectTimeout.recordTimeout(clock.nowNs());
    }

    /** Opens a connection for a try; false where none may be. */
    boolean openConnection(UpstreamTry upstreamTry, TryDispatcher dispatcher) {
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
                        dispatcher,
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

    /** Pods that came and went would else pile up with each release. */
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
