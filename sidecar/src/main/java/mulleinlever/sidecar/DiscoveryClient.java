package mulleinlever.sidecar;

import java.net.InetSocketAddress;
import java.util.Locale;
import mulleinlever.Policy;
import mulleinlever.settings.Json;
import mulleinlever.settings.JsonFieldReader;

/**
 * Watches the pod list at discovery by means of a streamed HTTP response, and applies each list to
 * the connection pool and the policy. When a watch ends, the policy is notified and decides when
 * the next one opens. Used by the event loop only.
 */
final class DiscoveryClient {
    /** The maximum length of a pod list: bytes of one line, or characters of an indented object. */
    private static final int MAX_OBJECT_LENGTH = 4 << 20;

    private static final long CONNECT_TIMEOUT_NS = 1_000_000_000L;

    /**
     * Discovery sends an empty line every 2 s. After this time without any byte, it is considered
     * down or cut off.
     */
    private static final long SILENCE_TIMEOUT_NS = 2_700_000_000L;

    /**
     * The maximum number of times that the timeout for the first byte doubles while watches end
     * without one: the call may be waiting in a long queue at discovery.
     */
    private static final int MAX_TIMEOUT_DOUBLINGS = 2;

    /**
     * The maximum time for a list to arrive. A slow transfer goes on while bytes keep coming, but
     * not beyond this time.
     */
    private static final long OBJECT_TIMEOUT_NS = 20_000_000_000L;

    private final NettyTransport transport;
    private final Clock clock;
    private final RateLimitedLog log;
    private InetSocketAddress address;
    private final PodConnectionPool connectionPool;
    private Policy policy;
    private long listVersion;
    private Watch watch;

    /** The number of consecutive watches that timed out without receiving a byte. */
    private int unansweredWatchCount;

    /** The number of watches opened, which numbers them in the log. */
    private int watchCount;

    /**
     * When a watch last received a list or an empty line, that is, when the list was last known to
     * be current; the start time before any.
     */
    private long lastConfirmedNs;

    /** Whether any watch has received a list or an empty line. */
    private boolean confirmed;

    /** Whether the connection of the last ended watch was refused. */
    private boolean unreachable;

    DiscoveryClient(
            NettyTransport transport,
            Clock clock,
            RateLimitedLog log,
            InetSocketAddress address,
            PodConnectionPool connectionPool) {
        this.transport = transport;
        this.clock = clock;
        this.log = log;
        this.address = address;
        this.connectionPool = connectionPool;
        this.lastConfirmedNs = clock.nowNs();
    }

    /** Sets the policy to notify. Called once, before any list is applied. */
    void setPolicy(Policy policy) {
        this.policy = policy;
    }

    /** Applies the list that the sidecar starts with, which discovery has not confirmed. */
    void applyInitialList(PodList list) {
        applyList(list);
        policy.onPodListNeverConfirmed();
    }

    /**
     * Applies a list. The connection pool gets the addresses before the policy is notified, so that
     * the policy can use every pod on the list. Connections to leaving pods are closed afterwards,
     * so that tries waiting for one fail and the policy decides on them anew.
     */
    private void applyList(PodList list) {
        log.info(
                "discovery",
                String.format(
                        Locale.ROOT,
                        "list: generation %d after %d, %s, %d entries",
                        list.version(),
                        listVersion,
                        list.isFull() ? "full" : "changes",
                        list.entries().size()));
        listVersion = list.version();
        connectionPool.updateAddresses(list);
        if (list.isFull()) {
            policy.onPodListReplaced(clock.nowNs(), list.entries());
        } else {
            policy.onPodListUpdated(clock.nowNs(), list.entries());
        }
        connectionPool.closeConnectionsToLeavingPods(list);
    }

    /** Returns the generation of the list that was applied last; 0 before any. */
    long listVersion() {
        return listVersion;
    }

    /**
     * Returns whether a watch has confirmed the list, or the connection of the last ended watch was
     * refused.
     */
    boolean isListConfirmedOrUnreachable() {
        return confirmed || unreachable;
    }

    /**
     * Returns the time since the list was last known to be current, in nanoseconds; the time since
     * the start before any watch has confirmed it.
     */
    long listAgeNs() {
        return clock.nowNs() - lastConfirmedNs;
    }

    /**
     * Opens a watch and cancels the current one. The policy is not notified of a watch that is
     * replaced.
     */
    void openWatch() {
        if (watch != null) {
            watch.cancel();
        }
        watch = new Watch(++watchCount);
        log.info("discovery", watch + " opens at generation " + listVersion);
        watch.connect(
                address,
                CONNECT_TIMEOUT_NS,
                SILENCE_TIMEOUT_NS << Math.min(unansweredWatchCount, MAX_TIMEOUT_DOUBLINGS));
    }

    /**
     * Watches at another address from now on. The current list remains in use; the new watch
     * requests the changes since its generation.
     */
    void updateAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            policy.onDiscoverySwitched();
            openWatch();
        }
    }

    /** A streamed response with the changes since the current list. */
    private final class Watch extends ChunkedHttpConnection {
        private final int number;
        private final JsonObjectAssembler assembler = new JsonObjectAssembler(MAX_OBJECT_LENGTH);

        /**
         * When the previous object was complete, or the watch was created: the earliest start of
         * the current object.
         */
        private long objectStartNs = clock.nowNs();

        Watch(int number) {
            super(transport, MAX_OBJECT_LENGTH, log, "discovery");
            this.number = number;
        }

        @Override
        public String toString() {
            return "watch " + number;
        }

        @Override
        String initialRequest() {
            return "GET /discovery/hosts?stream=1&index="
                    + listVersion
                    + " HTTP/1.1\r\nHost: "
                    + address.getHostString()
                    + ":"
                    + address.getPort()
                    + "\r\n\r\n";
        }

        @Override
        void onBytesReceived() {
            resetTimeout(
                    Math.min(
                            SILENCE_TIMEOUT_NS, objectStartNs + OBJECT_TIMEOUT_NS - clock.nowNs()));
        }

        @Override
        void onLine(String line) {
            String json = assembler.addLine(line);
            if (json == null) {
                return;
            }
            if (json.isBlank()) {
                policy.onPodListConfirmed(clock.nowNs());
            } else {
                applyList(PodList.fromJson(new JsonFieldReader("discovery: ", Json.parse(json))));
            }
            lastConfirmedNs = clock.nowNs();
            confirmed = true;
            objectStartNs = lastConfirmedNs;
        }

        @Override
        void onResponseComplete() {
            terminate(EndReason.COMPLETE);
        }

        @Override
        void onEnd(EndReason reason) {
            log.info(
                    "discovery",
                    this
                            + " has ended: "
                            + reason
                            + " "
                            + describeProgress()
                            + ", list "
                            + (confirmed ? "confirmed " : "never confirmed, loaded ")
                            + listAgeNs() / 1_000_000
                            + " ms ago");
            policy.onPodListUnconfirmed(lastConfirmedNs);
            unansweredWatchCount =
                    reason == EndReason.SILENT && !hasReceivedBytes()
                            ? unansweredWatchCount + 1
                            : 0;
            unreachable = reason == EndReason.REFUSED;
            policy.onDiscoveryCallEnded(clock.nowNs(), !unreachable);
            policy.onPodListWatchFailed(clock.nowNs());
        }
    }
}
