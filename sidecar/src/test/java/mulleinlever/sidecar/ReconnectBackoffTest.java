package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the delays before a single sidecar reconnects and the rate at which a fleet does. */
class ReconnectBackoffTest {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long SECOND_NS = 1_000 * MILLISECOND_NS;

    /** An attempt of one sidecar of the fleet to connect. */
    private record ConnectAttempt(long atNs, int sidecar) {}

    /**
     * Returns the maximum number of attempts in any second, once the delays have grown to their
     * maximum, while a peer that all sidecars lost at the same moment stays down. Each attempt
     * fails after {@code failsAfterNs}.
     */
    private static int maxAttemptsPerSecond(
            int sidecars, double callsPerSecond, long failsAfterNs) {
        ReconnectBackoff[] backoffs = new ReconnectBackoff[sidecars];
        var pendingAttempts =
                new PriorityQueue<ConnectAttempt>((a, b) -> Long.compare(a.atNs, b.atNs));
        for (int i = 0; i < sidecars; i++) {
            backoffs[i] =
                    new ReconnectBackoff(
                            300 * MILLISECOND_NS,
                            ReconnectBackoff.maxDelayNs(sidecars, callsPerSecond),
                            i);
            pendingAttempts.add(new ConnectAttempt(0, i));
        }
        int delaysGrownS =
                (int) (2 * ReconnectBackoff.maxDelayNs(sidecars, callsPerSecond) / SECOND_NS) + 3;
        int[] attemptsBySecond = new int[delaysGrownS + 40];
        while (pendingAttempts.peek().atNs < (delaysGrownS + 40) * SECOND_NS) {
            ConnectAttempt attempt = pendingAttempts.poll();
            attemptsBySecond[(int) (attempt.atNs / SECOND_NS)]++;
            backoffs[attempt.sidecar].recordOpened(attempt.atNs);
            long endedNs = attempt.atNs + failsAfterNs;
            pendingAttempts.add(
                    new ConnectAttempt(
                            endedNs + backoffs[attempt.sidecar].nextDelayNs(endedNs),
                            attempt.sidecar));
        }
        int maxAttempts = 0;
        for (int second = delaysGrownS + 20; second < delaysGrownS + 40; second++) {
            maxAttempts = Math.max(maxAttempts, attemptsBySecond[second]);
        }
        return maxAttempts;
    }

    @Test
    void jitterSpreadsReconnectsOfFleet() {
        assertTrue(
                maxAttemptsPerSecond(14, 16, MILLISECOND_NS) <= 16,
                maxAttemptsPerSecond(14, 16, MILLISECOND_NS)
                        + " attempts in a second, peer refuses");
        // A hundred sidecars begin at the same time. Delays of 6 to 12 s do not spread them enough
        // for each second to stay below 16.
        assertTrue(
                maxAttemptsPerSecond(100, 16, MILLISECOND_NS) <= 24,
                maxAttemptsPerSecond(100, 16, MILLISECOND_NS)
                        + " attempts in a second, peer refuses");
        assertTrue(
                maxAttemptsPerSecond(100, 100, MILLISECOND_NS) <= 100,
                maxAttemptsPerSecond(100, 100, MILLISECOND_NS)
                        + " attempts in a second, peer refuses");
        // A connection to an unresponsive peer is given up after 2 s. Without jitter, all sidecars
        // would reconnect at the same moment forever.
        assertTrue(
                maxAttemptsPerSecond(14, 16, 2 * SECOND_NS) <= 10,
                maxAttemptsPerSecond(14, 16, 2 * SECOND_NS)
                        + " attempts in a second, peer unresponsive");
    }

    @Test
    void delayStaysWithinReferenceBounds() {
        for (int seed = 0; seed < 200; seed++) {
            var random = new SplittableRandom(seed);
            long initialDelayNs = 1 + random.nextLong(500 * MILLISECOND_NS);
            long maxDelayNs = random.nextLong(5 * SECOND_NS);
            ReconnectBackoff backoff = new ReconnectBackoff(initialDelayNs, maxDelayNs, seed);
            long boundNs = Math.max(initialDelayNs, maxDelayNs);
            long nowNs = 0;
            int consecutiveFailures = 0;
            for (int i = 0; i < 50; i++) {
                backoff.recordOpened(nowNs);
                long openForNs =
                        random.nextBoolean()
                                ? random.nextLong(100 * MILLISECOND_NS)
                                : random.nextLong(12 * SECOND_NS);
                consecutiveFailures =
                        openForNs > boundNs + initialDelayNs ? 0 : consecutiveFailures;
                nowNs += openForNs;
                long delayNs = backoff.nextDelayNs(nowNs);
                double fullDelayNs =
                        Math.min(boundNs, initialDelayNs * Math.pow(2, consecutiveFailures++));
                assertTrue(
                        delayNs >= (long) fullDelayNs / 2 && delayNs <= fullDelayNs,
                        "seed " + seed + ": delay in ns: " + delayNs + " of " + fullDelayNs);
                nowNs += delayNs;
            }
        }
    }

    @Test
    void maxDelayIsBoundedForInvalidInput() {
        assertEquals(60 * SECOND_NS, ReconnectBackoff.maxDelayNs(1000, -5));
        assertEquals(60 * SECOND_NS, ReconnectBackoff.maxDelayNs(1000, Double.NaN));
        assertEquals(0, ReconnectBackoff.maxDelayNs(3, Double.POSITIVE_INFINITY));
    }
}
