package mulleinlever;

import static mulleinlever.PolicyHarness.MILLISECOND_NS;
import static mulleinlever.PolicyHarness.SECOND_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ConcurrencyLimiterTest {
    private static final double OBJECTIVE = 600 * MILLISECOND_NS;

    /**
     * The share of reqs without room at one sidecar of a hundred before 60 pods, tries taking so
     * many times 240 ms, by chance.
     */
    private static double turnedAway(double perSecond, double times, long seed) {
        ConcurrencyLimiter room = new ConcurrencyLimiter(100);
        SplittableRandom random = new SplittableRandom(seed);
        double mean = times * 240 * MILLISECOND_NS;
        int[] reqs = new int[2];
        for (long now = SECOND_NS; now < 120 * SECOND_NS; now += MILLISECOND_NS) {
            for (int i = room.openTryCount(); i > 0; i--) {
                if (random.nextDouble() < MILLISECOND_NS / mean) {
                    room.onTryEnded();
                    room.recordLatency(
                            now,
                            times * (100 + 280 * random.nextDouble()) * MILLISECOND_NS / OBJECTIVE,
                            false);
                }
            }
            if (now % (50 * MILLISECOND_NS) == 0) {
                room.initializeLimit(now, 60);
                room.adjustLimit(now, 60);
            }
            if (random.nextDouble() < perSecond / 1000) {
                room.recordDemand(now, mean, OBJECTIVE);
                reqs[room.hasCapacity() ? 0 : 1] += now > 20 * SECOND_NS ? 1 : 0;
                if (room.hasCapacity()) {
                    room.onTryStarted();
                }
            }
        }
        return (double) reqs[1] / (reqs[0] + reqs[1]);
    }

    /**
     * The first two hang on how few answers may tell of strain, the third on the own need: an even
     * share is two tries.
     */
    @Test
    void admitsThinAndHeavyTrafficAndLimitsUnderOverload() {
        for (long seed = 0; seed < 5; seed++) {
            assertEquals(0, turnedAway(3, 1, seed), 0.04, "thin");
            assertEquals(0, turnedAway(20, 1, seed), 0.08, "busy");
            assertTrue(turnedAway(20, 2, seed) < 0.7, "busy and strained");
        }
        assertTrue(
                turnedAway(20, 5, 1) > 0.5,
                "what is open keeps to what reqs want at ease, not to what they take");
    }

    /**
     * The rule said plainly, on drawn inputs, beside the class; the fading sums are those that
     * AdaptiveConnectTimeoutTest says plainly.
     */
    @Test
    void matchesReferenceModel() {
        SplittableRandom random = new SplittableRandom(1);
        for (int run = 0; run < 5; run++) {
            int pods = 1 + random.nextInt(150);
            int sidecars = 1 + random.nextInt(100);
            ConcurrencyLimiter room = new ConcurrencyLimiter(sidecars);
            DecayingSum wanted = new DecayingSum(5 * SECOND_NS);
            DecayingMean took = new DecayingMean(SECOND_NS);
            double most = 0;
            long now = 7 * SECOND_NS;
            for (int step = 0; step < 2_000; step++) {
                now += random.nextInt(60) * MILLISECOND_NS;
                int what = random.nextInt(4);
                double part = random.nextDouble() * 2 * (step / 500 % 2);
                if (what == 0) {
                    room.recordDemand(now, part * OBJECTIVE, OBJECTIVE);
                    wanted.add(now, Math.min(part, 0.33) * OBJECTIVE / 1e9);
                } else if (what == 1 && room.hasCapacity()) {
                    room.onTryStarted();
                } else if (what == 2 && room.openTryCount() > 0) {
                    room.onTryEnded();
                    room.recordLatency(now, part, step % 5 == 0);
                    took.add(now, step % 5 == 0 ? Math.min(1, part) : part);
                } else if (what == 3) {
                    double least =
                            Math.max(Math.max(2, 3.0 * pods / sidecars), wanted.ratePerSecond(now));
                    double ease = took.meanAt(now, 0, 1);
                    double over =
                            ease
                                            / 0.33
                                            / (1
                                                    + 1
                                                            / Math.sqrt(
                                                                    Math.max(
                                                                            1,
                                                                            took.snapshot(now)
                                                                                    .weight())))
                                    - 1;
                    most = Math.max(most == 0 ? 4 * least : most, least);
                    most =
                            over > 0
                                    ? Math.max(least, most * (1 - 0.1 * Math.min(1, over)))
                                    : room.openTryCount() > 0.8 * most ? 1.02 * most : most;
                    room.initializeLimit(now, pods);
                    room.adjustLimit(now, pods);
                    assertEquals(most, room.limit(), 1e-6 * most);
                    assertEquals(ease, room.latencyRatio(now), 1e-9);
                }
                assertEquals(room.openTryCount() < most, room.hasCapacity());
            }
        }
    }
}
