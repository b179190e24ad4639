package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import mulleinlever.Host;
import mulleinlever.Policy;
import mulleinlever.Req;
import mulleinlever.Verdict;

/** Third stage: hands each req to the module and does what that asks for. */
final class Route implements Host {
    private final Net net;
    private final Clock clock;
    private final Book book;
    private final Send send;
    private final Discovery discovery;
    private final Platform platform;
    private final Log log;
    private Policy policy;

    Route(
            Net net,
            Clock clock,
            Book book,
            Send send,
            Discovery discovery,
            Platform platform,
            Log log) {
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
                Counts.What.SHED,
                Replies.error(Replies.SHED, "shed: try again", backoffNs / 1_000_000, true));
    }

    @Override
    public void error(String rq) {
        answer(rq, Counts.What.ERRORED, Replies.error(Replies.ERRORED, "errored", 0, true));
    }

    private void answer(String rq, Counts.What how, ByteBuf answer) {
        Held held = book.find(rq);
        if (held == null) {
            answer.release();
        } else {
            book.answer(held, answer, how);
        }
    }

    @Override
    public void cancel(String rq, int tryNo) {
        Held held = book.find(rq);
        if (held != null && tryNo >= 0 && tryNo < held.tries.size()) {
            send.cancel(held.tries.get(tryNo));
        }
    }

    @Override
    public void vote(int build, int stage, Verdict verdict) {
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
