package mulleinlever.lab.emu;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mulleinlever.Settings;
import org.junit.jupiter.api.Test;

class EmulatedFleetTest {
    private static final long SECOND = 1_000_000_000L;

    /** How each req ended, in order, while a pod hangs and a sidecar is killed and starts again. */
    private static List<String> ends(long seed) {
        List<String> ends = new ArrayList<>();
        var route =
                EmulationSettings.createRoute(
                        "read", Settings.RetrySafety.IDEMPOTENT, 150, 1000, 1);
        EmulatedFleet w =
                new EmulatedFleet(
                        new EmulatedFleet.FleetSpec(
                                6,
                                2,
                                3,
                                List.of("a", "b"),
                                List.of(
                                        new EmulatedFleet.RouteTraffic(
                                                route, 1, 10_000_000, 30_000_000)),
                                200),
                        seed,
                        1000 * SECOND,
                        (sidecar, r, askedNs, tookNs, how) ->
                                ends.add(sidecar + " " + askedNs + " " + tookNs + " " + how));
        w.pods().get(0).setHung(true);
        w.scheduler().runUntil(1002 * SECOND);
        w.killSidecar(1);
        w.scheduler().runUntil(1003 * SECOND);
        w.startSidecar(1);
        w.scheduler().runUntil(1006 * SECOND);
        return ends;
    }

    @Test
    void sameSeedGivesTheSameRunAndEachReqEndsOnce() {
        List<String> once = ends(1);
        assertEquals(once, ends(1));
        assertNotEquals(once, ends(2));
        assertTrue(once.size() > 800, once.size() + " reqs");
        assertTrue(once.stream().filter(e -> e.endsWith("COMPLETED")).count() > 0.7 * once.size());
        assertTrue(
                once.stream().anyMatch(e -> e.startsWith("1 ") && e.endsWith("null")),
                "nobody met the dead sidecar");
    }
}
