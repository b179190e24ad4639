package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Starts of servers are told by a wall clock that may be ahead of or behind ours. */
class ClockStepTest {
    private static final long MS = PolicyHarness.MILLISECOND_NS;
    private static final int WARM = 4;
    private static final PodEntry STARTED = PolicyHarness.podEntry(WARM, 1, 0);

    /**
     * The part of 200 requests a second that goes to the server that has started, for some seconds.
     */
    private static double part(PolicyHarness b, int seconds) {
        int before = b.sentTries.size();
        for (int i = 0; i < 200 * seconds; i++) {
            b.policy.onPodListConfirmed(b.nowNs);
            String id = "r" + b.sentTries.size();
            b.sendReq(id, "get", 2 * PolicyHarness.SECOND_NS);
            b.advance(5 * MS);
            b.endTry(id, 0, TryOutcome.OK, 5 * MS);
        }
        List<PolicyHarness.SentTry> sent = b.sentTries.subList(before, b.sentTries.size());
        return sent.stream().filter(s -> s.pod().equals(STARTED.id())).count()
                / (double) sent.size();
    }

    /** The part that the server gets in its first second, and long after it is warm. */
    private static double[] parts(long stepMs) {
        PolicyHarness b =
                PolicyHarness.withDefaults(1, false, false, 1)
                        .addPods(WARM, 1)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        part(b, 3);
        PodEntry started =
                new PodEntry(
                        STARTED.id(),
                        STARTED.zone(),
                        STARTED.kind(),
                        STARTED.cell(),
                        1,
                        PodEntry.State.READY,
                        1,
                        b.nowNs + (stepMs - 200) * MS);
        if (stepMs != 0) {
            b.policy.onWallClockStepped();
        }
        b.policy.onPodListUpdated(b.nowNs, List.of(started));
        double cold = part(b, 1);
        part(b, 4);
        return new double[] {cold, part(b, 2)};
    }

    // The clock may have been an hour off before the process started, which only the list can show.
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, 5_000, 3_600_000})
    void wrongClockAtStartIsDetectedFromList(long stepMs) {
        var starts = new PodStartEstimator();
        long nowNs = 10_000_000 * MS;
        long startedNs =
                starts.estimateStartNs(nowNs + (stepMs - 200) * MS, nowNs - 100 * MS, nowNs);
        assertTrue(
                nowNs - startedNs <= 100 * MS, "started " + (nowNs - startedNs) / MS + " ms ago");
    }

    // A step of the wall clock made slow start end at once, or last as long as the step.
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -5_000, 5_000, 3_600_000})
    void slowStartLengthIsIndependentOfClockSteps(long stepMs) {
        double[] right = parts(0);
        double[] stepped = parts(stepMs);
        assertTrue(right[0] < 0.75 * right[1], "no slow start: " + right[0] + ", " + right[1]);
        assertEquals(right[0], stepped[0], 0.03, "while it is cold");
        assertEquals(right[1], stepped[1], 0.03, "once it is warm");
    }
}
