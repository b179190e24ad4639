package mulleinlever.sidecar;

import java.net.InetSocketAddress;
import java.util.Locale;
import mulleinlever.Policy;
import mulleinlever.settings.Json;
import mulleinlever.settings.JsonFieldReader;

/**
 * Watches the list of pods. When a watch ends the module is told, and asks again when it wants to.
 */
final class DiscoveryClient {
    private static final int MAX_OBJECT_LENGTH = 4 << 20;
    private static final long CONNECT_TIMEOUT_NS = 1_000_000_000L;

    /**
     * An empty line comes every 2 s; after this long without one, the other end is gone or cut off.
     */
    private static final long SILENCE_TIMEOUT_NS = 2_700_000_000L;

    /**
     * How often the wait for the first byte doubles while calls end without one: the line may be
     * long.
     */
    private static final int MAX_TIMEOUT_DOUBLINGS = 2;

    /** An answer that comes slowly is waited for, but not for ever. */
    private static final long OBJECT_TIMEOUT_NS = 20_000_000_000L;

    private final NettyTransport transport;
    private final Clock clock;
    private final RateLimitedLog log;
    private InetSocketAddress address;
    private final PodConnectionPool connectionPool;
    private Policy policy;
    private long listVersion;
    private Watch watch;

    /** Calls in a row that ended in silence without a byte. */
    private int unansweredWatchCount;

    private int watchCount;

    /**
     * When the last line of a watch came, which is when the list was last known to be true; the
     * start before any.
     */
    private long lastConfirmedNs;

    private boolean confirmed;

    /** Whether nobody listened at its address when it was asked last. */
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

    void setPolicy(Policy policy) {
        this.policy = policy;
    }

    /** Takes the list of the configuration, which nobody has confirmed yet. */
    void applyInitialList(PodList list) {
        applyList(list);
        policy.onPodListNeverConfirmed();
    }

    /** Takes a list from a watch. */
    private void applyList(PodList list) {
        log.info(
                "discovery",
                String.format(
                        Locale.ROOT,
                        "list: generation %d after %d, %s, %d entries",
                        list.version(),
                        listVersion,
                        list.isFull() ? "whole" : "changes",
                        list.entries().size()));
        listVersion = list.version();
        connectionPool.updateAddresses(list);
        if (list.isFull()) {
            policy.onPodListReplaced(clock.nowNs(), list.entries());
        } else {
            policy.onPodListUpdated(clock.nowNs(), list.entries());
        }
        connectionPool.closeToLeavingPods(list);
    }

    /** Of the list as last had. */
    long listVersion() {
        return listVersion;
    }

    /** Whether the list is known to be true, or nobody is there who could tell. */
    boolean isListConfirmedOrUnreachable() {
        return confirmed || unreachable;
    }

    /**
     * How long ago the list was last known to be true, in nanoseconds; before any watch told of it,
     * since the start.
     */
    long listAgeNs() {
        return clock.nowNs() - lastConfirmedNs;
    }

    /**
     * Opens a watch in place of any before it, of whose end the module, having asked anew, need not
     * hear.
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

    /** The list had so far stands; what changed behind its version is told at the other address. */
    void updateAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            policy.onDiscoveryChanged();
            openWatch();
        }
    }

    private final class Watch extends ChunkedHttpConnection {
        private final int number;
        private final JsonObjectAssembler assembler = new JsonObjectAssembler(MAX_OBJECT_LENGTH);

        /** When the object under way began, at the latest when the one before was whole. */
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
                            + (confirmed ? "confirmed " : "never confirmed, taken ")
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
