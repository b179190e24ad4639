package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards the slow start of pods against wrong wall clocks: the list states when pods started by a
 * wall clock that may be ahead of or behind that of the sidecar.
 */
class ClockStepTest {
    private static final long MILLISECOND_NS = PolicyHarness.MILLISECOND_NS;
    private static final int WARM_POD_COUNT = 4;
    private static final PodEntry STARTED_POD = PolicyHarness.podEntry(WARM_POD_COUNT, 1, 0);

    /**
     * Sends 200 reqs per second for some seconds and returns the share that goes to the started
     * pod.
     */
    private static double trafficShare(PolicyHarness harness, int seconds) {
        int firstIndex = harness.sentTries.size();
        for (int i = 0; i < 200 * seconds; i++) {
            harness.policy.onPodListConfirmed(harness.nowNs);
            String id = "r" + harness.sentTries.size();
            harness.sendReq(id, "get", 2 * PolicyHarness.SECOND_NS);
            harness.advance(5 * MILLISECOND_NS);
            harness.endTry(id, 0, TryOutcome.OK, 5 * MILLISECOND_NS);
        }
        List<PolicyHarness.SentTry> sent =
                harness.sentTries.subList(firstIndex, harness.sentTries.size());
        return sent.stream().filter(s -> s.podId().equals(STARTED_POD.id())).count()
                / (double) sent.size();
    }

    /** Returns the share of the started pod in its first second, and long after its slow start. */
    private static double[] trafficShares(long stepMs) {
        PolicyHarness harness =
                PolicyHarness.withDefaults(1, false, false, 1)
                        .addPods(WARM_POD_COUNT, 1)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        trafficShare(harness, 3);
        PodEntry started =
                new PodEntry(
                        STARTED_POD.id(),
                        STARTED_POD.zone(),
                        STARTED_POD.kind(),
                        STARTED_POD.cell(),
                        1,
                        PodEntry.State.READY,
                        1,
                        harness.nowNs + (stepMs - 200) * MILLISECOND_NS);
        if (stepMs != 0) {
            harness.policy.onWallClockStepped();
        }
        harness.policy.onPodListUpdated(harness.nowNs, List.of(started));
        double slowStartShare = trafficShare(harness, 1);
        trafficShare(harness, 4);
        return new double[] {slowStartShare, trafficShare(harness, 2)};
    }

    // The clock may have been an hour off before the process started. Only the list can show that.
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, 5_000, 3_600_000})
    void wrongClockAtStartIsDetectedFromList(long stepMs) {
        var starts = new PodStartEstimator();
        long nowNs = 10_000_000 * MILLISECOND_NS;
        long startedNs =
                starts.estimateStartNs(
                        nowNs + (stepMs - 200) * MILLISECOND_NS,
                        nowNs - 100 * MILLISECOND_NS,
                        nowNs);
        assertTrue(
                nowNs - startedNs <= 100 * MILLISECOND_NS,
                "started " + (nowNs - startedNs) / MILLISECOND_NS + " ms ago");
    }

    // A step of the wall clock made the slow start end at once, or last as long as the step.
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -5_000, 5_000, 3_600_000})
    void slowStartLengthIsIndependentOfClockSteps(long stepMs) {
        double[] expected = trafficShares(0);
        double[] stepped = trafficShares(stepMs);
        assertTrue(
                expected[0] < 0.75 * expected[1],
                "no slow start: " + expected[0] + ", " + expected[1]);
        assertEquals(expected[0], stepped[0], 0.03, "during the slow start");
        assertEquals(expected[1], stepped[1], 0.03, "after the slow start");
    }
}
