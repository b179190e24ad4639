package mulleinlever.sidecar;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Passes what Netty warns of to our log. The JDK's own handlers open files for their first line,
 * and their failure, when there are no descriptors left, ends the event loop that had only meant to
 * warn of a failed accept.
 */
final class NettyLogHandler extends Handler {
    /** Held here, since the JDK itself holds loggers weakly. */
    private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty");

    private final RateLimitedLog log;

    private NettyLogHandler(RateLimitedLog log) {
        this.log = log;
        setLevel(Level.WARNING);
    }

    /** From now on, instead of the handlers that the process started with. */
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
