package mulleinlever.lab.emu;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mulleinlever.Settings;
import org.junit.jupiter.api.Test;

/** Tests that {@link EmulatedFleet} is deterministic and accounts for each req. */
class EmulatedFleetTest {
    private static final long SECOND_NS = 1_000_000_000L;

    /**
     * Returns how each req ended, in order, in a run in which a pod hangs and a sidecar is killed
     * and restarted.
     */
    private static List<String> runAndCollectOutcomes(long seed) {
        List<String> outcomes = new ArrayList<>();
        var route =
                EmulationSettings.createRoute(
                        "read", Settings.RetrySafety.IDEMPOTENT, 150, 1000, 1);
        EmulatedFleet fleet =
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
                        1000 * SECOND_NS,
                        (sidecar, r, arrivedNs, durationNs, outcome) ->
                                outcomes.add(
                                        sidecar
                                                + " "
                                                + arrivedNs
                                                + " "
                                                + durationNs
                                                + " "
                                                + outcome));
        fleet.pods().get(0).setHung(true);
        fleet.scheduler().runUntil(1002 * SECOND_NS);
        fleet.killSidecar(1);
        fleet.scheduler().runUntil(1003 * SECOND_NS);
        fleet.startSidecar(1);
        fleet.scheduler().runUntil(1006 * SECOND_NS);
        return outcomes;
    }

    @Test
    void sameSeedGivesTheSameRunAndEachReqEndsOnce() {
        List<String> outcomes = runAndCollectOutcomes(1);
        assertEquals(outcomes, runAndCollectOutcomes(1));
        assertNotEquals(outcomes, runAndCollectOutcomes(2));
        assertTrue(outcomes.size() > 800, outcomes.size() + " reqs");
        assertTrue(
                outcomes.stream().filter(e -> e.endsWith("COMPLETED")).count()
                        > 0.7 * outcomes.size());
        assertTrue(
                outcomes.stream().anyMatch(e -> e.startsWith("1 ") && e.endsWith("null")),
                "no req arrived while the sidecar was down");
    }
}
