package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import mulleinlever.ClientPresencePolicy.Decision;
import mulleinlever.TryOutcome;

/**
 * Assigns each upstream try to a connection to its pod, writes its req there, and ends tries that
 * time out or are cancelled. The response goes to the {@link PodResponseHandler}; the outcome of a
 * try that ends without one goes to the {@link ReqRegistry}. Called by the event loop only.
 */
final class TryDispatcher {
    /**
     * The type and the length of a PostgreSQL message; the length counts itself but not the type.
     */
    private static final int HEADER_BYTES = 5;

    private final NettyTransport transport;
    private final Clock clock;
    private final SidecarMetrics metrics;
    private final ReqRegistry reqRegistry;
    private final PodConnectionPool connectionPool;

    TryDispatcher(
            NettyTransport transport,
            Clock clock,
            SidecarMetrics metrics,
            ReqRegistry reqRegistry,
            PodConnectionPool connectionPool) {
        this.transport = transport;
        this.clock = clock;
        this.metrics = metrics;
        this.reqRegistry = reqRegistry;
        this.connectionPool = connectionPool;
    }

    /**
     * Starts the next upstream try of a req. A req that already has its outcome, no time left, or a
     * client that may have left gets a try that ends as {@link TryOutcome#MOOT}.
     *
     * @param writeWithinNs the time within which the req is written, else the try fails to connect
     * @param timeoutNs the time after which the try ends at the latest
     */
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
        if (command.outcomeDecided
                || timeoutNs <= 0
                || command.client.presence().decide() == Decision.REFUSE) {
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

    /** Opens a new connection for a try; where none can be opened, the try fails to connect. */
    void openConnection(UpstreamTry upstreamTry) {
        if (!connectionPool.openConnection(upstreamTry, this)) {
            transport.execute(
                    () -> reqRegistry.onTryEnded(upstreamTry, TryOutcome.CONNECT_FAILED, null));
        }
    }

    /**
     * Cancels a try, unless it has ended. Its connection is closed, which signals the pod to stop.
     */
    void cancelTry(UpstreamTry upstreamTry) {
        if (!upstreamTry.hasEnded()) {
            abandon(upstreamTry);
            transport.execute(
                    () -> reqRegistry.onTryEnded(upstreamTry, TryOutcome.CANCELLED, null));
        }
    }

    /**
     * Ends a try and closes its connection. A req that was not written completely has not run, so
     * its try ends as {@link TryOutcome#CONNECT_FAILED} whatever the given outcome.
     */
    void endTry(UpstreamTry upstreamTry, TryOutcome outcome) {
        abandon(upstreamTry);
        reqRegistry.onTryEnded(
                upstreamTry, upstreamTry.fullyWritten ? outcome : TryOutcome.CONNECT_FAILED, null);
    }

    /** Detaches a try from its connection, if it has one, and closes the connection. */
    private static void abandon(UpstreamTry upstreamTry) {
        if (upstreamTry.connection != null) {
            PodConnection connection = upstreamTry.connection;
            upstreamTry.connection = null;
            connection.abandonTry();
        }
    }

    /**
     * Writes the req of a try to a connection once its client is known to be connected, or ends the
     * try as {@link TryOutcome#CONNECT_FAILED} once its write deadline has passed, or as {@link
     * TryOutcome#MOOT} if its client may have left. The client's text is forwarded as received,
     * except that the value of the client's timeout, where there is one, becomes the time in
     * milliseconds that remains until the try's deadline; the parts before and after that value are
     * not copied.
     */
    void writeReq(UpstreamTry upstreamTry, PodConnection connection) {
        ClientPresence client = upstreamTry.command.client.presence();
        Decision decision = client.decide();
        boolean moot = decision == Decision.REFUSE;
        if (moot || clock.nowNs() > upstreamTry.writeDeadlineNs) {
            TryOutcome outcome = moot ? TryOutcome.MOOT : TryOutcome.CONNECT_FAILED;
            upstreamTry.connection = null;
            connection.releaseUnused();
            transport.execute(() -> reqRegistry.onTryEnded(upstreamTry, outcome, null));
            return;
        }
        if (decision == Decision.WAIT) {
            connectionPool.awaitClient(upstreamTry, connection, client);
            return;
        }
        metrics.recordWrite(client.unconfirmedNs());
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

    /**
     * Returns the header of a Query message whose text, including the terminating zero, has the
     * given length.
     */
    private static ByteBuf queryHeader(Channel channel, int textBytes) {
        return channel.alloc()
                .buffer(HEADER_BYTES)
                .writeByte('Q')
                .writeInt(textBytes + HEADER_BYTES - 1);
    }
}
