package mulleinlever.sidecar;

import java.io.PrintStream;
import java.util.Locale;

/**
 * The log of the process: lines with a label, up to a maximum number per second, since a flood of
 * lines would stall the event loop. Safe for use by several threads.
 */
final class RateLimitedLog {
    private static final int MAX_LINES_PER_SECOND = 20;

    private final PrintStream out;
    private final Clock clock;
    private final long startNs;

    /** The second since the start in which {@link #lineCount} lines were logged or dropped. */
    private long currentSecond;

    private int lineCount;
    private int droppedLineCount;

    RateLimitedLog(PrintStream out, Clock clock) {
        this.out = out;
        this.clock = clock;
        this.startNs = clock.nowNs();
    }

    /** Logs an internal error with the place where it was thrown. */
    void internalError(String label, Throwable error) {
        StackTraceElement[] stackTrace = error.getStackTrace();
        info(label, "fault: " + error + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
    }

    /**
     * Logs a message on one line. Lines past the maximum are dropped; the next line logged states
     * how many.
     */
    synchronized void info(String label, String message) {
        long elapsedMs = (clock.nowNs() - startNs) / 1_000_000;
        if (elapsedMs / 1000 != currentSecond) {
            currentSecond = elapsedMs / 1000;
            lineCount = 0;
        }
        if (++lineCount > MAX_LINES_PER_SECOND) {
            droppedLineCount++;
            return;
        }
        String prefix = droppedLineCount > 0 ? "(" + droppedLineCount + " lines left out) " : "";
        droppedLineCount = 0;
        out.println(
                String.format(
                        Locale.ROOT,
                        "%8.3f %s: %s",
                        elapsedMs / 1e3,
                        label,
                        prefix + message.replaceAll("[\\r\\n\\t]+", " ")));
    }
}
