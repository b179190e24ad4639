package mulleinlever;

import static mulleinlever.PolicyHarness.MILLISECOND_NS;
import static mulleinlever.PolicyHarness.SECOND_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests {@link OpenTryLatenessDetector} against a reference model. */
class OpenTryLatenessDetectorTest {
    /** Compares the detector with a direct implementation of its rule on random reqs and tries. */
    @Test
    void matchesReferenceModel() {
        SplittableRandom random = new SplittableRandom(1);
        var route =
                new RouteState(
                        PolicyHarness.route(
                                "get", Settings.RetrySafety.IDEMPOTENT, Settings.DedupScope.ALL),
                        0,
                        SECOND_NS,
                        0.25);
        OpenTryLatenessDetector detector = new OpenTryLatenessDetector(SECOND_NS);
        long suspectedUntilNs = 0;
        for (long nowNs = 10 * SECOND_NS;
                nowNs < 260 * SECOND_NS;
                nowNs += random.nextLong(400 * MILLISECOND_NS)) {
            List<ReqState> reqs = new ArrayList<>();
            int[][] tryCounts = new int[3][2];
            double lateShare = random.nextDouble();
            for (int i = random.nextInt(24); i > 0; i--) {
                int build = random.nextInt(1, 3);
                int late = random.nextDouble() < lateShare ? 1 : 0;
                ReqState req =
                        new ReqState(
                                new Req(
                                        "r" + i,
                                        "get",
                                        false,
                                        false,
                                        2 * SECOND_NS,
                                        0,
                                        -1,
                                        null,
                                        0),
                                route,
                                nowNs,
                                null);
                req.addTry(new Try(null, nowNs - SECOND_NS, true, build, true));
                req.endTry(0, TryOutcome.ERROR);
                req.addTry(
                        new Try(
                                null,
                                nowNs
                                        - random.nextLong(1, 500 * MILLISECOND_NS)
                                        - late * 500 * MILLISECOND_NS,
                                true,
                                build,
                                true));
                reqs.add(req);
                tryCounts[build][late]++;
            }
            detector.evaluate(
                    nowNs, reqs, new RolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 1, 0));
            boolean suspected =
                    tryCounts[2][1] >= 4
                            && tryCounts[2][1] > 2 * tryCounts[2][0]
                            && tryCounts[1][1] <= 2 * tryCounts[1][0];
            suspectedUntilNs = suspected ? nowNs + SECOND_NS : suspectedUntilNs;
            assertEquals(
                    nowNs < suspectedUntilNs,
                    detector.isSuspected(nowNs),
                    "at nanosecond " + nowNs);
        }
        assertTrue(suspectedUntilNs > 0, "no suspicion was ever raised");
    }
}
