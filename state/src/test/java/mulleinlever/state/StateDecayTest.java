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
    void figuresFadeAsByThePlainModel() {
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 300; i++) {
            LearnedState.WeightedMean f =
                    new LearnedState.WeightedMean(
                            random.nextDouble() * 9, random.nextDouble() * 50);
            long ageNs = random.nextLong(200) * S / 10;
            double pods = plainly(f.weight(), 60, ageNs / 1e9);
            LearnedState.PodStats p =
                    (LearnedState.PodStats)
                            StateDecay.aged(new LearnedState.PodStats(pod(), f, f, 6), ageNs);
            assertEquals(pods < 0.1 ? 0 : pods, p.slowness().weight(), 1e-2);
            assertEquals(p.slowness(), p.late());
            assertEquals(plainly(6, 60, ageNs / 1e9), p.strikes(), 0.51);
            double links = plainly(f.weight(), 15, ageNs / 1e9);
            LearnedState.ConnectionStats l =
                    (LearnedState.ConnectionStats)
                            StateDecay.aged(new LearnedState.ConnectionStats(f, f), ageNs);
            assertEquals(links < 0.1 ? 0 : links, l == null ? 0 : l.refused().weight(), 1e-2);
            double routes = plainly(f.weight(), 600, ageNs / 1e9);
            LearnedState.RouteStats r =
                    (LearnedState.RouteStats)
                            StateDecay.aged(new LearnedState.RouteStats("r", 1, f, f), ageNs);
            assertEquals(routes < 0.1 ? 0 : routes, r == null ? 0 : r.usual().weight(), 1e-2);
        }
    }

    @Test
    void whatIsOldIsDroppedAsAWhole() {
        LearnedState.WeightedMean f = new LearnedState.WeightedMean(5, 1e9);
        LearnedState pod = new LearnedState.PodStats(pod(), f, f, 6);
        assertTrue(StateDecay.aged(pod, 900 * S) != null);
        assertNull(StateDecay.aged(pod, 901 * S));
        assertNull(StateDecay.aged(new LearnedState.ConnectionStats(f, f), 121 * S));
        LearnedState.KeyBuild key = new LearnedState.KeyBuild(1, 2);
        assertEquals(key, StateDecay.aged(key, 86_400 * S));
        assertNull(StateDecay.aged(key, 86_401 * S));
        LearnedState.DetectorBaseline base =
                new LearnedState.DetectorBaseline(1, "", true, 0.2, 0.1, 50);
        assertEquals(
                25,
                ((LearnedState.DetectorBaseline) StateDecay.aged(base, 3600 * S)).samples(),
                1e-9);
        // Six half-lives: less than one sample is none.
        assertNull(StateDecay.aged(base, 6 * 3600 * S));
        assertNull(StateDecay.aged(new LearnedState.RouteStats("r", 1, f, f), 3 * 86_400 * S));
    }

    @Test
    void aPodWithNothingAgainstItIsNotKept() {
        LearnedState.WeightedMean none = new LearnedState.WeightedMean(0, 0);
        assertNull(
                StateDecay.aged(
                        new LearnedState.PodStats(
                                pod(), none, new LearnedState.WeightedMean(1, 0.09), 0),
                        0));
    }

    @Test
    void withoutAnAgeWhatChangesQuicklyIsDropped() {
        LearnedState.WeightedMean f = new LearnedState.WeightedMean(5, 100);
        assertNull(StateDecay.aged(new LearnedState.PodStats(pod(), f, f, 6), StateDecay.UNKNOWN));
        assertNull(StateDecay.aged(new LearnedState.ConnectionStats(f, f), StateDecay.UNKNOWN));
        assertEquals(
                50,
                ((LearnedState.RouteStats)
                                StateDecay.aged(
                                        new LearnedState.RouteStats("r", 1, f, f),
                                        StateDecay.UNKNOWN))
                        .times()
                        .weight());
        assertEquals(0, StateDecay.left(StateDecay.Category.LIST, StateDecay.UNKNOWN));
        // Captured at a time that this clock has not reached, or at none.
        assertEquals(StateDecay.UNKNOWN, StateDecay.age(1_000_001, 1_000_000 * 1_000_000L));
        assertEquals(StateDecay.UNKNOWN, StateDecay.age(0, 5));
        assertEquals(5, StateDecay.age(1, 1_000_005));
    }
}
