package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import mulleinlever.TryOutcome;

/** Fourth stage: puts an upstream try on a connection to its pod, and abandons it. */
final class TryDispatcher {
    private static final int HEAD = 5;

    private final NettyTransport net;
    private final Clock clock;
    private final ReqRegistry book;
    private final PodConnectionPool pods;

    TryDispatcher(NettyTransport net, Clock clock, ReqRegistry book, PodConnectionPool pods) {
        this.net = net;
        this.clock = clock;
        this.book = book;
        this.pods = pods;
    }

    void start(PendingCommand held, String pod, long writeWithinNs, long limitNs) {
        long now = clock.now();
        UpstreamTry t =
                new UpstreamTry(
                        held, held.tries.size(), pod, now, now + writeWithinNs, now + limitNs);
        held.tries.add(t);
        if (held.answered || limitNs <= 0) {
            net.soon(() -> book.ended(t, TryOutcome.MOOT, null));
            return;
        }
        t.limit = net.after(limitNs, () -> end(t, TryOutcome.TIMEOUT));
        PodConnection link = pods.idle(pod);
        long restNs = link == null ? 0 : link.restNs(now);
        if (link == null) {
            connect(t);
        } else if (restNs > 0) {
            pods.rest(t, link, restNs);
        } else {
            write(t, link);
        }
    }

    void connect(UpstreamTry t) {
        if (!pods.open(t, this)) {
            net.soon(() -> book.ended(t, TryOutcome.CONNECT_FAILED, null));
        }
    }

    /** Closing is what tells the pod to stop. */
    void cancel(UpstreamTry t) {
        if (!t.ended()) {
            abandon(t);
            net.soon(() -> book.ended(t, TryOutcome.CANCELLED, null));
        }
    }

    /** What was not written whole has not run, however it ended. */
    void end(UpstreamTry t, TryOutcome ending) {
        abandon(t);
        book.ended(t, t.written ? ending : TryOutcome.CONNECT_FAILED, null);
    }

    private static void abandon(UpstreamTry t) {
        if (t.link != null) {
            PodConnection link = t.link;
            t.link = null;
            link.abandon();
        }
    }

    /**
     * The text goes on as it was read but for the time that is left: a new head, then the parts
     * around it.
     */
    void write(UpstreamTry t, PodConnection link) {
        if (clock.now() > t.writeByNs) {
            t.link = null;
            link.spare();
            net.soon(() -> end(t, TryOutcome.CONNECT_FAILED));
            return;
        }
        t.link = link;
        link.carry(t);
        Channel to = link.channel();
        Statement s = t.held.statement;
        ByteBuf text = s.text;
        long leftMs = Math.max(1, (t.untilNs - clock.now()) / 1_000_000);
        ChannelFuture last;
        if (s.waitsMs < 0) {
            to.write(head(to, text.readableBytes()));
            last = to.write(text.retainedDuplicate());
        } else {
            String left = Long.toString(leftMs);
            int from = text.readerIndex();
            int behind = s.waitsAt + s.waitsLength;
            to.write(head(to, text.readableBytes() - s.waitsLength + left.length()));
            to.write(text.retainedSlice(from, s.waitsAt - from));
            to.write(ByteBufUtil.writeAscii(to.alloc(), left));
            last = to.write(text.retainedSlice(behind, text.writerIndex() - behind));
        }
        last.addListener(f -> t.written |= f.isSuccess());
        to.flush();
    }

    private static ByteBuf head(Channel to, int length) {
        return to.alloc().buffer(HEAD).writeByte('Q').writeInt(length + HEAD - 1);
    }
}
