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

    final ClientConnections clientConnections;
    final ReqRegistry reqRegistry;
    final DiscoveryClient discovery;
    final ReleasePlatformClient releasePlatform;
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
        clientConnections = new ClientConnections((int) (CLIENTS_PART * config.maxSockets()), life);
        counts = new SidecarMetrics(clock, log);
        reqRegistry = new ReqRegistry(clock, counts);
        pods =
                new PodConnectionPool(
                        net,
                        clock,
                        log,
                        new PodResponseHandler(reqRegistry),
                        (int) (PODS_PART * config.maxSockets()),
                        set.policyLimits(),
                        counts);
        discovery = new DiscoveryClient(net, clock, log, config.discoveryAddress(), pods);
        releasePlatform = new ReleasePlatformClient(net, clock, log, config);
        SidecarPolicyActions route =
                new SidecarPolicyActions(
                        net,
                        clock,
                        reqRegistry,
                        new TryDispatcher(net, clock, reqRegistry, pods),
                        discovery,
                        releasePlatform,
                        log);
        policy = new Policy(set, config.seed(), clock.nowNs(), route);
        reqRegistry.setPolicy(policy);
        route.setPolicy(policy);
        discovery.setPolicy(policy);
        releasePlatform.setPolicy(policy);
        discovery.applyInitialList(config.initialPodList());
        policy.onRolloutStatus(clock.nowNs(), config.initialRolloutStatus());
        admit = new QueryHandler(set, reqRegistry, route);
    }

    /** For one client's connection. */
    ChannelHandler newClientHandler() {
        return new ClientConnection(admit, clientConnections, flow, reqRegistry, clock, log);
    }

    /** Where a pod listens; null where that is not known. */
    String podAddress(String pod) {
        return pods.podAddress(pod);
    }

    /** A step is told to the policy once: it can't be undone. */
    private void watchWallClock() {
        long steppedNs = clock.wallClockStepNs();
        if (steppedNs != 0 && !wallClockStepped) {
            wallClockStepped = true;
            log.info("clock", "the wall clock was stepped by " + steppedNs / 1_000_000 + " ms");
            policy.onWallClockStepped();
        }
    }

    void runMaintenance() {
        watchWallClock();
        clientConnections.closeStalled(clock.nowNs());
        pods.evictExpired(clock.nowNs());
        counts.logAndReset(
                policy.stats(clock.nowNs()),
                clientConnections.connectionCount(),
                pods.connectionCount(),
                discovery.listAgeNs());
    }
}
