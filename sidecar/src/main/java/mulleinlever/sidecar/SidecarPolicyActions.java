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

    void asks(Policy decides) {
        this.policy = decides;
    }

    void req(Req req) {
        policy.req(clock.now(), req);
    }

    @Override
    public void relay(String rq, String pod, long writeWithinNs, long limitNs) {
        send.start(book.find(rq), pod, writeWithinNs, limitNs);
    }

    @Override
    public void shed(String rq, long backoffNs) {
        answer(
                rq,
                SidecarMetrics.Event.SHED,
                PostgresMessages.error(
                        PostgresMessages.SHED, "shed: try again", backoffNs / 1_000_000, true));
    }

    @Override
    public void error(String rq) {
        answer(
                rq,
                SidecarMetrics.Event.ERRORED,
                PostgresMessages.error(PostgresMessages.ERRORED, "errored", 0, true));
    }

    private void answer(String rq, SidecarMetrics.Event how, ByteBuf answer) {
        PendingCommand held = book.find(rq);
        if (held == null) {
            answer.release();
        } else {
            book.answer(held, answer, how);
        }
    }

    @Override
    public void cancel(String rq, int tryNo) {
        PendingCommand held = book.find(rq);
        if (held != null && tryNo >= 0 && tryNo < held.tries.size()) {
            send.cancel(held.tries.get(tryNo));
        }
    }

    @Override
    public void vote(int build, int stage, RolloutVote verdict) {
        platform.vote(build, stage, verdict);
    }

    @Override
    public void watchList() {
        discovery.watch();
    }

    @Override
    public void timer(long atNs, String token) {
        net.after(atNs - clock.now(), () -> policy.timer(clock.now(), token));
    }

    @Override
    public void log(String line) {
        log.say("module", line);
    }
}
