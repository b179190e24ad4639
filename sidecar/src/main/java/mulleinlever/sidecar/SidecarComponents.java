package mulleinlever.sidecar;

import io.netty.channel.ChannelHandler;
import mulleinlever.MemoryLimits;
import mulleinlever.Policy;
import mulleinlever.Settings;
import mulleinlever.SipHash;

/** The components of a sidecar, connected to one {@link Policy}. Used on the event loop only. */
final class SidecarComponents {
    /**
     * The share of the socket limit that client connections may use. The rest beside this share and
     * that of the pods is reserved for files, the platform and discovery.
     */
    private static final double CLIENT_SOCKET_SHARE = 0.55;

    /** The share of the socket limit that connections to pods may use. */
    private static final double POD_SOCKET_SHARE = 0.35;

    final ClientConnections clientConnections;
    final ReqRegistry reqRegistry;
    final DiscoveryClient discoveryClient;
    final ReleasePlatformClient releasePlatformClient;
    final Policy policy;
    final EventLoopMonitor eventLoopMonitor;
    private final SidecarMetrics metrics;
    private final PodConnectionPool connectionPool;
    private final MessageMemory memory;
    private final NettyTransport transport;
    private final ReadRounds rounds;
    private final QueryHandler queryHandler;
    private final Clock clock;
    private final RateLimitedLog log;
    private boolean wallClockStepped;

    SidecarComponents(
            SidecarConfig config,
            NettyTransport transport,
            Clock clock,
            RateLimitedLog log,
            Lifecycle lifecycle) {
        this.clock = clock;
        this.log = log;
        Settings settings = config.settings();
        this.transport = transport;
        metrics = new SidecarMetrics(clock, log);
        memory =
                MessageMemory.of(
                        MemoryLimits.of(
                                NettyTransport.maxDirectBytes(),
                                Runtime.getRuntime().maxMemory(),
                                config.maxMemoryBytes(),
                                settings));
        rounds = new ReadRounds(transport, clock);
        clientConnections =
                new ClientConnections(
                        (int) (CLIENT_SOCKET_SHARE * config.maxSockets()),
                        lifecycle,
                        transport,
                        rounds,
                        clock,
                        metrics,
                        memory);
        reqRegistry = new ReqRegistry(transport, clock, metrics);
        eventLoopMonitor =
                new EventLoopMonitor(transport, clock, metrics, reqRegistry, rounds, log);
        connectionPool =
                new PodConnectionPool(
                        transport,
                        clock,
                        log,
                        new PodResponseHandler(reqRegistry),
                        memory.responses(),
                        (int) (POD_SOCKET_SHARE * config.maxSockets()),
                        settings.policyLimits(),
                        metrics);
        discoveryClient =
                new DiscoveryClient(
                        transport, clock, log, config.discoveryAddress(), connectionPool);
        releasePlatformClient = new ReleasePlatformClient(transport, clock, log, config);
        SidecarPolicyActions policyActions =
                new SidecarPolicyActions(
                        transport,
                        clock,
                        reqRegistry,
                        new TryDispatcher(transport, clock, metrics, reqRegistry, connectionPool),
                        discoveryClient,
                        releasePlatformClient,
                        log);
        policy = new Policy(settings, config.seed(), clock.nowNs(), policyActions);
        policy.limitMemory(
                memory.limits().executionHistoryBytes(), memory.limits().rememberedKeys());
        reqRegistry.setPolicy(policy);
        policyActions.setPolicy(policy);
        discoveryClient.setPolicy(policy);
        releasePlatformClient.setPolicy(policy);
        discoveryClient.applyInitialList(config.initialPodList());
        policy.onRolloutStatus(clock.nowNs(), config.initialRolloutStatus());
        queryHandler =
                new QueryHandler(
                        settings,
                        transport,
                        clock,
                        reqRegistry,
                        policyActions,
                        lifecycle,
                        SipHash.ofSeed(config.seed()));
    }

    /** Returns the handler for a new client connection. */
    ChannelHandler newClientHandler() {
        return new ClientConnection(
                queryHandler, clientConnections, memory, metrics, reqRegistry, clock, log);
    }

    /** Returns the address at which a pod listens, as host and port; null if it is unknown. */
    String podAddress(String podId) {
        return connectionPool.podAddress(podId);
    }

    /**
     * Notifies the policy of the first step of the wall clock only, since the notification can't be
     * undone.
     */
    private void reportWallClockStep() {
        long steppedNs = clock.wallClockStepNs();
        if (steppedNs != 0 && !wallClockStepped) {
            wallClockStepped = true;
            log.info("clock", "the wall clock was stepped by " + steppedNs / 1_000_000 + " ms");
            policy.onWallClockStepped();
        }
    }

    /** Closes expired connections to pods and logs the counts. Called every second. */
    void runMaintenance() {
        reportWallClockStep();
        connectionPool.evictExpired(clock.nowNs());
        metrics.logAndReset(
                policy.stats(clock.nowNs()),
                clientConnections.connectionCount(),
                connectionPool.connectionCount(),
                discoveryClient.listAgeNs(),
                new SidecarMetrics.BufferMemory(
                        transport.poolBytes(),
                        memory.requests().reservedBytes(),
                        memory.responses().reservedBytes()));
    }
}
