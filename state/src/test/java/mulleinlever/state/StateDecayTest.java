package mulleinlever.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import org.junit.jupiter.api.Test;

/** Tests the decay of saved values by age, against a numerical model. */
class StateDecayTest {
    private static final long SECOND_NS = 1_000_000_000L;

    /** The reference model: the weight loses the same fraction in each of many small steps. */
    private static double decayInSteps(double weight, double halfLifeS, double ageS) {
        int steps = 20_000;
        double lost = ageS / halfLifeS / steps * Math.log(2);
        for (int i = 0; i < steps; i++) {
            weight -= weight * lost;
        }
        return weight;
    }

    private static PodEntry pod() {
        return new PodEntry("a", "z", "", 0, 1, PodEntry.State.READY, 1, 0);
    }

    @Test
    void weightsDecayAsInReferenceModel() {
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 300; i++) {
            LearnedState.WeightedMean mean =
                    new LearnedState.WeightedMean(
                            random.nextDouble() * 9, random.nextDouble() * 50);
            long ageNs = random.nextLong(200) * SECOND_NS / 10;
            double podWeight = decayInSteps(mean.weight(), 60, ageNs / 1e9);
            LearnedState.PodStats pod =
                    (LearnedState.PodStats)
                            StateDecay.decay(
                                    new LearnedState.PodStats(pod(), mean, mean, 6), ageNs);
            assertEquals(podWeight < 0.1 ? 0 : podWeight, pod.slowness().weight(), 1e-2);
            assertEquals(pod.slowness(), pod.late());
            assertEquals(decayInSteps(6, 60, ageNs / 1e9), pod.strikes(), 0.51);
            double connectionWeight = decayInSteps(mean.weight(), 15, ageNs / 1e9);
            LearnedState.ConnectionStats connections =
                    (LearnedState.ConnectionStats)
                            StateDecay.decay(new LearnedState.ConnectionStats(mean, mean), ageNs);
            assertEquals(
                    connectionWeight < 0.1 ? 0 : connectionWeight,
                    connections == null ? 0 : connections.refused().weight(),
                    1e-2);
            double routeWeight = decayInSteps(mean.weight(), 600, ageNs / 1e9);
            LearnedState.RouteStats route =
                    (LearnedState.RouteStats)
                            StateDecay.decay(
                                    new LearnedState.RouteStats("r", 1, mean, mean), ageNs);
            assertEquals(
                    routeWeight < 0.1 ? 0 : routeWeight,
                    route == null ? 0 : route.usual().weight(),
                    1e-2);
        }
    }

    @Test
    void dropsCategoryPastMaxAge() {
        LearnedState.WeightedMean mean = new LearnedState.WeightedMean(5, 1e9);
        LearnedState pod = new LearnedState.PodStats(pod(), mean, mean, 6);
        assertTrue(StateDecay.decay(pod, 900 * SECOND_NS) != null);
        assertNull(StateDecay.decay(pod, 901 * SECOND_NS));
        assertNull(StateDecay.decay(new LearnedState.ConnectionStats(mean, mean), 121 * SECOND_NS));
        LearnedState.KeyBuild key = new LearnedState.KeyBuild(1, 2);
        assertEquals(key, StateDecay.decay(key, 86_400 * SECOND_NS));
        assertNull(StateDecay.decay(key, 86_401 * SECOND_NS));
        LearnedState.DetectorBaseline baseline =
                new LearnedState.DetectorBaseline(1, "", true, 0.2, 0.1, 50);
        assertEquals(
                25,
                ((LearnedState.DetectorBaseline) StateDecay.decay(baseline, 3600 * SECOND_NS))
                        .samples(),
                1e-9);
        // After six half-lives less than one sample remains, and the baseline is dropped.
        assertNull(StateDecay.decay(baseline, 6 * 3600 * SECOND_NS));
        assertNull(
                StateDecay.decay(
                        new LearnedState.RouteStats("r", 1, mean, mean), 3 * 86_400 * SECOND_NS));
    }

    @Test
    void dropsPodWithoutObservations() {
        LearnedState.WeightedMean none = new LearnedState.WeightedMean(0, 0);
        assertNull(
                StateDecay.decay(
                        new LearnedState.PodStats(
                                pod(), none, new LearnedState.WeightedMean(1, 0.09), 0),
                        0));
    }

    @Test
    void dropsShortLivedDataAtUnknownAge() {
        LearnedState.WeightedMean mean = new LearnedState.WeightedMean(5, 100);
        assertNull(
                StateDecay.decay(
                        new LearnedState.PodStats(pod(), mean, mean, 6),
                        StateDecay.UNKNOWN_AGE_NS));
        assertNull(
                StateDecay.decay(
                        new LearnedState.ConnectionStats(mean, mean), StateDecay.UNKNOWN_AGE_NS));
        assertEquals(
                50,
                ((LearnedState.RouteStats)
                                StateDecay.decay(
                                        new LearnedState.RouteStats("r", 1, mean, mean),
                                        StateDecay.UNKNOWN_AGE_NS))
                        .times()
                        .weight());
        assertEquals(
                0,
                StateDecay.remainingFraction(
                        StateDecay.Category.POD_LIST, StateDecay.UNKNOWN_AGE_NS));
        // The capture time is in the future, or is missing.
        assertEquals(
                StateDecay.UNKNOWN_AGE_NS,
                StateDecay.computeAgeNs(1_000_001, 1_000_000 * 1_000_000L));
        assertEquals(StateDecay.UNKNOWN_AGE_NS, StateDecay.computeAgeNs(0, 5));
        assertEquals(5, StateDecay.computeAgeNs(1, 1_000_005));
    }
}
