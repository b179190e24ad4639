package mulleinlever.sidecar;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The one place where Unix time meets the steady clock: it is read once, at the start, so that a
 * wall clock set back or forth later moves no time limit. Nanoseconds since 1970 keep the start of
 * every pod above 0.
 */
final class Clock {
    /** A wall clock that is kept in step by small corrections moves less against the steady one. */
    private static final long STEP_NS = 500_000_000L;

    private final LongSupplier wallNs;
    private final long aheadNs;

    Clock() {
        this(Clock::unixNs);
    }

    /** With another source of Unix time, in nanoseconds. */
    Clock(LongSupplier wallNs) {
        this.wallNs = wallNs;
        aheadNs = wallNs.getAsLong() - System.nanoTime();
    }

    private static long unixNs() {
        Instant wall = Instant.now();
        return wall.getEpochSecond() * 1_000_000_000L + wall.getNano();
    }

    long nowNs() {
        return System.nanoTime() + aheadNs;
    }

    /**
     * How far the wall clock was stepped forward since the start, in nanoseconds; 0 where it was
     * not.
     */
    long wallClockStepNs() {
        long byNs = wallNs.getAsLong() - nowNs();
        return Math.abs(byNs) < STEP_NS ? 0 : byNs;
    }

    /** A moment told in Unix milliseconds; 0 stays 0, which means long ago. */
    static long unixMsToNs(long ms) {
        return ms * 1_000_000L;
    }
}
