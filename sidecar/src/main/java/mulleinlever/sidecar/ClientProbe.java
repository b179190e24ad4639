package mulleinlever.sidecar;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Finds out by writing whether a client still has its connection open: a message that reaches a
 * closed connection is answered with a reset, on which the next write fails and closes the channel.
 * Each instance belongs to one channel and is called by its event loop only.
 */
final class ClientProbe {
    /** The time between two messages in which a reset by the client's machine arrives. */
    private static final long MIN_INTERVAL_MS = 2;

    /** The time between two messages of a series at which it ends. */
    private static final long MAX_INTERVAL_MS = 1_000;

    private final Channel channel;

    ClientProbe(Channel channel) {
        this.channel = channel;
    }

    /** Writes messages at growing intervals, so that the channel closes if the client has left. */
    void startSeries() {
        continueSeries(MIN_INTERVAL_MS);
    }

    private void continueSeries(long intervalMs) {
        if (channel.isActive() && intervalMs < MAX_INTERVAL_MS) {
            channel.writeAndFlush(PostgresMessages.unchangedParameter());
            channel.eventLoop()
                    .schedule(
                            () -> continueSeries(2 * intervalMs),
                            intervalMs,
                            TimeUnit.MILLISECONDS);
        }
    }
}
