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
    private static final double IDLE_PART = 0.85;

    private static final class Place {
        InetSocketAddress address;
        final ArrayDeque<PodConnection> idle = new ArrayDeque<>();
        final Set<PodConnection> opening = new LinkedHashSet<>();
        int links;
        boolean gone;
    }

    private final NettyTransport net;
    private final Clock clock;
    private final RateLimitedLog log;
    private final PodResponseHandler relay;
    private final int most;
    private final AdaptiveConnectTimeout patience;
    private final long idleNs;
    private final Map<String, Place> places = new LinkedHashMap<>();
    private int open;
    private final SidecarMetrics counts;

    PodConnectionPool(
            NettyTransport net,
            Clock clock,
            RateLimitedLog log,
            PodResponseHandler relay,
            int most,
            Settings.PolicyLimits limits,
            SidecarMetrics counts) {
        this.counts = counts;
        this.net = net;
        this.clock = clock;
        this.log = log;
        this.relay = relay;
        this.most = most;
        this.patience =
                new AdaptiveConnectTimeout(
                        limits.connectTimeoutNs() > 0 ? limits.connectTimeoutNs() : 1_000_000_000L);
        this.idleNs =
                limits.connectionIdleTimeoutNs() > 0
                        ? (long) (IDLE_PART * limits.connectionIdleTimeoutNs())
                        : Long.MAX_VALUE;
    }

    /** Before the module hears of the list, so that it can use all that stands on it. */
    void updateAddresses(PodList list) {
        for (PodEntry e : list.entries()) {
            Place place = places.computeIfAbsent(e.id(), id -> new Place());
            place.gone = e.state() == PodEntry.State.GONE;
            InetSocketAddress now =
                    SocketAddresses.parse(list.addressesByPodId().getOrDefault(e.id(), ""));
            if (now != null && !now.equals(place.address)) {
                place.address = now;
                closeIdle(place);
            }
        }
    }

    /**
     * After the module has heard: what waits for a connection to a pod that leaves would be sent
     * there late, past the time in which that is allowed, so it has failed to connect and the
     * module decides anew.
     */
    void closeToLeavingPods(PodList list) {
        Set<String> leaving =
                list.isFull() ? new LinkedHashSet<>(places.keySet()) : new LinkedHashSet<>();
        for (PodEntry e : list.entries()) {
            if (e.state() == PodEntry.State.READY) {
                leaving.remove(e.id());
            } else {
                leaving.add(e.id());
            }
        }
        for (String id : leaving) {
            places.get(id).gone |= list.isFull() && !list.addressesByPodId().containsKey(id);
            closeIdle(places.get(id));
            new ArrayList<>(places.get(id).opening).forEach(PodConnection::closeUnlessCarrying);
        }
    }

    private static void closeIdle(Place place) {
        new ArrayList<>(place.idle).forEach(PodConnection::close);
        place.idle.clear();
    }

    /** Where a pod listens, as address and port; null where that is not known. */
    String podAddress(String pod) {
        Place place = places.get(pod);
        return place == null || place.address == null
                ? null
                : SocketAddresses.format(place.address);
    }

    /**
     * The one used last of those that have rested: those not needed grow old and are closed. Where
     * none has rested, the one that will have first, since to open another costs the pod more.
     */
    PodConnection acquireIdle(String pod) {
        Place place = places.get(pod);
        if (place == null) {
            return null;
        }
        long now = clock.nowNs();
        PodConnection found = null;
        for (Iterator<PodConnection> i = place.idle.descendingIterator();
                i.hasNext() && (found == null || found.remainingCooldownNs(now) > 0); ) {
            PodConnection l = i.next();
            found = l.isReusable() && now - l.idleSinceNs < idleNs ? l : found;
        }
        place.idle.remove(found);
        if (found != null) {
            counts.increment(SidecarMetrics.Event.REUSED);
        }
        return found;
    }

    /** Lets a try wait until the connection has rested; it is given up like one that opens. */
    void awaitCooldown(UpstreamTry t, PodConnection link, long forNs) {
        counts.increment(SidecarMetrics.Event.RESTED);
        t.connection = link;
        link.setWaitingTry(t);
        places.get(link.podId).opening.add(link);
        net.schedule(forNs, () -> link.cooldownEnded(t));
    }

    void release(PodConnection link) {
        Place place = places.get(link.podId);
        if (link.address.equals(place.address)) {
            place.idle.addLast(link);
        } else {
            link.close();
        }
    }

    void connectionClosed(PodConnection link) {
        open--;
        places.get(link.podId).links--;
        places.get(link.podId).idle.remove(link);
        places.get(link.podId).opening.remove(link);
    }

    void recordRefused() {
        counts.increment(SidecarMetrics.Event.REFUSED);
    }

    int connectionCount() {
        return open;
    }

    void removePending(PodConnection link) {
        places.get(link.podId).opening.remove(link);
    }

    /** It is ready for its first try. */
    void connectionReady(PodConnection link) {
        patience.recordSuccess(clock.nowNs(), clock.nowNs() - link.connectStartNs);
        removePending(link);
    }

    void recordConnectTimeout() {
        counts.increment(SidecarMetrics.Event.TOO_LATE);
        patience.recordTimeout(clock.nowNs());
    }

    /** Opens a connection for a try; false where none may be. */
    boolean openConnection(UpstreamTry t, TryDispatcher send) {
        Place place = places.get(t.podId);
        if (place == null || place.address == null || open >= most && !makeRoom()) {
            return false;
        }
        counts.increment(SidecarMetrics.Event.OPENED);
        open++;
        place.links++;
        PodConnection link =
                new PodConnection(t.podId, place.address, this, relay, send, clock, log);
        t.connection = link;
        link.setWaitingTry(t);
        place.opening.add(link);
        long limitNs = patience.timeoutNs(link.connectStartNs);
        Channel connecting = net.connect(place.address, limitNs, link, link::connectFailed);
        link.setConnecting(connecting, net.schedule(limitNs, link::connectTimedOut));
        return true;
    }

    private boolean makeRoom() {
        PodConnection oldest = null;
        for (Place p : places.values()) {
            PodConnection l = p.idle.peekFirst();
            oldest =
                    l != null && (oldest == null || l.idleSinceNs < oldest.idleSinceNs)
                            ? l
                            : oldest;
        }
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    /** Pods that came and went would else pile up with each release. */
    void evictExpired(long now) {
        places.values().removeIf(p -> p.gone && p.links == 0);
        for (Place p : places.values()) {
            while (!p.idle.isEmpty() && now - p.idle.peekFirst().idleSinceNs >= idleNs) {
                p.idle.pollFirst().close();
            }
        }
    }
}
