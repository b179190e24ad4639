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
        this.heardNs = clock.now();
    }

    void reportsTo(Policy decides) {
        this.policy = decides;
    }

    /** Takes the list of the configuration, which nobody has confirmed yet. */
    void takeKnown(PodList known) {
        take(known);
        policy.listNeverConfirmed();
    }

    /** Takes a list from a watch. */
    private void take(PodList list) {
        log.say(
                "discovery",
                String.format(
                        Locale.ROOT,
                        "list: generation %d after %d, %s, %d entries",
                        list.version(),
                        version,
                        list.whole() ? "whole" : "changes",
                        list.entries().size()));
        version = list.version();
        pods.learn(list);
        if (list.whole()) {
            policy.listWhole(clock.now(), list.entries());
        } else {
            policy.listChanged(clock.now(), list.entries());
        }
        pods.retire(list);
    }

    /** Of the list as last had. */
    long version() {
        return version;
    }

    /** Whether the list is known to be true, or nobody is there who could tell. */
    boolean settled() {
        return heard || unreached;
    }

    /**
     * How long ago the list was last known to be true, in nanoseconds; before any watch told of it,
     * since the start.
     */
    long ageNs() {
        return clock.now() - heardNs;
    }

    /**
     * Opens a watch in place of any before it, of whose end the module, having asked anew, need not
     * hear.
     */
    void watch() {
        if (watch != null) {
            watch.drop();
        }
        watch = new Watch(++watches);
        log.say("discovery", watch + " opens at generation " + version);
        watch.open(address, CONNECT_NS, SILENT_NS << Math.min(unanswered, MOST_DOUBLINGS));
    }

    /** The list had so far stands; what changed behind its version is told at the other address. */
    void moved(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            policy.listMoved();
            watch();
        }
    }

    private final class Watch extends ChunkedHttpConnection {
        private final int number;
        private final JsonObjectAssembler objects = new JsonObjectAssembler(LONGEST);

        /** When the object under way began, at the latest when the one before was whole. */
        private long objectNs = clock.now();

        Watch(int number) {
            super(net, LONGEST, log, "discovery");
            this.number = number;
        }

        @Override
        public String toString() {
            return "watch " + number;
        }

        @Override
        String says() {
            return "GET /discovery/hosts?stream=1&index="
                    + version
                    + " HTTP/1.1\r\nHost: "
                    + address.getHostString()
                    + ":"
                    + address.getPort()
                    + "\r\n\r\n";
        }

        @Override
        void progress() {
            limit(Math.min(SILENT_NS, objectNs + OBJECT_NS - clock.now()));
        }

        @Override
        void line(String text) {
            String object = objects.add(text);
            if (object == null) {
                return;
            }
            if (object.isBlank()) {
                policy.listConfirmed(clock.now());
            } else {
                take(PodList.read(new JsonFieldReader("discovery: ", Json.read(object))));
            }
            heardNs = clock.now();
            heard = true;
            objectNs = heardNs;
        }

        @Override
        void complete() {
            ended(EndReason.COMPLETE);
        }

        @Override
        void end(EndReason reason) {
            log.say(
                    "discovery",
                    this
                            + " has ended: "
                            + reason
                            + " "
                            + history()
                            + ", list "
                            + (heard ? "confirmed " : "never confirmed, taken ")
                            + ageNs() / 1_000_000
                            + " ms ago");
            policy.listUnconfirmed(heardNs);
            unanswered = reason == EndReason.SILENT && !begun() ? unanswered + 1 : 0;
            unreached = reason == EndReason.REFUSED;
            policy.listCalled(clock.now(), !unreached);
            policy.listFailed(clock.now());
        }
    }
}
