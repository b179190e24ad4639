package mulleinlever;

import static mulleinlever.PolicyHarness.MILLISECOND_NS;
import static mulleinlever.PolicyHarness.SECOND_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests {@link ConcurrencyLimiter} under simulated traffic and against a reference model. */
class ConcurrencyLimiterTest {
    private static final double OBJECTIVE_NS = 600 * MILLISECOND_NS;

    /**
     * Returns the share of reqs that find no capacity at one of 100 sidecars in front of 60 pods.
     * Arrivals and try times are random.
     *
     * @param latencyFactor the mean try time as a multiple of 240 ms
     */
    private static double simulateRejectedShare(
            double reqsPerSecond, double latencyFactor, long seed) {
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(100);
        SplittableRandom random = new SplittableRandom(seed);
        double meanNs = latencyFactor * 240 * MILLISECOND_NS;
        int[] reqCounts = new int[2];
        for (long nowNs = SECOND_NS; nowNs < 120 * SECOND_NS; nowNs += MILLISECOND_NS) {
            for (int i = limiter.openTryCount(); i > 0; i--) {
                if (random.nextDouble() < MILLISECOND_NS / meanNs) {
                    limiter.onTryEnded();
                    limiter.recordLatency(
                            nowNs,
                            latencyFactor
                                    * (100 + 280 * random.nextDouble())
                                    * MILLISECOND_NS
                                    / OBJECTIVE_NS,
                            false);
                }
            }
            if (nowNs % (50 * MILLISECOND_NS) == 0) {
                limiter.initializeLimit(nowNs, 60);
                limiter.adjustLimit(nowNs, 60);
            }
            if (random.nextDouble() < reqsPerSecond / 1000) {
                limiter.recordDemand(nowNs, meanNs, OBJECTIVE_NS);
                reqCounts[limiter.hasCapacity() ? 0 : 1] += nowNs > 20 * SECOND_NS ? 1 : 0;
                if (limiter.hasCapacity()) {
                    limiter.onTryStarted();
                }
            }
        }
        return (double) reqCounts[1] / (reqCounts[0] + reqCounts[1]);
    }

    /**
     * Guards against a limit that falls on a few slow answers (light and heavy traffic), and
     * against one that ignores the demand at the sidecar (heavy traffic and overload): an even
     * share is two tries.
     */
    @Test
    void admitsLightAndHeavyTrafficAndLimitsUnderOverload() {
        for (long seed = 0; seed < 5; seed++) {
            assertEquals(0, simulateRejectedShare(3, 1, seed), 0.04, "light traffic");
            assertEquals(0, simulateRejectedShare(20, 1, seed), 0.08, "heavy traffic");
            assertTrue(simulateRejectedShare(20, 2, seed) < 0.7, "heavy traffic and overload");
        }
        assertTrue(
                simulateRejectedShare(20, 5, 1) > 0.5,
                "the limit follows the demand at target latency, not at the actual latency");
    }

    /**
     * Compares the limiter with a direct implementation of its rule on random inputs. The decaying
     * sums are shared with it; AdaptiveConnectTimeoutTest compares those with a model of their own.
     */
    @Test
    void matchesReferenceModel() {
        SplittableRandom random = new SplittableRandom(1);
        for (int run = 0; run < 5; run++) {
            int podCount = 1 + random.nextInt(150);
            int sidecarCount = 1 + random.nextInt(100);
            ConcurrencyLimiter limiter = new ConcurrencyLimiter(sidecarCount);
            DecayingSum demandSeconds = new DecayingSum(5 * SECOND_NS);
            DecayingMean latencyRatios = new DecayingMean(SECOND_NS);
            double expectedLimit = 0;
            long nowNs = 7 * SECOND_NS;
            for (int step = 0; step < 2_000; step++) {
                nowNs += random.nextInt(60) * MILLISECOND_NS;
                int event = random.nextInt(4);
                double latencyRatio = random.nextDouble() * 2 * (step / 500 % 2);
                if (event == 0) {
                    limiter.recordDemand(nowNs, latencyRatio * OBJECTIVE_NS, OBJECTIVE_NS);
                    demandSeconds.add(nowNs, Math.min(latencyRatio, 0.33) * OBJECTIVE_NS / 1e9);
                } else if (event == 1 && limiter.hasCapacity()) {
                    limiter.onTryStarted();
                } else if (event == 2 && limiter.openTryCount() > 0) {
                    limiter.onTryEnded();
                    limiter.recordLatency(nowNs, latencyRatio, step % 5 == 0);
                    latencyRatios.add(
                            nowNs, step % 5 == 0 ? Math.min(1, latencyRatio) : latencyRatio);
                } else if (event == 3) {
                    double minLimit =
                            Math.max(
                                    Math.max(2, 3.0 * podCount / sidecarCount),
                                    demandSeconds.ratePerSecond(nowNs));
                    double meanRatio = latencyRatios.meanAt(nowNs, 0, 1);
                    double overload =
                            meanRatio
                                            / 0.33
                                            / (1
                                                    + 1
                                                            / Math.sqrt(
                                                                    Math.max(
                                                                            1,
                                                                            latencyRatios
                                                                                    .snapshot(nowNs)
                                                                                    .weight())))
                                    - 1;
                    expectedLimit =
                            Math.max(expectedLimit == 0 ? 4 * minLimit : expectedLimit, minLimit);
                    expectedLimit =
                            overload > 0
                                    ? Math.max(
                                            minLimit,
                                            expectedLimit * (1 - 0.1 * Math.min(1, overload)))
                                    : limiter.openTryCount() > 0.8 * expectedLimit
                                            ? 1.02 * expectedLimit
                                            : expectedLimit;
                    limiter.initializeLimit(nowNs, podCount);
                    limiter.adjustLimit(nowNs, podCount);
                    assertEquals(expectedLimit, limiter.limit(), 1e-6 * expectedLimit);
                    assertEquals(meanRatio, limiter.latencyRatio(nowNs), 1e-9);
                }
                assertEquals(limiter.openTryCount() < expectedLimit, limiter.hasCapacity());
            }
        }
    }
}
