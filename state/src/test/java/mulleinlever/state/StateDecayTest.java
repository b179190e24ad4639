package mulleinlever.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import org.junit.jupiter.api.Test;

class StateDecayTest {
    private static final long S = 1_000_000_000L;

    /** The plain model: a weight that loses the same part at each of many steps. */
    private static double plainly(double weight, double halfLifeS, double ageS) {
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
            LearnedState.WeightedMean f =
                    new LearnedState.WeightedMean(
                            random.nextDouble() * 9, random.nextDouble() * 50);
            long ageNs = random.nextLong(200) * S / 10;
            double pods = plainly(f.weight(), 60, ageNs / 1e9);
            LearnedState.PodStats p =
                    (LearnedState.PodStats)
                            StateDecay.decay(new LearnedState.PodStats(pod(), f, f, 6), ageNs);
            assertEquals(pods < 0.1 ? 0 : pods, p.slowness().weight(), 1e-2);
            assertEquals(p.slowness(), p.late());
            assertEquals(plainly(6, 60, ageNs / 1e9), p.strikes(), 0.51);
            double links = plainly(f.weight(), 15, ageNs / 1e9);
            LearnedState.ConnectionStats l =
                    (LearnedState.ConnectionStats)
                            StateDecay.decay(new LearnedState.ConnectionStats(f, f), ageNs);
            assertEquals(links < 0.1 ? 0 : links, l == null ? 0 : l.refused().weight(), 1e-2);
            double routes = plainly(f.weight(), 600, ageNs / 1e9);
            LearnedState.RouteStats r =
                    (LearnedState.RouteStats)
                            StateDecay.decay(new LearnedState.RouteStats("r", 1, f, f), ageNs);
            assertEquals(routes < 0.1 ? 0 : routes, r == null ? 0 : r.usual().weight(), 1e-2);
        }
    }

    @Test
    void dropsCategoryPastMaxAge() {
        LearnedState.WeightedMean f = new LearnedState.WeightedMean(5, 1e9);
        LearnedState pod = new LearnedState.PodStats(pod(), f, f, 6);
        assertTrue(StateDecay.decay(pod, 900 * S) != null);
        assertNull(StateDecay.decay(pod, 901 * S));
        assertNull(StateDecay.decay(new LearnedState.ConnectionStats(f, f), 121 * S));
        LearnedState.KeyBuild key = new LearnedState.KeyBuild(1, 2);
        assertEquals(key, StateDecay.decay(key, 86_400 * S));
        assertNull(StateDecay.decay(key, 86_401 * S));
        LearnedState.DetectorBaseline base =
                new LearnedState.DetectorBaseline(1, "", true, 0.2, 0.1, 50);
        assertEquals(
                25,
                ((LearnedState.DetectorBaseline) StateDecay.decay(base, 3600 * S)).samples(),
                1e-9);
        // Six half-lives: less than one sample is none.
        assertNull(StateDecay.decay(base, 6 * 3600 * S));
        assertNull(StateDecay.decay(new LearnedState.RouteStats("r", 1, f, f), 3 * 86_400 * S));
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
        LearnedState.WeightedMean f = new LearnedState.WeightedMean(5, 100);
        assertNull(
                StateDecay.decay(
                        new LearnedState.PodStats(pod(), f, f, 6), StateDecay.UNKNOWN_AGE_NS));
        assertNull(
                StateDecay.decay(
                        new LearnedState.ConnectionStats(f, f), StateDecay.UNKNOWN_AGE_NS));
        assertEquals(
                50,
                ((LearnedState.RouteStats)
                                StateDecay.decay(
                                        new LearnedState.RouteStats("r", 1, f, f),
                                        StateDecay.UNKNOWN_AGE_NS))
                        .times()
                        .weight());
        assertEquals(
                0,
                StateDecay.remainingFraction(
                        StateDecay.Category.POD_LIST, StateDecay.UNKNOWN_AGE_NS));
        // Captured at a time that this clock has not reached, or at none.
        assertEquals(
                StateDecay.UNKNOWN_AGE_NS,
                StateDecay.computeAgeNs(1_000_001, 1_000_000 * 1_000_000L));
        assertEquals(StateDecay.UNKNOWN_AGE_NS, StateDecay.computeAgeNs(0, 5));
        assertEquals(5, StateDecay.computeAgeNs(1, 1_000_005));
    }
}
