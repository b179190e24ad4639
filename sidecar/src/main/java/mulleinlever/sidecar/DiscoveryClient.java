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
    private static final int LONGEST = 4 << 20;
    private static final long CONNECT_NS = 1_000_000_000L;

    /**
     * An empty line comes every 2 s; after this long without one, the other end is gone or cut off.
     */
    private static final long SILENT_NS = 2_700_000_000L;

    /**
     * How often the wait for the first byte doubles while calls end without one: the line may be
     * long.
     */
    private static final int MOST_DOUBLINGS = 2;

    /** An answer that comes slowly is waited for, but not for ever. */
    private static final long OBJECT_NS = 20_000_000_000L;

    private final NettyTransport net;
    private final Clock clock;
    private final RateLimitedLog log;
    private InetSocketAddress address;
    private final PodConnectionPool pods;
    private Policy policy;
    private long version;
    private Watch watch;

    /** Calls in a row that ended in silence without a byte. */
    private int unanswered;

    private int watches;

    /**
     * When the last line of a watch came, which is when the list was last known to be true; the
     * start before any.
     */
    private long heardNs;

    private boolean heard;

    /** Whether nobody listened at its address when it was asked last. */
    private boolean unreached;

    DiscoveryClient(
            NettyTransport net,
            Clock clock,
            RateLimitedLog log,
            InetSocketAddress address,
            PodConnectionPool pods) {
        this.net = net;
        this.clock = clock;
        this.log = log;
        this.address = address;
        this.pods = pods;
        this.heardNs = clock.nowNs();
    }

    void setPolicy(Policy decides) {
        this.policy = decides;
    }

    /** Takes the list of the configuration, which nobody has confirmed yet. */
    void applyInitialList(PodList known) {
        take(known);
        policy.onPodListNeverConfirmed();
    }

    /** Takes a list from a watch. */
    private void take(PodList list) {
        log.info(
                "discovery",
                String.format(
                        Locale.ROOT,
                        "list: generation %d after %d, %s, %d entries",
                        list.version(),
                        version,
                        list.isFull() ? "whole" : "changes",
                        list.entries().size()));
        version = list.version();
        pods.updateAddresses(list);
        if (list.isFull()) {
            policy.onPodListReplaced(clock.nowNs(), list.entries());
        } else {
            policy.onPodListUpdated(clock.nowNs(), list.entries());
        }
        pods.closeToLeavingPods(list);
    }

    /** Of the list as last had. */
    long listVersion() {
        return version;
    }

    /** Whether the list is known to be true, or nobody is there who could tell. */
    boolean isListConfirmedOrUnreachable() {
        return heard || unreached;
    }

    /**
     * How long ago the list was last known to be true, in nanoseconds; before any watch told of it,
     * since the start.
     */
    long listAgeNs() {
        return clock.nowNs() - heardNs;
    }

    /**
     * Opens a watch in place of any before it, of whose end the module, having asked anew, need not
     * hear.
     */
    void openWatch() {
        if (watch != null) {
            watch.cancel();
        }
        watch = new Watch(++watches);
        log.info("discovery", watch + " opens at generation " + version);
        watch.connect(address, CONNECT_NS, SILENT_NS << Math.min(unanswered, MOST_DOUBLINGS));
    }

    /** The list had so far stands; what changed behind its version is told at the other address. */
    void updateAddress(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            policy.onDiscoveryChanged();
            openWatch();
        }
    }

    private final class Watch extends ChunkedHttpConnection {
        private final int number;
        private final JsonObjectAssembler objects = new JsonObjectAssembler(LONGEST);

        /** When the object under way began, at the latest when the one before was whole. */
        private long objectNs = clock.nowNs();

        Watch(int number) {
            super(net, LONGEST, log, "discovery");
            this.number = number;
        }

        @Override
        public String toString() {
            return "watch " + number;
        }

        @Override
        String initialRequest() {
            return "GET /discovery/hosts?stream=1&index="
                    + version
                    + " HTTP/1.1\r\nHost: "
                    + address.getHostString()
                    + ":"
                    + address.getPort()
                    + "\r\n\r\n";
        }

        @Override
        void onBytesReceived() {
            resetTimeout(Math.min(SILENT_NS, objectNs + OBJECT_NS - clock.nowNs()));
        }

        @Override
        void onLine(String text) {
            String object = objects.addLine(text);
            if (object == null) {
                return;
            }
            if (object.isBlank()) {
                policy.onPodListConfirmed(clock.nowNs());
            } else {
                take(PodList.fromJson(new JsonFieldReader("discovery: ", Json.parse(object))));
            }
            heardNs = clock.nowNs();
            heard = true;
            objectNs = heardNs;
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
                            + (heard ? "confirmed " : "never confirmed, taken ")
                            + listAgeNs() / 1_000_000
                            + " ms ago");
            policy.onPodListUnconfirmed(heardNs);
            unanswered = reason == EndReason.SILENT && !hasReceivedBytes() ? unanswered + 1 : 0;
            unreached = reason == EndReason.REFUSED;
            policy.onDiscoveryCallEnded(clock.nowNs(), !unreached);
            policy.onPodListWatchFailed(clock.nowNs());
        }
    }
}
