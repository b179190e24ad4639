package mulleinlever.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import mulleinlever.Learned;
import mulleinlever.PodEntry;
import org.junit.jupiter.api.Test;

class AgeingTest {
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
            Learned.Figure f =
                    new Learned.Figure(random.nextDouble() * 9, random.nextDouble() * 50);
            long ageNs = random.nextLong(200) * S / 10;
            double pods = plainly(f.weight(), 60, ageNs / 1e9);
            Learned.OfPod p = (Learned.OfPod) Ageing.aged(new Learned.OfPod(pod(), f, f, 6), ageNs);
            assertEquals(pods < 0.1 ? 0 : pods, p.slowness().weight(), 1e-2);
            assertEquals(p.slowness(), p.late());
            assertEquals(plainly(6, 60, ageNs / 1e9), p.strikes(), 0.51);
            double links = plainly(f.weight(), 15, ageNs / 1e9);
            Learned.OfLinks l = (Learned.OfLinks) Ageing.aged(new Learned.OfLinks(f, f), ageNs);
            assertEquals(links < 0.1 ? 0 : links, l == null ? 0 : l.refused().weight(), 1e-2);
            double routes = plainly(f.weight(), 600, ageNs / 1e9);
            Learned.OfRoute r =
                    (Learned.OfRoute) Ageing.aged(new Learned.OfRoute("r", 1, f, f), ageNs);
            assertEquals(routes < 0.1 ? 0 : routes, r == null ? 0 : r.usual().weight(), 1e-2);
        }
    }

    @Test
    void whatIsOldIsDroppedAsAWhole() {
        Learned.Figure f = new Learned.Figure(5, 1e9);
        Learned pod = new Learned.OfPod(pod(), f, f, 6);
        assertTrue(Ageing.aged(pod, 900 * S) != null);
        assertNull(Ageing.aged(pod, 901 * S));
        assertNull(Ageing.aged(new Learned.OfLinks(f, f), 121 * S));
        Learned.OfKey key = new Learned.OfKey(1, 2);
        assertEquals(key, Ageing.aged(key, 86_400 * S));
        assertNull(Ageing.aged(key, 86_401 * S));
        Learned.OfBaseline base = new Learned.OfBaseline(1, "", true, 0.2, 0.1, 50);
        assertEquals(25, ((Learned.OfBaseline) Ageing.aged(base, 3600 * S)).samples(), 1e-9);
        // Six half-lives: less than one sample is none.
        assertNull(Ageing.aged(base, 6 * 3600 * S));
        assertNull(Ageing.aged(new Learned.OfRoute("r", 1, f, f), 3 * 86_400 * S));
    }

    @Test
    void aPodWithNothingAgainstItIsNotKept() {
        Learned.Figure none = new Learned.Figure(0, 0);
        assertNull(Ageing.aged(new Learned.OfPod(pod(), none, new Learned.Figure(1, 0.09), 0), 0));
    }

    @Test
    void withoutAnAgeWhatChangesQuicklyIsDropped() {
        Learned.Figure f = new Learned.Figure(5, 100);
        assertNull(Ageing.aged(new Learned.OfPod(pod(), f, f, 6), Ageing.UNKNOWN));
        assertNull(Ageing.aged(new Learned.OfLinks(f, f), Ageing.UNKNOWN));
        assertEquals(
                50,
                ((Learned.OfRoute) Ageing.aged(new Learned.OfRoute("r", 1, f, f), Ageing.UNKNOWN))
                        .times()
                        .weight());
        assertEquals(0, Ageing.left(Ageing.Group.LIST, Ageing.UNKNOWN));
        // Captured at a time that this clock has not reached, or at none.
        assertEquals(Ageing.UNKNOWN, Ageing.age(1_000_001, 1_000_000 * 1_000_000L));
        assertEquals(Ageing.UNKNOWN, Ageing.age(0, 5));
        assertEquals(5, Ageing.age(1, 1_000_005));
    }
}
