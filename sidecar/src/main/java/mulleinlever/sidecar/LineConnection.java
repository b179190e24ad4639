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
    private EndReason closeReason = EndReason.CLOSED_BY_PEER;

    private final NettyTransport transport;
    private final int maxLineBytes;
    private final RateLimitedLog log;
    private final String logLabel;
    private byte[] lineBuffer = new byte[256];
    private int lineLength;
    private Channel channel;
    private Future<?> timeoutTask;
    private boolean ended;

    LineConnection(
            NettyTransport transport, int maxLineBytes, RateLimitedLog log, String logLabel) {
        this.transport = transport;
        this.maxLineBytes = maxLineBytes;
        this.log = log;
        this.logLabel = logLabel;
    }

    abstract String initialRequest();

    /** Not called any more once the connection has ended or was dropped. */
    abstract void onLine(String line);

    /** Bytes came, be it the middle of a line. */
    void onBytesReceived() {}

    /** Called once, when the connection has ended for whatever reason but {@link #cancel}. */
    abstract void onEnd(EndReason reason);

    final void connect(InetSocketAddress address, long connectTimeoutNs, long timeoutNs) {
        openedNs = System.nanoTime();
        resetTimeout(timeoutNs);
        channel =
                transport.connect(
                        address,
                        connectTimeoutNs,
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
    final void resetTimeout(long timeoutNs) {
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
        timeoutTask = transport.schedule(timeoutNs, () -> terminate(EndReason.SILENT));
    }

    /** Without a word about it: whoever drops it needs none. */
    final void cancel() {
        ended = true;
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
        if (channel != null) {
            channel.close();
        }
    }

    final void terminate(EndReason reason) {
        if (!ended) {
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
                        formatSinceOpened(connectedNs),
                        formatSinceOpened(firstByteNs),
                        formatSinceOpened(lastByteNs),
                        bytesRead,
                        linesRead)
                + connectError;
    }

    private String formatSinceOpened(long timestampNs) {
        return timestampNs == 0 ? "never" : (timestampNs - openedNs) / 1_000_000 + " ms";
    }

    /** What arrives is text already, unless a transfer coding lies around it. */
    void decode(ByteBuf in) {
        while (in.isReadable()) {
            appendByte(in.readByte());
        }
    }

    final void appendByte(byte b) {
        if (b == '\n') {
            int end =
                    lineLength > 0 && lineBuffer[lineLength - 1] == '\r'
                            ? lineLength - 1
                            : lineLength;
            lineLength = 0;
            if (!ended) {
                linesRead++;
                onLine(new String(lineBuffer, 0, end, StandardCharsets.UTF_8));
            }
            return;
        }
        if (lineLength == maxLineBytes) {
            throw new InvalidInputException("a line longer than " + maxLineBytes);
        }
        if (lineLength == lineBuffer.length) {
            lineBuffer = Arrays.copyOf(lineBuffer, 2 * lineLength);
        }
        lineBuffer[lineLength++] = b;
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
            if (!ended) {
                onBytesReceived();
            }
            decode(in);
        } finally {
            in.release();
        }
    }

    @Override
    public final void channelInactive(ChannelHandlerContext ctx) {
        terminate(closeReason);
    }

    /** What can't be read costs the connection, and what it was for is asked anew. */
    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            closeReason = EndReason.RESET;
        } else if (cause instanceof UnexpectedStatusException) {
            closeReason = EndReason.STATUS;
        } else {
            closeReason = EndReason.UNREADABLE;
            log.internalError(logLabel, cause);
        }
        ctx.close();
    }
}
