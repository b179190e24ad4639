package mulleinlever.lab.emu;

import java.util.List;
import mulleinlever.Settings;

/** Settings for sidecars in an emulated world: ordinary ones, of no site. Times are nanoseconds. */
public final class EmulationSettings {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    static final double COLD_CAPACITY_SHARE = 0.3;
    static final long SLOW_START_NS = 4 * SECOND;

    /**
     * A cold pod that gets more than so many times what it can do then, for a second, falls over.
     */
    private static final double FALL_MULTIPLE = 3;

    private EmulationSettings() {}

    /** A route whose repeats may run, or are dropped by pods of the same zone. */
    public static Settings.RouteSettings createRoute(
            String name,
            Settings.RetrySafety repeat,
            long objectiveMs,
            long timeoutMs,
            double earnings) {
        return new Settings.RouteSettings(
                name,
                objectiveMs * MS,
                0,
                timeoutMs * MS,
                repeat,
                Settings.DedupScope.ZONE,
                SECOND,
                false,
                0.1,
                earnings);
    }

    static Settings createSettings(
            int rank,
            int sidecars,
            String zone,
            List<String> zones,
            List<Settings.RouteSettings> routes) {
        Settings.RolloutSettings rollout =
                new Settings.RolloutSettings(
                        Settings.VoteControl.MAJORITY,
                        false,
                        Math.max(1, sidecars * 2 / 5),
                        Math.max(1, sidecars / 4),
                        0,
                        2 * SECOND,
                        3 * SECOND,
                        6 * SECOND,
                        2 * SECOND,
                        100,
                        2 * SECOND,
                        2 * SECOND,
                        0.2,
                        0.15,
                        List.of(0.1, 0.5, 1.0),
                        List.of(0.2, 0.7, 1.0),
                        4 * SECOND,
                        3,
                        false,
                        0,
                        false,
                        false,
                        0.3,
                        5);
        Settings.Contract rules =
                new Settings.Contract(
                        20 * MS,
                        250 * MS,
                        COLD_CAPACITY_SHARE,
                        SLOW_START_NS,
                        FALL_MULTIPLE,
                        SECOND,
                        10 * SECOND);
        Settings.PolicyLimits limits =
                new Settings.PolicyLimits(
                        4, 20_000, true, false, false, true, SECOND, 1, 250 * MS, 15 * SECOND);
        return new Settings(
                rank,
                sidecars,
                zone,
                zones,
                false,
                MS,
                0.2,
                routes,
                List.of(),
                rollout,
                rules,
                limits,
                new Settings.CostWeights(0.02, 0.08, 0.01, 0.08),
                Settings.ReportSource.OFF,
                true);
    }
}
