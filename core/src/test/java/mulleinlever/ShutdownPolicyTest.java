package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mulleinlever.Settings.RetrySafety;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that what is taken while the process stops is answered before it may be killed. */
class ShutdownPolicyTest {
    private static final long MS = 1_000_000L;

    /** The time after the longest timeout, or after 3 s if that is shorter, of the kill. */
    private static final long KILL_DELAY_MS = 700;

    /** How long the process may be held up before it writes. */
    private static final long HOLD_UP_MS = 150;

    // Reqs were taken until the end, and the process ended before their time was up.
    @ParameterizedTest
    @ValueSource(longs = {100, 800, 3_000, 20_000})
    void eachTakenReqEndsBeforeTheKill(long longestTimeoutMs) {
        ShutdownPolicy policy = new ShutdownPolicy(longestTimeoutMs * MS);
        long earliestKillMs = Math.min(longestTimeoutMs, 3_000) + KILL_DELAY_MS;
        long latestKillMs = Math.max(longestTimeoutMs, 3_000) + KILL_DELAY_MS;
        for (long sinceStopMs = 500; sinceStopMs < latestKillMs; sinceStopMs += 10) {
            for (long waitsMs = 1; waitsMs < 5_000; waitsMs += 100) {
                for (RetrySafety retrySafety : RetrySafety.values()) {
                    long timeMs =
                            policy.timeForReq(sinceStopMs * MS, waitsMs * MS, retrySafety) / MS;
                    boolean fits = sinceStopMs + waitsMs + HOLD_UP_MS + 50 <= earliestKillMs;
                    assertTrue(timeMs == 0 || sinceStopMs + timeMs + HOLD_UP_MS < earliestKillMs);
                    assertTrue(
                            timeMs == 0
                                    || timeMs == waitsMs
                                    || retrySafety == RetrySafety.IDEMPOTENT);
                    assertEquals(fits, timeMs == waitsMs);
                }
            }
        }
        long finalMs = policy.finalAnswersNs() / MS;
        assertTrue(finalMs + HOLD_UP_MS < latestKillMs);
        assertTrue(finalMs > policy.leavingNs() / MS + Math.min(longestTimeoutMs, 3_000) - 1);
    }
}
