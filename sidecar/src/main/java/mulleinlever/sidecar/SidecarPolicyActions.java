package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import mulleinlever.Policy;
import mulleinlever.PolicyActions;
import mulleinlever.Req;
import mulleinlever.RolloutVote;

/** Third stage: hands each req to the module and does what that asks for. */
final class SidecarPolicyActions implements PolicyActions {
    private final NettyTransport net;
    private final Clock clock;
    private final ReqRegistry book;
    private final TryDispatcher send;
    private final DiscoveryClient discovery;
    private final ReleasePlatformClient platform;
    private final RateLimitedLog log;
    private Policy policy;

    SidecarPolicyActions(
            NettyTransport net,
            Clock clock,
            ReqRegistry book,
            TryDispatcher send,
            DiscoveryClient discovery,
            ReleasePlatformClient platform,
            RateLimitedLog log) {
        this.net = net;
        this.clock = clock;
        this.book = book;
        this.send = send;
        this.discovery = discovery;
        this.platform = platform;
        this.log = log;
    }

    void setPolicy(Policy decides) {
        this.policy = decides;
    }

    void submitReq(Req req) {
        policy.onReq(clock.nowNs(), req);
    }

    @Override
    public void startTry(String rq, String pod, long writeWithinNs, long limitNs) {
        send.startTry(book.find(rq), pod, writeWithinNs, limitNs);
    }

    @Override
    public void shedReq(String rq, long backoffNs) {
        answer(
                rq,
                SidecarMetrics.Event.SHED,
                PostgresMessages.errorResponse(
                        PostgresMessages.TOO_MANY_CONNECTIONS,
                        "shed: try again",
                        backoffNs / 1_000_000,
                        true));
    }

    @Override
    public void failReq(String rq) {
        answer(
                rq,
                SidecarMetrics.Event.ERRORED,
                PostgresMessages.errorResponse(
                        PostgresMessages.INTERNAL_ERROR, "errored", 0, true));
    }

    private void answer(String rq, SidecarMetrics.Event how, ByteBuf answer) {
        PendingCommand held = book.find(rq);
        if (held == null) {
            answer.release();
        } else {
            book.respond(held, answer, how);
        }
    }

    @Override
    public void cancelTry(String rq, int tryNo) {
        PendingCommand held = book.find(rq);
        if (held != null && tryNo >= 0 && tryNo < held.tries.size()) {
            send.cancelTry(held.tries.get(tryNo));
        }
    }

    @Override
    public void castVote(int build, int stage, RolloutVote verdict) {
        platform.sendVote(build, stage, verdict);
    }

    @Override
    public void watchPodList() {
        discovery.openWatch();
    }

    @Override
    public void scheduleTimer(long atNs, String token) {
        net.schedule(atNs - clock.nowNs(), () -> policy.onTimer(clock.nowNs(), token));
    }

    @Override
    public void log(String line) {
        log.info("module", line);
    }
}
