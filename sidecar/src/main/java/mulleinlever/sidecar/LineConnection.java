package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.Future;
import mulleinlever.settings.InvalidInputException;

/** A connection of ours that begins with what we say; then lines of text arrive, split anywhere. */
abstract class LineConnection extends ChannelInboundHandlerAdapter {
    /** Why a connection ended. */
    enum EndReason {
        REFUSED,
        CONNECT_FAILED,
        SILENT,
        CLOSED_BY_PEER,
        RESET,
        STATUS,
        UNREADABLE,
        COMPLETE
    }

    /** An HTTP answer whose status is not the one that was asked for. */
    static final class UnexpectedStatusException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        UnexpectedStatusException(String statusLine) {
            super(statusLine);
        }
    }

    /**
     * What happened on one connection so far, for the log; nanoseconds, 0 where it has not
     * happened.
     */
    private long openedNs;

    private long connectedNs;
    private long firstByteNs;
    private long lastByteNs;
    private long bytesRead;
    private int linesRead;
    private String connectError = "";
    private EndReason brokenBy = EndReason.CLOSED_BY_PEER;

    private final NettyTransport net;
    private final int longest;
    private final RateLimitedLog log;
    private final String about;
    private byte[] line = new byte[256];
    private int length;
    private Channel channel;
    private Future<?> limit;
    private boolean over;

    LineConnection(NettyTransport net, int longest, RateLimitedLog log, String about) {
        this.net = net;
        this.longest = longest;
        this.log = log;
        this.about = about;
    }

    abstract String initialRequest();

    /** Not called any more once the connection has ended or was dropped. */
    abstract void onLine(String text);

    /** Bytes came, be it the middle of a line. */
    void onBytesReceived() {}

    /** Called once, when the connection has ended for whatever reason but {@link #cancel}. */
    abstract void onEnd(EndReason reason);

    final void connect(InetSocketAddress to, long withinNs, long limitNs) {
        openedNs = System.nanoTime();
        resetTimeout(limitNs);
        channel =
                net.connect(
                        to,
                        withinNs,
                        this,
                        cause -> {
                            connectError = ": " + cause.getMessage();
                            boolean refused =
                                    cause instanceof ConnectException
                                            && !(cause instanceof ConnectTimeoutException);
                            terminate(refused ? EndReason.REFUSED : EndReason.CONNECT_FAILED);
                        });
    }

    /** It ends after this long, in place of any limit before. */
    final void resetTimeout(long ns) {
        if (limit != null) {
            limit.cancel(false);
        }
        limit = net.schedule(ns, () -> terminate(EndReason.SILENT));
    }

    /** Without a word about it: whoever drops it needs none. */
    final void cancel() {
        over = true;
        if (limit != null) {
            limit.cancel(false);
        }
        if (channel != null) {
            channel.close();
        }
    }

    final void terminate(EndReason reason) {
        if (!over) {
            cancel();
            onEnd(reason);
        }
    }

    /** Whether any byte has come. */
    final boolean hasReceivedBytes() {
        return firstByteNs != 0;
    }

    /** What happened on this connection and when, in milliseconds since it began to open. */
    final String describeProgress() {
        return String.format(
                        Locale.ROOT,
                        "after %d ms (connected %s, first byte %s, last byte %s; %d bytes, %d lines)",
                        (System.nanoTime() - openedNs) / 1_000_000,
                        sinceOpened(connectedNs),
                        sinceOpened(firstByteNs),
                        sinceOpened(lastByteNs),
                        bytesRead,
                        linesRead)
                + connectError;
    }

    private String sinceOpened(long atNs) {
        return atNs == 0 ? "never" : (atNs - openedNs) / 1_000_000 + " ms";
    }

    /** What arrives is text already, unless a transfer coding lies around it. */
    void decode(ByteBuf in) {
        while (in.isReadable()) {
            appendByte(in.readByte());
        }
    }

    final void appendByte(byte b) {
        if (b == '\n') {
            int end = length > 0 && line[length - 1] == '\r' ? length - 1 : length;
            length = 0;
            if (!over) {
                linesRead++;
                onLine(new String(line, 0, end, StandardCharsets.UTF_8));
            }
            return;
        }
        if (length == longest) {
            throw new InvalidInputException("a line longer than " + longest);
        }
        if (length == line.length) {
            line = Arrays.copyOf(line, 2 * length);
        }
        line[length++] = b;
    }

    @Override
    public final void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        connectedNs = System.nanoTime();
        ctx.writeAndFlush(Unpooled.copiedBuffer(initialRequest(), StandardCharsets.US_ASCII));
    }

    @Override
    public final void channelRead(ChannelHandlerContext ctx, Object msg) {
        ByteBuf in = (ByteBuf) msg;
        lastByteNs = System.nanoTime();
        firstByteNs = firstByteNs == 0 ? lastByteNs : firstByteNs;
        bytesRead += in.readableBytes();
        try {
            if (!over) {
                onBytesReceived();
            }
            decode(in);
        } finally {
            in.release();
        }
    }

    @Override
    public final void channelInactive(ChannelHandlerContext ctx) {
        terminate(brokenBy);
    }

    /** What can't be read costs the connection, and what it was for is asked anew. */
    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            brokenBy = EndReason.RESET;
        } else if (cause instanceof UnexpectedStatusException) {
            brokenBy = EndReason.STATUS;
        } else {
            brokenBy = EndReason.UNREADABLE;
            log.internalError(about, cause);
        }
        ctx.close();
    }
}
