package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import mulleinlever.Policy;
import mulleinlever.PolicyActions;
import mulleinlever.Req;
import mulleinlever.RolloutVote;

/**
 * Hands each req to the policy and carries out the policy's actions: tries go to the {@link
 * TryDispatcher}, responses to the {@link ReqRegistry}. Called by the event loop only.
 */
final class SidecarPolicyActions implements PolicyActions {
    private final NettyTransport transport;
    private final Clock clock;
    private final ReqRegistry reqRegistry;
    private final TryDispatcher tryDispatcher;
    private final DiscoveryClient discoveryClient;
    private final ReleasePlatformClient releasePlatformClient;
    private final RateLimitedLog log;
    private Policy policy;

    SidecarPolicyActions(
            NettyTransport transport,
            Clock clock,
            ReqRegistry reqRegistry,
            TryDispatcher tryDispatcher,
            DiscoveryClient discoveryClient,
            ReleasePlatformClient releasePlatformClient,
            RateLimitedLog log) {
        this.transport = transport;
        this.clock = clock;
        this.reqRegistry = reqRegistry;
        this.tryDispatcher = tryDispatcher;
        this.discoveryClient = discoveryClient;
        this.releasePlatformClient = releasePlatformClient;
        this.log = log;
    }

    /** Sets the policy; called once, before the first req and the first timer. */
    void setPolicy(Policy policy) {
        this.policy = policy;
    }

    /**
     * Hands a registered req to the policy. The policy's actions may be called before this returns.
     */
    void submitReq(Req req) {
        policy.onReq(clock.nowNs(), req);
    }

    /** Has the policy answer a registered req that is not to be sent. */
    void rejectReq(Req req) {
        policy.rejectReq(clock.nowNs(), req);
    }

    @Override
    public void startTry(String reqId, String podId, long writeWithinNs, long timeoutNs) {
        tryDispatcher.startTry(reqRegistry.find(reqId), podId, writeWithinNs, timeoutNs);
    }

    @Override
    public void shedReq(String reqId, long backoffNs) {
        respond(
                reqId,
                SidecarMetrics.Event.SHED,
                PostgresMessages.errorResponse(
                        PostgresMessages.TOO_MANY_CONNECTIONS,
                        "shed: try again",
                        backoffNs / 1_000_000,
                        true));
    }

    @Override
    public void failReq(String reqId) {
        respond(
                reqId,
                SidecarMetrics.Event.ERRORED,
                PostgresMessages.errorResponse(
                        PostgresMessages.INTERNAL_ERROR, "errored", 0, true));
    }

    /** Responds to a req; releases the response if the req is no longer registered. */
    private void respond(String reqId, SidecarMetrics.Event event, ByteBuf response) {
        PendingCommand command = reqRegistry.find(reqId);
        if (command == null) {
            response.release();
        } else {
            reqRegistry.respond(command, response, event);
        }
    }

    @Override
    public void cancelTry(String reqId, int tryNumber) {
        PendingCommand command = reqRegistry.find(reqId);
        if (command != null && tryNumber >= 0 && tryNumber < command.tries.size()) {
            tryDispatcher.cancelTry(command.tries.get(tryNumber));
        }
    }

    @Override
    public void castVote(int build, int stage, RolloutVote vote) {
        releasePlatformClient.sendVote(build, stage, vote);
    }

    @Override
    public void watchPodList() {
        discoveryClient.openWatch();
    }

    @Override
    public void scheduleTimer(long atNs, String token) {
        transport.schedule(atNs - clock.nowNs(), () -> policy.onTimer(clock.nowNs(), token));
    }

    @Override
    public void log(String message) {
        log.info("module", message);
    }
}
