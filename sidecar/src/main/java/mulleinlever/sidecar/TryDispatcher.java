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

    void startTry(PendingCommand held, String pod, long writeWithinNs, long limitNs) {
        long now = clock.nowNs();
        UpstreamTry t =
                new UpstreamTry(
                        held, held.tries.size(), pod, now, now + writeWithinNs, now + limitNs);
        held.tries.add(t);
        if (held.outcomeDecided || limitNs <= 0) {
            net.execute(() -> book.onTryEnded(t, TryOutcome.MOOT, null));
            return;
        }
        t.timeoutTask = net.schedule(limitNs, () -> endTry(t, TryOutcome.TIMEOUT));
        PodConnection link = pods.acquireIdle(pod);
        long restNs = link == null ? 0 : link.remainingCooldownNs(now);
        if (link == null) {
            openConnection(t);
        } else if (restNs > 0) {
            pods.awaitCooldown(t, link, restNs);
        } else {
            writeReq(t, link);
        }
    }

    void openConnection(UpstreamTry t) {
        if (!pods.openConnection(t, this)) {
            net.execute(() -> book.onTryEnded(t, TryOutcome.CONNECT_FAILED, null));
        }
    }

    /** Closing is what tells the pod to stop. */
    void cancelTry(UpstreamTry t) {
        if (!t.hasEnded()) {
            abandon(t);
            net.execute(() -> book.onTryEnded(t, TryOutcome.CANCELLED, null));
        }
    }

    /** What was not written whole has not run, however it ended. */
    void endTry(UpstreamTry t, TryOutcome ending) {
        abandon(t);
        book.onTryEnded(t, t.fullyWritten ? ending : TryOutcome.CONNECT_FAILED, null);
    }

    private static void abandon(UpstreamTry t) {
        if (t.connection != null) {
            PodConnection link = t.connection;
            t.connection = null;
            link.abandonTry();
        }
    }

    /**
     * The text goes on as it was read but for the time that is left: a new head, then the parts
     * around it.
     */
    void writeReq(UpstreamTry t, PodConnection link) {
        if (clock.nowNs() > t.writeDeadlineNs) {
            t.connection = null;
            link.releaseUnused();
            net.execute(() -> endTry(t, TryOutcome.CONNECT_FAILED));
            return;
        }
        t.connection = link;
        link.setActiveTry(t);
        Channel to = link.channel();
        Statement s = t.command.statement;
        ByteBuf text = s.text;
        long leftMs = Math.max(1, (t.deadlineNs - clock.nowNs()) / 1_000_000);
        ChannelFuture last;
        if (s.clientTimeoutMs < 0) {
            to.write(head(to, text.readableBytes()));
            last = to.write(text.retainedDuplicate());
        } else {
            String left = Long.toString(leftMs);
            int from = text.readerIndex();
            int behind = s.clientTimeoutIndex + s.clientTimeoutLength;
            to.write(head(to, text.readableBytes() - s.clientTimeoutLength + left.length()));
            to.write(text.retainedSlice(from, s.clientTimeoutIndex - from));
            to.write(ByteBufUtil.writeAscii(to.alloc(), left));
            last = to.write(text.retainedSlice(behind, text.writerIndex() - behind));
        }
        last.addListener(f -> t.fullyWritten |= f.isSuccess());
        to.flush();
    }

    private static ByteBuf head(Channel to, int length) {
        return to.alloc().buffer(HEAD).writeByte('Q').writeInt(length + HEAD - 1);
    }
}
