package mulleinlever.sidecar;

/**
 * Measures by how much the event loop runs late, and lets it read from all connections now and then
 * also where nothing arrives. Called by the event loop only.
 */
final class EventLoopMonitor {
    private static final long CHECK_INTERVAL_NS = 50_000_000L;

    /** The minimum delay that is logged. */
    private static final long LOGGED_DELAY_NS = 50_000_000L;

    private final NettyTransport transport;
    private final Clock clock;
    private final SidecarMetrics metrics;
    private final ReqRegistry reqRegistry;
    private final RateLimitedLog log;
    private final ReadRounds rounds;
    private long lastCheckNs;

    EventLoopMonitor(
            NettyTransport transport,
            Clock clock,
            SidecarMetrics metrics,
            ReqRegistry reqRegistry,
            ReadRounds rounds,
            RateLimitedLog log) {
        this.transport = transport;
        this.clock = clock;
        this.metrics = metrics;
        this.reqRegistry = reqRegistry;
        this.rounds = rounds;
        this.log = log;
    }

    /** Starts the checks. */
    void start() {
        lastCheckNs = clock.nowNs();
        transport.scheduleAtFixedRate(CHECK_INTERVAL_NS, this::check);
    }

    /** Logs a delay of the event loop, by which all timeouts are late as well. */
    private void check() {
        long nowNs = clock.nowNs();
        long delayNs = nowNs - lastCheckNs - CHECK_INTERVAL_NS;
        metrics.recordLoopDelay(delayNs);
        if (delayNs > LOGGED_DELAY_NS) {
            log.info(
                    "loop",
                    "late by "
                            + delayNs / 1_000_000
                            + " ms, "
                            + reqRegistry.inFlightCount()
                            + " reqs in flight");
        }
        lastCheckNs = nowNs;
        rounds.startRound(0, () -> {});
    }
}
