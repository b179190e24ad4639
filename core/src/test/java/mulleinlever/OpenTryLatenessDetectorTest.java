package mulleinlever;

import static mulleinlever.PolicyHarness.MILLISECOND_NS;
import static mulleinlever.PolicyHarness.SECOND_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class OpenTryLatenessDetectorTest {
    /** The rule said plainly, on drawn reqs and tries, beside the class. */
    @Test
    void matchesReferenceModel() {
        SplittableRandom random = new SplittableRandom(1);
        var row =
                new RouteState(
                        PolicyHarness.route(
                                "get", Settings.RetrySafety.IDEMPOTENT, Settings.DedupScope.ALL),
                        0,
                        SECOND_NS,
                        0.25);
        OpenTryLatenessDetector doubt = new OpenTryLatenessDetector(SECOND_NS);
        long until = 0;
        for (long now = 10 * SECOND_NS;
                now < 260 * SECOND_NS;
                now += random.nextLong(400 * MILLISECOND_NS)) {
            List<ReqState> held = new ArrayList<>();
            int[][] out = new int[3][2];
            double lean = random.nextDouble();
            for (int i = random.nextInt(24); i > 0; i--) {
                int build = random.nextInt(1, 3);
                int late = random.nextDouble() < lean ? 1 : 0;
                ReqState rq =
                        new ReqState(
                                new Req("r" + i, "get", false, false, 2 * SECOND_NS, 0, -1, null),
                                row,
                                now);
                rq.addTry(new Try(null, now - SECOND_NS, true, build, true));
                rq.endTry(0, TryOutcome.ERROR);
                rq.addTry(
                        new Try(
                                null,
                                now
                                        - random.nextLong(1, 500 * MILLISECOND_NS)
                                        - late * 500 * MILLISECOND_NS,
                                true,
                                build,
                                true));
                held.add(rq);
                out[build][late]++;
            }
            doubt.evaluate(now, held, new RolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 1, 0));
            boolean doubtful =
                    out[2][1] >= 4 && out[2][1] > 2 * out[2][0] && out[1][1] <= 2 * out[1][0];
            until = doubtful ? now + SECOND_NS : until;
            assertEquals(now < until, doubt.isSuspected(now), "at " + now);
        }
        assertTrue(until > 0, "never drawn");
    }
}
