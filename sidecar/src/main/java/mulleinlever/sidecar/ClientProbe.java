package mulleinlever.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.concurrent.TimeUnit;

/**
 * Finds out by writing whether a client still has its connection open: a message that reaches a
 * closed connection is answered with a reset, on which the next write fails and closes the channel.
 * Each instance belongs to one channel and is called by its event loop only.
 */
final class ClientProbe {
    /** The time between two messages in which a reset by the client's machine arrives. */
    private static final long MIN_INTERVAL_MS = 2;

    private static final long MIN_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(MIN_INTERVAL_MS);

    /** The time between two messages of a series at which it ends. */
    private static final long MAX_INTERVAL_MS = 1_000;

    private final Channel channel;
    private final Clock clock;

    /** Null until the first message is written. */
    private ChannelFuture lastMessage;

    /** When a message was written that has drawn no reset so far, in nanoseconds. */
    private long awaitingResetSinceNs;

    /** When the client is last known to have been connected, in nanoseconds. */
    private long connectedAtNs;

    ClientProbe(Channel channel, Clock clock, long connectedAtNs) {
        this.channel = channel;
        this.clock = clock;
        this.connectedAtNs = connectedAtNs;
        this.awaitingResetSinceNs = connectedAtNs;
    }

    /** Returns when the client is last known to have been connected, in nanoseconds. */
    long connectedAtNs() {
        return connectedAtNs;
    }

    /** Writes messages at growing intervals, so that the channel closes if the client has left. */
    void startSeries() {
        continueSeries(MIN_INTERVAL_MS);
    }

    private void continueSeries(long intervalMs) {
        if (channel.isActive() && intervalMs < MAX_INTERVAL_MS) {
            writeMessage();
            schedule(intervalMs, () -> continueSeries(2 * intervalMs));
        }
    }

    /**
     * Writes two messages, as far as the network takes them.
     *
     * @param onWritten called after the second one
     */
    void run(Runnable onWritten) {
        writeMessage();
        schedule(
                MIN_INTERVAL_MS,
                () -> {
                    writeMessage();
                    onWritten.run();
                });
    }

    private void schedule(long delayMs, Runnable task) {
        channel.eventLoop().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Writes a message, unless the network has not taken the last one. In that case the channel
     * waits for room, by which a reset is found as well.
     */
    private void writeMessage() {
        long nowNs = clock.nowNs();
        if (lastMessage == null || lastMessage.isDone()) {
            lastMessage = channel.writeAndFlush(PostgresMessages.unchangedParameter());
        }
        if (channel.isActive() && nowNs - awaitingResetSinceNs >= MIN_INTERVAL_NS) {
            connectedAtNs = awaitingResetSinceNs;
            awaitingResetSinceNs = nowNs;
        }
    }
}
