package mulleinlever.sidecar;

/** Measures by how much the event loop runs late. Called by the event loop only. */
final class EventLoopMonitor {
    private static final long CHECK_INTERVAL_NS = 50_000_000L;

    /** The minimum delay that is logged. */
    private static final long LOGGED_DELAY_NS = 50_000_000L;

    /**
     * The delay from which what has arrived may be too old to act on before all of it is read: no
     * try may begin later than 0.1 s after the end of its client's connection.
     */
    private static final long HELD_UP_DELAY_NS = 40_000_000L;

    private final NettyTransport transport;
    private final Clock clock;
    private final SidecarMetrics metrics;
    private final ReqRegistry reqRegistry;
    private final RateLimitedLog log;
    private boolean started;
    private long lastCheckNs;

    /**
     * Whether a check has found the event loop held up, and it hasn't read from all connections
     * since: after a pause of the process it may run its timers first.
     */
    private boolean readsDue;

    EventLoopMonitor(
            NettyTransport transport,
            Clock clock,
            SidecarMetrics metrics,
            ReqRegistry reqRegistry,
            RateLimitedLog log) {
        this.transport = transport;
        this.clock = clock;
        this.metrics = metrics;
        this.reqRegistry = reqRegistry;
        this.log = log;
    }

    /** Starts the checks. */
    void start() {
        started = true;
        lastCheckNs = clock.nowNs();
        transport.scheduleAtFixedRate(CHECK_INTERVAL_NS, this::check);
    }

    private long delayNs(long nowNs) {
        return nowNs - lastCheckNs - CHECK_INTERVAL_NS;
    }

    /** Returns whether the event loop was held up and hasn't read from all connections since. */
    boolean isHeldUp() {
        return readsDue || started && delayNs(clock.nowNs()) > HELD_UP_DELAY_NS;
    }

    /** Logs a delay of the event loop, by which all timeouts are late as well. */
    private void check() {
        long nowNs = clock.nowNs();
        long delayNs = delayNs(nowNs);
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
        if (delayNs > HELD_UP_DELAY_NS && !readsDue) {
            readsDue = true;
            transport.runAfterNextReads(() -> readsDue = false);
        }
        lastCheckNs = nowNs;
    }
}
