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
    private static final long MIN_STEP_NS = 500_000_000L;

    private final LongSupplier wallClockNs;
    private final long unixOffsetNs;

    Clock() {
        this(Clock::unixNs);
    }

    /** With another source of Unix time, in nanoseconds. */
    Clock(LongSupplier wallClockNs) {
        this.wallClockNs = wallClockNs;
        unixOffsetNs = wallClockNs.getAsLong() - System.nanoTime();
    }

    private static long unixNs() {
        Instant wall = Instant.now();
        return wall.getEpochSecond() * 1_000_000_000L + wall.getNano();
    }

    long nowNs() {
        return System.nanoTime() + unixOffsetNs;
    }

    /**
     * How far the wall clock was stepped forward since the start, in nanoseconds; 0 where it was
     * not.
     */
    long wallClockStepNs() {
        long stepNs = wallClockNs.getAsLong() - nowNs();
        return Math.abs(stepNs) < MIN_STEP_NS ? 0 : stepNs;
    }

    /** A moment told in Unix milliseconds; 0 stays 0, which means long ago. */
    static long unixMsToNs(long unixMs) {
        return unixMs * 1_000_000L;
    }
}
