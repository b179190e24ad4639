package mulleinlever.sidecar;

import mulleinlever.ShutdownPolicy;

/**
 * Carries out the shutdown of a process that serves: goes on for a moment, then closes connections
 * as they become idle, and answers what is still open before the process has to end. Called by the
 * event loop only.
 */
final class GracefulShutdown {
    private static final long POLL_INTERVAL_NS = 10_000_000L;

    private final ShutdownPolicy policy;
    private final Lifecycle lifecycle;
    private final SidecarComponents components;
    private final NettyTransport transport;
    private final Clock clock;
    private final RateLimitedLog log;
    private final Runnable end;

    /**
     * @param end ends the process; may be called more than once
     */
    GracefulShutdown(
            ShutdownPolicy policy,
            Lifecycle lifecycle,
            SidecarComponents components,
            NettyTransport transport,
            Clock clock,
            RateLimitedLog log,
            Runnable end) {
        this.policy = policy;
        this.lifecycle = lifecycle;
        this.components = components;
        this.transport = transport;
        this.clock = clock;
        this.log = log;
        this.end = end;
    }

    /** Begins the shutdown; later calls have no effect. */
    void begin() {
        if (lifecycle.advanceTo(Lifecycle.Phase.LEAVING)) {
            scheduleSinceStop(policy.leavingNs(), this::closeIdleConnections);
            scheduleSinceStop(policy.finalAnswersNs(), this::answerOpenReqs);
        }
    }

    /** Schedules a task by the time since the request to stop, which this call may be late for. */
    private void scheduleSinceStop(long sinceStopNs, Runnable task) {
        transport.schedule(sinceStopNs - lifecycle.sinceStopNs(clock.nowNs()), task);
    }

    private void closeIdleConnections() {
        lifecycle.advanceTo(Lifecycle.Phase.FINISHING);
        components.clientConnections.shutDown();
        transport.scheduleAtFixedRate(
                POLL_INTERVAL_NS,
                () -> {
                    if (components.clientConnections.connectionCount() == 0) {
                        end.run();
                    }
                });
    }

    /**
     * Answers all reqs, those received and not handled yet among them. Nothing more is read, and
     * the connections close behind the answers.
     */
    private void answerOpenReqs() {
        log.info(
                "life",
                components.reqRegistry.inFlightCount()
                        + " reqs and "
                        + components.clientConnections.connectionCount()
                        + " connections are open at the end");
        components.clientConnections.stopReading();
        components.policy.answerOpenReqs(clock.nowNs());
        components.reqRegistry.endWaitsForIds();
        transport.schedule(policy.finalDecodingNs(), this::answerIncompleteMessages);
    }

    private void answerIncompleteMessages() {
        components.clientConnections.answerIncompleteMessages();
        transport.schedule(policy.finalWritesNs(), end);
    }
}
