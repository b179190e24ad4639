package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Checks that a step of the wall clock moves no timeout. */
class ClockTest {
    private static final long HOUR_NS = 3_600_000_000_000L;

    // Timeouts and windows are measured by the monotonic clock. A step of the wall clock is
    // detected and has no effect on them.
    @Test
    void wallClockStepIsDetectedAndDoesNotShiftTime() {
        AtomicLong currentStepNs = new AtomicLong();
        Clock clock = new Clock(() -> System.nanoTime() + currentStepNs.get());
        assertEquals(0, clock.wallClockStepNs());
        for (long stepByNs : new long[] {HOUR_NS, -HOUR_NS, 5_000_000_000L, -5_000_000_000L}) {
            long beforeNs = clock.nowNs();
            currentStepNs.set(stepByNs);
            assertEquals(stepByNs, clock.wallClockStepNs(), 1e8);
            assertTrue(clock.nowNs() - beforeNs < 1e9);
        }
        currentStepNs.set(1_000_000);
        assertEquals(0, clock.wallClockStepNs());
    }
}
