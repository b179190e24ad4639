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

    final String pod;
    final InetSocketAddress address;

    /** When it began to open. */
    final long beganNs;

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
    final PodResponseHandler.PartialResponse answer = new PodResponseHandler.PartialResponse();
    long idleSinceNs;

    PodConnection(
            String pod,
            InetSocketAddress address,
            PodConnectionPool pods,
            PodResponseHandler relay,
            TryDispatcher send,
            Clock clock,
            RateLimitedLog log) {
        this.pod = pod;
        this.address = address;
        this.pods = pods;
        this.relay = relay;
        this.send = send;
        this.clock = clock;
        this.log = log;
        this.beganNs = clock.now();
    }

    Channel channel() {
        return channel;
    }

    void awaits(UpstreamTry t) {
        at = t;
    }

    void carry(UpstreamTry t) {
        at = t;
        carries = true;
        ready = false;
        answer.clear();
    }

    /** How long it is not to be written to yet. */
    long restNs(long now) {
        return idleSinceNs + REST_NS - now;
    }

    /** After its rest the try is written, unless the connection is given up before. */
    void rested(UpstreamTry t) {
        if (at == t && !carries && !closed) {
            pods.opened(this);
            send.write(t, this);
        }
    }

    /** Null where no socket could be had, of which {@link #failed} tells. */
    void opening(Channel connecting, Future<?> limit) {
        channel = connecting;
        openLimit = limit;
    }

    void failed(Throwable cause) {
        if (cause instanceof ConnectTimeoutException) {
            notUp();
        } else if (!closed) {
            pods.refused();
            lost();
        }
    }

    /** It had its time. */
    void notUp() {
        if (!up && !closed) {
            pods.tooLate();
        }
        leave();
    }

    /** Its pod is not to be sent to any more: a try that waits here goes elsewhere. */
    void leave() {
        if (!carries) {
            lost();
        }
    }

    /** What it was for is not sent: it waits for another. */
    void spare() {
        at = null;
        idleSinceNs = clock.now();
        pods.free(this);
    }

    boolean usable() {
        return ready && !closed && channel.isActive() && at == null;
    }

    /** Its try is no longer waited for: the connection must not carry another behind it. */
    void abandon() {
        at = null;
        close();
    }

    void close() {
        if (!closed) {
            closed = true;
            if (openLimit != null) {
                openLimit.cancel(false);
            }
            answer.clear();
            pods.closed(this);
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
            t.link = null;
            send.end(t, TryOutcome.RESET);
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
            t.link = null;
            send.connect(t);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        frames = new PostgresMessageDecoder(ctx.alloc());
        ctx.writeAndFlush(PostgresMessages.opening());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (closed) {
            ((ByteBuf) msg).release();
            return;
        }
        frames.add((ByteBuf) msg);
        try {
            while (!closed && frames.next(true)) {
                if (!up) {
                    opened();
                } else if (frames.type == 'Z' && !ready) {
                    free();
                } else if (carries) {
                    relay.message(this, at, frames);
                } else if (frames.type != 'S' && frames.type != 'N') {
                    // Nothing was asked: a copy, noise, or the pod says that it is about to end the
                    // connection.
                    stray();
                }
            }
            if (ready && frames.partial()) {
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
        if (frames.type == 'E') {
            pods.refused();
            lost();
        } else if (frames.type == 'Z') {
            up = true;
            ready = true;
            pods.cameUp(this);
            openLimit.cancel(false);
            if (at != null) {
                send.write(at, this);
            }
        }
    }

    /** The try's end was told; until the pod is ready nothing else may go over this connection. */
    void told() {
        at.link = null;
        at = null;
        carries = false;
    }

    private void free() {
        if (carries) {
            throw new InvalidInputException("ready without an answer");
        }
        ready = true;
        idleSinceNs = clock.now();
        pods.free(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (ready) {
            stray();
        } else {
            lost();
        }
        if (frames != null) {
            frames.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.fault("pod " + pod, cause);
        }
        lost();
    }
}
