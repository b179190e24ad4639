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
    private static final long REST_NS = 3_000_000L;

    final String podId;
    final InetSocketAddress address;

    /** When it began to open. */
    final long connectStartNs;

    private final PodConnectionPool pods;
    private final PodResponseHandler relay;
    private final TryDispatcher send;
    private final Clock clock;
    private final RateLimitedLog log;
    private Channel channel;
    private PostgresMessageDecoder frames;
    private Future<?> openLimit;

    /** The try that waits for this connection to open or to have rested, or is carried by it. */
    private UpstreamTry at;

    private boolean up;
    private boolean carries;

    /** Whether the pod has said so since the last try. */
    private boolean ready;

    private boolean closed;
    final PodResponseHandler.PartialResponse response = new PodResponseHandler.PartialResponse();
    long idleSinceNs;

    PodConnection(
            String pod,
            InetSocketAddress address,
            PodConnectionPool pods,
            PodResponseHandler relay,
            TryDispatcher send,
            Clock clock,
            RateLimitedLog log) {
        this.podId = pod;
        this.address = address;
        this.pods = pods;
        this.relay = relay;
        this.send = send;
        this.clock = clock;
        this.log = log;
        this.connectStartNs = clock.nowNs();
    }

    Channel channel() {
        return channel;
    }

    void setWaitingTry(UpstreamTry t) {
        at = t;
    }

    void setActiveTry(UpstreamTry t) {
        at = t;
        carries = true;
        ready = false;
        response.clear();
    }

    /** How long it is not to be written to yet. */
    long remainingCooldownNs(long now) {
        return idleSinceNs + REST_NS - now;
    }

    /** After its rest the try is written, unless the connection is given up before. */
    void cooldownEnded(UpstreamTry t) {
        if (at == t && !carries && !closed) {
            pods.removePending(this);
            send.writeReq(t, this);
        }
    }

    /** Null where no socket could be had, of which {@link #connectFailed} tells. */
    void setConnecting(Channel connecting, Future<?> limit) {
        channel = connecting;
        openLimit = limit;
    }

    void connectFailed(Throwable cause) {
        if (cause instanceof ConnectTimeoutException) {
            connectTimedOut();
        } else if (!closed) {
            pods.recordRefused();
            lost();
        }
    }

    /** It had its time. */
    void connectTimedOut() {
        if (!up && !closed) {
            pods.recordConnectTimeout();
        }
        closeUnlessCarrying();
    }

    /** Its pod is not to be sent to any more: a try that waits here goes elsewhere. */
    void closeUnlessCarrying() {
        if (!carries) {
            lost();
        }
    }

    /** What it was for is not sent: it waits for another. */
    void releaseUnused() {
        at = null;
        idleSinceNs = clock.nowNs();
        pods.release(this);
    }

    boolean isReusable() {
        return ready && !closed && channel.isActive() && at == null;
    }

    /** Its try is no longer waited for: the connection must not carry another behind it. */
    void abandonTry() {
        at = null;
        close();
    }

    void close() {
        if (!closed) {
            closed = true;
            if (openLimit != null) {
                openLimit.cancel(false);
            }
            response.clear();
            pods.connectionClosed(this);
            if (channel != null) {
                channel.close();
            }
        }
    }

    /** It broke, ended, or never came up. */
    private void lost() {
        UpstreamTry t = at;
        at = null;
        close();
        if (t != null) {
            t.connection = null;
            send.endTry(t, TryOutcome.RESET);
        }
    }

    /**
     * Something came that nobody asked for: a try that waits for the rest to end goes over another.
     */
    private void stray() {
        UpstreamTry t = at;
        at = null;
        close();
        if (t != null) {
            t.connection = null;
            send.openConnection(t);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        frames = new PostgresMessageDecoder(ctx.alloc());
        ctx.writeAndFlush(PostgresMessages.startupMessage());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (closed) {
            ((ByteBuf) msg).release();
            return;
        }
        frames.addBytes((ByteBuf) msg);
        try {
            while (!closed && frames.nextMessage(true)) {
                if (!up) {
                    opened();
                } else if (frames.messageType == 'Z' && !ready) {
                    free();
                } else if (carries) {
                    relay.handleMessage(this, at, frames);
                } else if (frames.messageType != 'S' && frames.messageType != 'N') {
                    // Nothing was asked: a copy, noise, or the pod says that it is about to end the
                    // connection.
                    stray();
                }
            }
            if (ready && frames.hasUnreadBytes()) {
                stray();
            }
        } catch (InvalidInputException e) {
            if (ready) {
                stray();
            } else {
                lost();
            }
        }
    }

    /** A pod that turns the connection away never saw the req. */
    private void opened() {
        if (frames.messageType == 'E') {
            pods.recordRefused();
            lost();
        } else if (frames.messageType == 'Z') {
            up = true;
            ready = true;
            pods.connectionReady(this);
            openLimit.cancel(false);
            if (at != null) {
                send.writeReq(at, this);
            }
        }
    }

    /** The try's end was told; until the pod is ready nothing else may go over this connection. */
    void detachTry() {
        at.connection = null;
        at = null;
        carries = false;
    }

    private void free() {
        if (carries) {
            throw new InvalidInputException("ready without an answer");
        }
        ready = true;
        idleSinceNs = clock.nowNs();
        pods.release(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (ready) {
            stray();
        } else {
            lost();
        }
        if (frames != null) {
            frames.release();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.internalError("pod " + podId, cause);
        }
        lost();
    }
}
