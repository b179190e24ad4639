package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import mulleinlever.TryOutcome;

/** Fourth stage: puts an upstream try on a connection to its pod, and abandons it. */
final class TryDispatcher {
    private static final int HEADER_BYTES = 5;

    private final NettyTransport transport;
    private final Clock clock;
    private final ReqRegistry reqRegistry;
    private final PodConnectionPool connectionPool;

    TryDispatcher(
            NettyTransport transport,
            Clock clock,
            ReqRegistry reqRegistry,
            PodConnectionPool connectionPool) {
        this.transport = transport;
        this.clock = clock;
        this.reqRegistry = reqRegistry;
        this.connectionPool = connectionPool;
    }

    void startTry(PendingCommand command, String podId, long writeWithinNs, long timeoutNs) {
        long nowNs = clock.nowNs();
        UpstreamTry upstreamTry =
                new UpstreamTry(
                        command,
                        command.tries.size(),
                        podId,
                        nowNs,
                        nowNs + writeWithinNs,
                        nowNs + timeoutNs);
        command.tries.add(upstreamTry);
        if (command.outcomeDecided || timeoutNs <= 0) {
            transport.execute(() -> reqRegistry.onTryEnded(upstreamTry, TryOutcome.MOOT, null));
            return;
        }
        upstreamTry.timeoutTask =
                transport.schedule(timeoutNs, () -> endTry(upstreamTry, TryOutcome.TIMEOUT));
        PodConnection connection = connectionPool.acquireIdle(podId);
        long cooldownNs = connection == null ? 0 : connection.remainingCooldownNs(nowNs);
        if (connection == null) {
            openConnection(upstreamTry);
        } else if (cooldownNs > 0) {
            connectionPool.awaitCooldown(upstreamTry, connection, cooldownNs);
        } else {
            writeReq(upstreamTry, connection);
        }
    }

    void openConnection(UpstreamTry upstreamTry) {
        if (!connectionPool.openConnection(upstreamTry, this)) {
            transport.execute(
                    () -> reqRegistry.onTryEnded(upstreamTry, TryOutcome.CONNECT_FAILED, null));
        }
    }

    /** Closing is what tells the pod to stop. */
    void cancelTry(UpstreamTry upstreamTry) {
        if (!upstreamTry.hasEnded()) {
            abandon(upstreamTry);
            transport.execute(
                    () -> reqRegistry.onTryEnded(upstreamTry, TryOutcome.CANCELLED, null));
        }
    }

    /** What was not written whole has not run, however it ended. */
    void endTry(UpstreamTry upstreamTry, TryOutcome outcome) {
        abandon(upstreamTry);
        reqRegistry.onTryEnded(
                upstreamTry, upstreamTry.fullyWritten ? outcome : TryOutcome.CONNECT_FAILED, null);
    }

    private static void abandon(UpstreamTry upstreamTry) {
        if (upstreamTry.connection != null) {
            PodConnection connection = upstreamTry.connection;
            upstreamTry.connection = null;
            connection.abandonTry();
        }
    }

    /**
     * The text goes on as it was read but for the time that is left: a new head, then the parts
     * around it.
     */
    void writeReq(UpstreamTry upstreamTry, PodConnection connection) {
        if (clock.nowNs() > upstreamTry.writeDeadlineNs) {
            upstreamTry.connection = null;
            connection.releaseUnused();
            transport.execute(() -> endTry(upstreamTry, TryOutcome.CONNECT_FAILED));
            return;
        }
        upstreamTry.connection = connection;
        connection.setActiveTry(upstreamTry);
        Channel channel = connection.channel();
        Statement statement = upstreamTry.command.statement;
        ByteBuf text = statement.text;
        long remainingMs = Math.max(1, (upstreamTry.deadlineNs - clock.nowNs()) / 1_000_000);
        ChannelFuture lastWrite;
        if (statement.clientTimeoutMs < 0) {
            channel.write(queryHeader(channel, text.readableBytes()));
            lastWrite = channel.write(text.retainedDuplicate());
        } else {
            String remainingText = Long.toString(remainingMs);
            int textStart = text.readerIndex();
            int timeoutEndIndex = statement.clientTimeoutIndex + statement.clientTimeoutLength;
            channel.write(
                    queryHeader(
                            channel,
                            text.readableBytes()
                                    - statement.clientTimeoutLength
                                    + remainingText.length()));
            channel.write(text.retainedSlice(textStart, statement.clientTimeoutIndex - textStart));
            channel.write(ByteBufUtil.writeAscii(channel.alloc(), remainingText));
            lastWrite =
                    channel.write(
                            text.retainedSlice(
                                    timeoutEndIndex, text.writerIndex() - timeoutEndIndex));
        }
        lastWrite.addListener(f -> upstreamTry.fullyWritten |= f.isSuccess());
        channel.flush();
    }

    private static ByteBuf queryHeader(Channel channel, int textBytes) {
        return channel.alloc()
                .buffer(HEADER_BYTES)
                .writeByte('Q')
                .writeInt(textBytes + HEADER_BYTES - 1);
    }
}
