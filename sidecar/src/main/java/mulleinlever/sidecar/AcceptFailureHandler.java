package mulleinlever.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a listener accepting after a failed accept. It pauses for a moment, since the loop would
 * spin while descriptors are short and clients wait in the machine's queue; Netty alone would pause
 * for a second.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private static final long PAUSE_MS = 20;

    /** From one line of the log to the next. */
    private static final long TELL_NS = 1_000_000_000L;

    private final RateLimitedLog log;
    private int failures;
    private boolean paused;
    private boolean told;
    private long toldNs;

    AcceptFailureHandler(RateLimitedLog log) {
        this.log = log;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failures++;
        Channel listener = ctx.channel();
        if (paused || !listener.config().isAutoRead()) {
            return;
        }
        tell(cause);
        paused = true;
        listener.config().setAutoRead(false);
        ctx.executor().schedule(() -> resume(listener), PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    private void tell(Throwable cause) {
        long nowNs = System.nanoTime();
        if (!told || nowNs - toldNs > TELL_NS) {
            told = true;
            toldNs = nowNs;
            log.info("clients", "accept failed, " + failures + " times so far: " + cause);
        }
    }

    private void resume(Channel listener) {
        paused = false;
        listener.config().setAutoRead(true);
    }
}
