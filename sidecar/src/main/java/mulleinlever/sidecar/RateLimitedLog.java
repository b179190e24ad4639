package mulleinlever.sidecar;

import java.io.PrintStream;
import java.util.Locale;

/**
 * A line for each thing worth telling; so many a second at most, since a flood would stall the
 * event loop.
 */
final class RateLimitedLog {
    private static final int MOST_A_SECOND = 20;

    private final PrintStream out;
    private final Clock clock;
    private final long startNs;
    private long second;
    private int said;
    private int leftOut;

    RateLimitedLog(PrintStream out, Clock clock) {
        this.out = out;
        this.clock = clock;
        this.startNs = clock.nowNs();
    }

    /** A fault of our own: with where it was thrown, which is what its mender asks first. */
    void internalError(String about, Throwable e) {
        StackTraceElement[] at = e.getStackTrace();
        info(about, "fault: " + e + (at.length > 0 ? " at " + at[0] : ""));
    }

    synchronized void info(String about, String text) {
        long sinceMs = (clock.nowNs() - startNs) / 1_000_000;
        if (sinceMs / 1000 != second) {
            second = sinceMs / 1000;
            said = 0;
        }
        if (++said > MOST_A_SECOND) {
            leftOut++;
            return;
        }
        String before = leftOut > 0 ? "(" + leftOut + " lines left out) " : "";
        leftOut = 0;
        out.println(
                String.format(
                        Locale.ROOT,
                        "%8.3f %s: %s",
                        sinceMs / 1e3,
                        about,
                        before + text.replaceAll("[\\r\\n\\t]+", " ")));
    }
}
