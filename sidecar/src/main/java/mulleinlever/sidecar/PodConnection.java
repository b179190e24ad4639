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

/**
 * One connection to a pod. It opens and completes the PostgreSQL handshake, then carries one try at
 * a time and is idle in between, where each response is followed by a cooldown. Called by the event
 * loop only.
 */
final class PodConnection extends ChannelInboundHandlerAdapter {
    /**
     * The time after a response during which no req is written. A failing pod may send a response
     * twice, the copy up to 1 ms after the first: read after the next req was written, the copy
     * would be taken for the response to that req.
     */
    private static final long REUSE_COOLDOWN_NS = 3_000_000L;

    /** The maximum size of a message for which no memory is reserved. */
    private static final int MAX_UNRESERVED_BYTES = 1024;

    final String podId;
    final InetSocketAddress address;

    /** The time at which the connection began to open. */
    final long connectStartNs;

    private final PodConnectionPool connectionPool;
    private final PodResponseHandler responseHandler;
    private final TryDispatcher tryDispatcher;
    private final Clock clock;
    private final RateLimitedLog log;
    private Channel channel;
    private PostgresMessageDecoder decoder;

    /** The task that ends an attempt to connect; null until {@link #setConnecting}. */
    private Future<?> connectTimeoutTask;

    /**
     * The try that this connection carries, or that waits for it to open or for the end of its
     * cooldown; null without one.
     */
    private UpstreamTry currentTry;

    private boolean handshakeComplete;

    /** Whether the req of the current try is being or was written. */
    private boolean tryActive;

    /** Whether the pod has sent ReadyForQuery since the last req was written. */
    private boolean podReady;

    private boolean closed;

    /** The part of the response to the current try that was received so far. */
    final PodResponseHandler.PartialResponse response;

    /** The memory of the message that is being received. */
    private final MessageReservation reservation;

    /** The time at which the connection last became idle; the cooldown counts from here. */
    long idleSinceNs;

    PodConnection(
            String podId,
            InetSocketAddress address,
            PodConnectionPool connectionPool,
            PodResponseHandler responseHandler,
            TryDispatcher tryDispatcher,
            MessageMemoryLimiter responseMemory,
            Clock clock,
            RateLimitedLog log) {
        this.podId = podId;
        this.address = address;
        this.connectionPool = connectionPool;
        this.responseHandler = responseHandler;
        this.tryDispatcher = tryDispatcher;
        this.clock = clock;
        this.log = log;
        this.connectStartNs = clock.nowNs();
        this.response = new PodResponseHandler.PartialResponse(responseMemory);
        this.reservation = new MessageReservation(responseMemory, this::scheduleDecode);
    }

    /** Returns the channel; null if no socket could be created. */
    Channel channel() {
        return channel;
    }

    /** Sets the try that waits for this connection to become usable. */
    void setWaitingTry(UpstreamTry upstreamTry) {
        currentTry = upstreamTry;
    }

    /** Sets the try whose req is about to be written. */
    void setActiveTry(UpstreamTry upstreamTry) {
        currentTry = upstreamTry;
        tryActive = true;
        podReady = false;
        response.clear();
    }

    /**
     * Returns the time until a req may be written again, in nanoseconds; 0 or less if it may be
     * written now.
     */
    long remainingCooldownNs(long nowNs) {
        return idleSinceNs + REUSE_COOLDOWN_NS - nowNs;
    }

    /**
     * Writes the try that waited, such as for the end of the cooldown, unless the connection was
     * closed or the try ended before.
     */
    void writeAfterDelay(UpstreamTry upstreamTry) {
        if (currentTry == upstreamTry && !tryActive && !closed) {
            connectionPool.removePending(this);
            tryDispatcher.writeReq(upstreamTry, this);
        }
    }

    /**
     * Sets the channel and the task that ends the attempt to connect. The channel is null if no
     * socket could be created; {@link #connectFailed} is called in that case.
     */
    void setConnecting(Channel connectingChannel, Future<?> timeoutTask) {
        channel = connectingChannel;
        connectTimeoutTask = timeoutTask;
    }

    /** Ends a connection that the network could not establish. */
    void connectFailed(Throwable cause) {
        if (cause instanceof ConnectTimeoutException) {
            connectTimedOut();
        } else if (!closed) {
            connectionPool.recordRefused();
            closeAndResetTry();
        }
    }

    /** Ends a connection that was not ready within its timeout. */
    void connectTimedOut() {
        if (!handshakeComplete && !closed) {
            connectionPool.recordConnectTimeout();
        }
        closeUnlessActive();
    }

    /**
     * Closes the connection unless the req of its try is being or was written. A try that still
     * waits for the connection fails to connect, and the policy may start another one to another
     * pod. Called when the connection takes too long to open and when the pod must not receive new
     * reqs.
     */
    void closeUnlessActive() {
        if (!tryActive) {
            closeAndResetTry();
        }
    }

    /** Returns the connection to the pool without having written the req that it was taken for. */
    void releaseUnused() {
        currentTry = null;
        idleSinceNs = clock.nowNs();
        connectionPool.release(this);
    }

    /** Returns whether the connection is idle and open. */
    boolean isReusable() {
        return podReady && !closed && channel.isActive() && currentTry == null;
    }

    /**
     * Closes the connection because its try is no longer waited for: the response may still come
     * and would be taken for that of a later try.
     */
    void abandonTry() {
        currentTry = null;
        close();
    }

    /** Closes the connection, without ending its try. */
    void close() {
        if (!closed) {
            closed = true;
            if (connectTimeoutTask != null) {
                connectTimeoutTask.cancel(false);
            }
            response.clear();
            reservation.release();
            connectionPool.connectionClosed(this);
            if (channel != null) {
                channel.close();
            }
        }
    }

    /**
     * Closes the connection after a failure; its try ends as {@link TryOutcome#RESET}, or as {@link
     * TryOutcome#CONNECT_FAILED} if the req was not written completely.
     */
    private void closeAndResetTry() {
        UpstreamTry upstreamTry = currentTry;
        currentTry = null;
        close();
        if (upstreamTry != null) {
            upstreamTry.connection = null;
            tryDispatcher.endTry(upstreamTry, TryOutcome.RESET);
        }
    }

    /**
     * Closes an idle connection that failed or received unexpected data. A try that waits for the
     * end of its cooldown moves to a new connection.
     */
    private void closeAndMoveTry() {
        UpstreamTry upstreamTry = currentTry;
        currentTry = null;
        close();
        if (upstreamTry != null) {
            upstreamTry.connection = null;
            tryDispatcher.openConnection(upstreamTry);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        decoder = new PostgresMessageDecoder(ctx.alloc());
        channel.config()
                .setRecvByteBufAllocator(new MessageReceiveBufferAllocator(decoder::nextReadBytes));
        ctx.writeAndFlush(PostgresMessages.startupMessage());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (closed) {
            ((ByteBuf) msg).release();
            return;
        }
        decoder.addBytes((ByteBuf) msg);
        decode();
    }

    /** Decodes and handles messages; reading pauses while one waits for memory. */
    private void decode() {
        try {
            while (!closed && nextMessage()) {
                if (!handshakeComplete) {
                    handleStartupMessage();
                } else if (decoder.messageType == 'Z' && !podReady) {
                    handleReadyForQuery();
                } else if (tryActive) {
                    responseHandler.handleMessage(this, currentTry, decoder);
                } else if (decoder.messageType != 'S' && decoder.messageType != 'N') {
                    // No response is due: this is a duplicate, invalid data, or an announcement
                    // by the pod that it is about to close the connection.
                    closeAndMoveTry();
                }
                reservation.release();
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
        decoder.releaseConsumedBytes();
        if (!closed) {
            channel.config().setAutoRead(!reservation.isWaiting());
        }
    }

    /**
     * Advances to the next message. Returns false if it hasn't been received completely, or waits
     * for memory; its try ends at its deadline nevertheless.
     */
    private boolean nextMessage() {
        return decoder.readHeader(true)
                && (decoder.messageBytes() <= MAX_UNRESERVED_BYTES
                        || reservation.reserve(NettyTransport.pooledBytes(decoder.messageBytes())))
                && decoder.readMessage();
    }

    /** Resumes decoding in a later turn of the event loop. */
    private void scheduleDecode() {
        channel.eventLoop()
                .execute(
                        () -> {
                            if (!closed) {
                                decode();
                            }
                        });
    }

    /** Returns the memory reserved for the current message, which passes to the caller. */
    int takeReservation() {
        return reservation.take();
    }

    /**
     * Handles a message of the handshake. A pod that refuses the connection has not received the
     * req.
     */
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
                tryDispatcher.writeReq(currentTry, this);
            }
        }
    }

    /**
     * Detaches the current try, whose outcome is about to be reported. Until the pod sends
     * ReadyForQuery the connection is not used for another.
     */
    void detachTry() {
        currentTry.connection = null;
        currentTry = null;
        tryActive = false;
    }

    /**
     * Returns the connection to the pool.
     *
     * @throws InvalidInputException if the response to the current try is not complete
     */
    private void handleReadyForQuery() {
        if (tryActive) {
            throw new InvalidInputException("ReadyForQuery before the end of the response");
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
