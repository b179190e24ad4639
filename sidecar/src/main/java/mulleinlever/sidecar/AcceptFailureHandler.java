package mulleinlever.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a listening channel accepting connections after a failed accept. While the process is out
 * of file descriptors and clients wait in the listen backlog, the event loop would spin on failing
 * accepts, so accepting pauses for a moment. Netty by itself would pause for a second.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private static final long ACCEPT_PAUSE_MS = 20;

    /** The minimum time between two log lines. */
    private static final long LOG_INTERVAL_NS = 1_000_000_000L;

    private final RateLimitedLog log;
    private int failureCount;
    private boolean paused;
    private boolean logged;
    private long lastLoggedNs;

    AcceptFailureHandler(RateLimitedLog log) {
        this.log = log;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failureCount++;
        Channel listener = ctx.channel();
        if (paused || !listener.config().isAutoRead()) {
            return;
        }
        logFailure(cause);
        paused = true;
        listener.config().setAutoRead(false);
        ctx.executor().schedule(() -> resume(listener), ACCEPT_PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    private void logFailure(Throwable cause) {
        long nowNs = System.nanoTime();
        if (!logged || nowNs - lastLoggedNs > LOG_INTERVAL_NS) {
            logged = true;
            lastLoggedNs = nowNs;
            log.info("clients", "accept failed, " + failureCount + " times so far: " + cause);
        }
    }

    private void resume(Channel listener) {
        paused = false;
        listener.config().setAutoRead(true);
    }
}
