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

/**
 * An outgoing connection that sends a request and then receives lines of text, which may be split
 * anywhere between reads. Used by the event loop only.
 */
abstract class LineConnection extends ChannelInboundHandlerAdapter {
    /** The reason why a connection ended. The names appear in the log. */
    enum EndReason {
        /** The peer refused the connection. */
        REFUSED,
        /** The connection could not be made for another reason, such as a timeout. */
        CONNECT_FAILED,
        /** The timeout expired. */
        SILENT,
        /** The peer closed the connection. */
        CLOSED_BY_PEER,
        /** An I/O error broke the connection. */
        RESET,
        /** The HTTP response had an unexpected status. */
        STATUS,
        /** The received data was invalid, or processing it failed. */
        UNREADABLE,
        /** The response is complete. */
        COMPLETE
    }

    /** Thrown if an HTTP response has another status than 200. */
    static final class UnexpectedStatusException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        UnexpectedStatusException(String statusLine) {
            super(statusLine);
        }
    }

    /**
     * When the connection began to open. This and the times below are for the log, in nanoseconds
     * of {@link System#nanoTime}; 0 if the event has not happened.
     */
    private long openedNs;

    private long connectedNs;
    private long firstByteNs;
    private long lastByteNs;
    private long bytesRead;
    private int linesRead;
    private String connectError = "";

    /** The reason to report when the channel closes. */
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

    /**
     * @param logLabel the label of the connection's log lines
     */
    LineConnection(
            NettyTransport transport, int maxLineBytes, RateLimitedLog log, String logLabel) {
        this.transport = transport;
        this.maxLineBytes = maxLineBytes;
        this.log = log;
        this.logLabel = logLabel;
    }

    /** Returns the text to send once the connection is made, in ASCII. */
    abstract String initialRequest();

    /**
     * Handles a line, which comes without its line break. Not called after the connection has ended
     * or was cancelled.
     */
    abstract void onLine(String line);

    /**
     * Called when bytes have arrived, before the lines in them are handled; they may hold only a
     * part of a line.
     */
    void onBytesReceived() {}

    /** Called once when the connection has ended, unless it was ended by {@link #cancel}. */
    abstract void onEnd(EndReason reason);

    /**
     * Opens the connection.
     *
     * @param connectTimeoutNs the maximum time until the connection is made
     * @param timeoutNs the time after which the connection ends, unless the timeout is reset
     */
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

    /** Ends the connection after this time, in place of the previous timeout. */
    final void resetTimeout(long timeoutNs) {
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
        timeoutTask = transport.schedule(timeoutNs, () -> terminate(EndReason.SILENT));
    }

    /** Closes the connection without calling {@link #onEnd}. */
    final void cancel() {
        ended = true;
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
        if (channel != null) {
            channel.close();
        }
    }

    /** Closes the connection and calls {@link #onEnd}; does nothing if it has ended already. */
    final void terminate(EndReason reason) {
        if (!ended) {
            cancel();
            onEnd(reason);
        }
    }

    /** Returns whether any byte has arrived. */
    final boolean hasReceivedBytes() {
        return firstByteNs != 0;
    }

    /**
     * Returns a description of this connection for the log: the times of its events, in
     * milliseconds since it began to open, and the numbers of bytes and lines received.
     */
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

    /**
     * Passes the bytes of text to {@link #appendByte}. Subclasses override this to remove a
     * transfer coding.
     */
    void decode(ByteBuf in) {
        while (in.isReadable()) {
            appendByte(in.readByte());
        }
    }

    /**
     * Appends a byte of text, and handles the line if the byte ends it.
     *
     * @throws InvalidInputException if the line is longer than allowed
     */
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
            throw new InvalidInputException(
                    "line too long; the maximum number of bytes is " + maxLineBytes);
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

    /**
     * Closes the connection on any error, invalid data included. {@link #onEnd} is called when the
     * channel has closed, so that the request can be repeated on a new connection.
     */
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
