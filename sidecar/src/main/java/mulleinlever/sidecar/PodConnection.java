package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import mulleinlever.TryOutcome;
import mulleinlever.settings.InvalidInputException;

/** One connection to a pod: opening, then idle, resting or carrying one try. */
final class PodConnection extends ChannelInboundHandlerAdapter {
    /**
     * A pod in trouble sends an answer twice, the copy up to a millisecond behind: read after the
     * next req was written, it would be taken for that one's answer.
     */
    private static final long REUSE_COOLDOWN_NS = 3_000_000L;

    final String podId;
    final InetSocketAddress address;

    /** When it began to open. */
    final long connectStartNs;

    private final PodConnectionPool connectionPool;
    private final PodResponseHandler responseHandler;
    private final TryDispatcher dispatcher;
    private final Clock clock;
    private final RateLimitedLog log;
    private Channel channel;
    private PostgresMessageDecoder decoder;
    private Future<?> connectTimeoutTask;

    /** The try that waits for this connection to open or to have rested, or is carried by it. */
    private UpstreamTry currentTry;

    private boolean handshakeComplete;
    private boolean tryActive;

    /** Whether the pod has said so since the last try. */
    private boolean podReady;

    private boolean closed;
    final PodResponseHandler.PartialResponse response = new PodResponseHandler.PartialResponse();
    long idleSinceNs;

    PodConnection(
            String podId,
            InetSocketAddress address,
            PodConnectionPool connectionPool,
            PodResponseHandler responseHandler,
            TryDispatcher dispatcher,
            Clock clock,
            RateLimitedLog log) {
        this.podId = podId;
        this.address = address;
        this.connectionPool = connectionPool;
        this.responseHandler = responseHandler;
        this.dispatcher = dispatcher;
        this.clock = clock;
        this.log = log;
        this.connectStartNs = clock.nowNs();
    }

    Channel channel() {
        return channel;
    }

    void setWaitingTry(UpstreamTry upstreamTry) {
        currentTry = upstreamTry;
    }

    void setActiveTry(UpstreamTry upstreamTry) {
        currentTry = upstreamTry;
        tryActive = true;
        podReady = false;
        response.clear();
    }

    /** How long it is not to be written to yet. */
    long remainingCooldownNs(long nowNs) {
        return idleSinceNs + REUSE_COOLDOWN_NS - nowNs;
    }

    /** After its rest the try is written, unless the connection is given up before. */
    void cooldownEnded(UpstreamTry upstreamTry) {
        if (currentTry == upstreamTry && !tryActive && !closed) {
            connectionPool.removePending(this);
            dispatcher.writeReq(upstreamTry, this);
        }
    }

    /** Null where no socket could be had, of which {@link #connectFailed} tells. */
    void setConnecting(Channel connectingChannel, Future<?> timeoutTask) {
        channel = connectingChannel;
        connectTimeoutTask = timeoutTask;
    }

    void connectFailed(Throwable cause) {
        if (cause instanceof ConnectTimeoutException) {
            connectTimedOut();
        } else if (!closed) {
            connectionPool.recordRefused();
            closeAndResetTry();
        }
    }

    /** It had its time. */
    void connectTimedOut() {
        if (!handshakeComplete && !closed) {
            connectionPool.recordConnectTimeout();
        }
        closeUnlessCarrying();
    }

    /** Its pod is not to be sent to any more: a try that waits here goes elsewhere. */
    void closeUnlessCarrying() {
        if (!tryActive) {
            closeAndResetTry();
        }
    }

    /** What it was for is not sent: it waits for another. */
    void releaseUnused() {
        currentTry = null;
        idleSinceNs = clock.nowNs();
        connectionPool.release(this);
    }

    boolean isReusable() {
        return podReady && !closed && channel.isActive() && currentTry == null;
    }

    /** Its try is no longer waited for: the connection must not carry another behind it. */
    void abandonTry() {
        currentTry = null;
        close();
    }

    void close() {
        if (!closed) {
            closed = true;
            if (connectTimeoutTask != null) {
                connectTimeoutTask.cancel(false);
            }
            response.clear();
            connectionPool.connectionClosed(this);
            if (channel != null) {
                channel.close();
            }
        }
    }

    /** It broke, ended, or never came up. */
    private void closeAndResetTry() {
        UpstreamTry upstreamTry = currentTry;
        currentTry = null;
        close();
        if (upstreamTry != null) {
            upstreamTry.connection = null;
            dispatcher.endTry(upstreamTry, TryOutcome.RESET);
        }
    }

    /**
     * Something came that nobody asked for: a try that waits for the rest to end goes over another.
     */
    private void closeAndMoveTry() {
        UpstreamTry upstreamTry = currentTry;
        currentTry = null;
        close();
        if (upstreamTry != null) {
            upstreamTry.connection = null;
            dispatcher.openConnection(upstreamTry);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        decoder = new PostgresMessageDecoder(ctx.alloc());
        ctx.writeAndFlush(PostgresMessages.startupMessage());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (closed) {
            ((ByteBuf) msg).release();
            return;
        }
        decoder.addBytes((ByteBuf) msg);
        try {
            while (!closed && decoder.nextMessage(true)) {
                if (!handshakeComplete) {
                    handleStartupMessage();
                } else if (decoder.messageType == 'Z' && !podReady) {
                    handleReadyForQuery();
                } else if (tryActive) {
                    responseHandler.handleMessage(this, currentTry, decoder);
                } else if (decoder.messageType != 'S' && decoder.messageType != 'N') {
                    // Nothing was asked: a copy, noise, or the pod says that it is about to end the
                    // connection.
                    closeAndMoveTry();
                }
            }
            if (podReady && decoder.hasUnreadBytes()) {
                closeAndMoveTry();
            }
        } catch (InvalidInputException e) {
            if (podReady) {
                closeAndMoveTry();
            } else {
                closeAndResetTry();
            }
        }
    }

    /** A pod that turns the connection away never saw the req. */
    private void handleStartupMessage() {
        if (decoder.messageType == 'E') {
            connectionPool.recordRefused();
            closeAndResetTry();
        } else if (decoder.messageType == 'Z') {
            handshakeComplete = true;
            podReady = true;
            connectionPool.connectionReady(this);
            connectTimeoutTask.cancel(false);
            if (currentTry != null) {
                dispatcher.writeReq(currentTry, this);
            }
        }
    }

    /** The try's end was told; until the pod is ready nothing else may go over this connection. */
    void detachTry() {
        currentTry.connection = null;
        currentTry = null;
        tryActive = false;
    }

    private void handleReadyForQuery() {
        if (tryActive) {
            throw new InvalidInputException("ready without an answer");
        }
        podReady = true;
        idleSinceNs = clock.nowNs();
        connectionPool.release(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (podReady) {
            closeAndMoveTry();
        } else {
            closeAndResetTry();
        }
        if (decoder != null) {
            decoder.release();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.internalError("pod " + podId, cause);
        }
        closeAndResetTry();
    }
}
