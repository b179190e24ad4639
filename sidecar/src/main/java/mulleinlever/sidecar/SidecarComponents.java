package mulleinlever.sidecar;

import io.netty.channel.ChannelHandler;
import mulleinlever.Policy;
import mulleinlever.Settings;

/**
 * The stages that a req passes and what stands beside them, put together around one {@link Policy}.
 */
final class SidecarComponents {
    /**
     * Descriptors for clients and for pods; the rest is for the files, the platform and discovery.
     */
    private static final double CLIENTS_PART = 0.55;

    private static final double PODS_PART = 0.35;

    final ClientConnections clients;
    final ReqRegistry book;
    final DiscoveryClient discovery;
    final ReleasePlatformClient platform;
    final Policy policy;
    private final PodConnectionPool pods;
    private final ReqMemoryLimiter flow = new ReqMemoryLimiter();
    private final QueryHandler admit;
    private final SidecarMetrics counts;
    private final Clock clock;
    private final RateLimitedLog log;
    private boolean wallClockStepped;

    SidecarComponents(
            SidecarConfig config,
            NettyTransport net,
            Clock clock,
            RateLimitedLog log,
            Lifecycle life) {
        this.clock = clock;
        this.log = log;
        Settings set = config.settings();
        clients = new ClientConnections((int) (CLIENTS_PART * config.sockets()), life);
        counts = new SidecarMetrics(clock, log);
        book = new ReqRegistry(clock, counts);
        pods =
                new PodConnectionPool(
                        net,
                        clock,
                        log,
                        new PodResponseHandler(book),
                        (int) (PODS_PART * config.sockets()),
                        set.limits(),
                        counts);
        discovery = new DiscoveryClient(net, clock, log, config.discovery(), pods);
        platform = new ReleasePlatformClient(net, clock, log, config);
        SidecarPolicyActions route =
                new SidecarPolicyActions(
                        net,
                        clock,
                        book,
                        new TryDispatcher(net, clock, book, pods),
                        discovery,
                        platform,
                        log);
        policy = new Policy(set, config.seed(), clock.now(), route);
        book.reportsTo(policy);
        route.asks(policy);
        discovery.reportsTo(policy);
        platform.reportsTo(policy);
        discovery.takeKnown(config.known());
        policy.news(clock.now(), config.news());
        admit = new QueryHandler(set, book, route);
    }

    /** For one client's connection. */
    ChannelHandler client() {
        return new ClientConnection(admit, clients, flow, book, clock, log);
    }

    /** Where a pod listens; null where that is not known. */
    String addressOf(String pod) {
        return pods.addressOf(pod);
    }

    /** A step is told to the policy once: it can't be undone. */
    private void watchWallClock() {
        long steppedNs = clock.steppedNs();
        if (steppedNs != 0 && !wallClockStepped) {
            wallClockStepped = true;
            log.say("clock", "the wall clock was stepped by " + steppedNs / 1_000_000 + " ms");
            policy.wallClockStepped();
        }
    }

    void sweep() {
        watchWallClock();
        clients.sweep(clock.now());
        pods.sweep(clock.now());
        counts.tell(policy.sight(clock.now()), clients.count(), pods.links(), discovery.ageNs());
    }
}
