package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the connect timeout with a reference model that keeps every sample. */
class AdaptiveConnectTimeoutTest {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long MAX_TIMEOUT_NS = 250 * MILLISECOND_NS;

    /** An attempt to connect; its duration is 0 if it timed out. */
    private record ConnectAttempt(long endedNs, long durationNs) {}

    /** Computes the timeout from all attempts, each decayed by its age. */
    private static long referenceTimeoutNs(List<ConnectAttempt> attempts, long nowNs) {
        double slowestNs = 0;
        double successes = 0;
        double timeouts = 0;
        for (ConnectAttempt attempt : attempts) {
            double decay = Math.exp(-Math.log(2) * (nowNs - attempt.endedNs) / 10e9);
            slowestNs = Math.max(slowestNs, decay * attempt.durationNs);
            successes += attempt.durationNs > 0 ? decay : 0;
            timeouts += attempt.durationNs > 0 ? 0 : decay;
        }
        boolean tooFewSuccesses =
                attempts.stream().filter(attempt -> attempt.durationNs > 0).count() < 20;
        return tooFewSuccesses
                ? MAX_TIMEOUT_NS
                : (long)
                        Math.min(
                                MAX_TIMEOUT_NS,
                                Math.max(
                                        25 * MILLISECOND_NS,
                                        3 * slowestNs * (successes + timeouts) / successes));
    }

    @Test
    void matchesReferenceModel() {
        for (int seed = 0; seed < 50; seed++) {
            var random = new SplittableRandom(seed);
            AdaptiveConnectTimeout connectTimeout = new AdaptiveConnectTimeout(MAX_TIMEOUT_NS);
            List<ConnectAttempt> attempts = new ArrayList<>();
            double timeoutProbability = random.nextDouble();
            long nowNs = 1_000_000 * MILLISECOND_NS;
            for (int i = 0; i < 200; i++) {
                nowNs += random.nextLong(200 * MILLISECOND_NS);
                long durationNs =
                        random.nextDouble() < timeoutProbability
                                ? 0
                                : 1 + random.nextLong(60 * MILLISECOND_NS);
                attempts.add(new ConnectAttempt(nowNs, durationNs));
                if (durationNs > 0) {
                    connectTimeout.recordSuccess(nowNs, durationNs);
                } else {
                    connectTimeout.recordTimeout(nowNs);
                }
                long laterNs = nowNs + random.nextLong(1000 * MILLISECOND_NS);
                assertEquals(
                        referenceTimeoutNs(attempts, nowNs),
                        connectTimeout.timeoutNs(nowNs),
                        1000,
                        "seed " + seed + ", attempt " + i);
                nowNs = laterNs;
                assertEquals(
                        referenceTimeoutNs(attempts, nowNs),
                        connectTimeout.timeoutNs(nowNs),
                        1000,
                        "seed " + seed + ", attempt " + i);
            }
        }
    }

    @Test
    void usesMaximumWhenMostConnectsTimeOut() {
        AdaptiveConnectTimeout connectTimeout = new AdaptiveConnectTimeout(MAX_TIMEOUT_NS);
        for (int i = 0; i < 30; i++) {
            connectTimeout.recordSuccess(i, 10 * MILLISECOND_NS);
        }
        assertEquals(30 * MILLISECOND_NS, connectTimeout.timeoutNs(30), MILLISECOND_NS);
        for (int i = 0; i < 300; i++) {
            connectTimeout.recordTimeout(30);
        }
        assertEquals(MAX_TIMEOUT_NS, connectTimeout.timeoutNs(30));
        assertTrue(new AdaptiveConnectTimeout(MAX_TIMEOUT_NS).timeoutNs(0) == MAX_TIMEOUT_NS);
    }
}
