package mulleinlever.sidecar;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Passes Netty's warnings to the sidecar's log. The JDK's own handlers open files when they log for
 * the first time; when no file descriptors are left, that fails and ends the event loop, which only
 * meant to warn of a failed accept.
 */
final class NettyLogHandler extends Handler {
    /** A strong reference, since the JDK holds loggers weakly. */
    private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty");

    private final RateLimitedLog log;

    private NettyLogHandler(RateLimitedLog log) {
        this.log = log;
        setLevel(Level.WARNING);
    }

    /** Installs this handler for Netty's loggers in place of all others. */
    static void install(RateLimitedLog log) {
        NETTY_LOGGER.setUseParentHandlers(false);
        for (Handler handler : NETTY_LOGGER.getHandlers()) {
            NETTY_LOGGER.removeHandler(handler);
        }
        NETTY_LOGGER.addHandler(new NettyLogHandler(log));
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record)) {
            log.info(
                    "netty",
                    record.getMessage()
                            + (record.getThrown() == null ? "" : " " + record.getThrown()));
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
