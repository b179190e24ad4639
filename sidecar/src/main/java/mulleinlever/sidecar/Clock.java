package mulleinlever.sidecar;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that counts nanoseconds since 1970. It is set from the wall clock once, at the
 * start, so that a later step of the wall clock moves no timeout. The count begins in 1970 so that
 * the start times of all pods are above 0. Safe for use by several threads.
 */
final class Clock {
    /**
     * The minimum difference to the wall clock that counts as a step of it. A wall clock that is
     * synchronized by small corrections differs by less.
     */
    private static final long MIN_STEP_NS = 500_000_000L;

    private final LongSupplier wallClockNs;

    /** The difference between Unix time and {@link System#nanoTime} at the start. */
    private final long unixOffsetNs;

    Clock() {
        this(Clock::unixNs);
    }

    /**
     * @param wallClockNs the source of Unix time, in nanoseconds
     */
    Clock(LongSupplier wallClockNs) {
        this.wallClockNs = wallClockNs;
        unixOffsetNs = wallClockNs.getAsLong() - System.nanoTime();
    }

    private static long unixNs() {
        Instant wall = Instant.now();
        return wall.getEpochSecond() * 1_000_000_000L + wall.getNano();
    }

    /** Returns the current time, in nanoseconds since 1970. */
    long nowNs() {
        return System.nanoTime() + unixOffsetNs;
    }

    /**
     * Returns how far the wall clock was stepped since the start, in nanoseconds: positive if
     * forward, negative if back, 0 if it was not stepped.
     */
    long wallClockStepNs() {
        long stepNs = wallClockNs.getAsLong() - nowNs();
        return Math.abs(stepNs) < MIN_STEP_NS ? 0 : stepNs;
    }

    /** Converts Unix milliseconds to the time of this clock. 0 remains 0, which means long ago. */
    static long unixMsToNs(long unixMs) {
        return unixMs * 1_000_000L;
    }
}
