package mulleinlever.lab.emu;

import java.util.List;
import mulleinlever.Settings;

/** Typical settings for the sidecars of an emulated fleet. */
public final class EmulationSettings {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long SECOND_NS = 1_000 * MILLISECOND_NS;
    static final double INITIAL_CAPACITY_SHARE = 0.3;
    static final long SLOW_START_NS = 4 * SECOND_NS;

    /**
     * A pod in slow start breaks down if it gets more than this multiple of its current capacity
     * for a second.
     */
    private static final double OVERLOAD_MULTIPLE = 3;

    private EmulationSettings() {}

    /** Creates the settings of a route; if it is deduplicated, its dedup scope is the zone. */
    public static Settings.RouteSettings createRoute(
            String name,
            Settings.RetrySafety retrySafety,
            long objectiveMs,
            long timeoutMs,
            double value) {
        return new Settings.RouteSettings(
                name,
                objectiveMs * MILLISECOND_NS,
                0,
                timeoutMs * MILLISECOND_NS,
                retrySafety,
                Settings.DedupScope.ZONE,
                SECOND_NS,
                false,
                0.1,
                value);
    }

    /** Creates the settings of the sidecar with the given rank. */
    static Settings createSettings(
            int rank,
            int sidecarCount,
            String zone,
            List<String> zones,
            List<Settings.RouteSettings> routes) {
        Settings.RolloutSettings rollout =
                new Settings.RolloutSettings(
                        Settings.VoteControl.MAJORITY,
                        false,
                        Math.max(1, sidecarCount * 2 / 5),
                        Math.max(1, sidecarCount / 4),
                        0,
                        2 * SECOND_NS,
                        3 * SECOND_NS,
                        6 * SECOND_NS,
                        2 * SECOND_NS,
                        100,
                        2 * SECOND_NS,
                        2 * SECOND_NS,
                        0.2,
                        0.15,
                        List.of(0.1, 0.5, 1.0),
                        List.of(0.2, 0.7, 1.0),
                        4 * SECOND_NS,
                        3,
                        false,
                        0,
                        false,
                        false,
                        0.3,
                        5);
        Settings.Contract contract =
                new Settings.Contract(
                        20 * MILLISECOND_NS,
                        250 * MILLISECOND_NS,
                        INITIAL_CAPACITY_SHARE,
                        SLOW_START_NS,
                        OVERLOAD_MULTIPLE,
                        SECOND_NS,
                        10 * SECOND_NS);
        Settings.PolicyLimits limits =
                new Settings.PolicyLimits(
                        4,
                        20_000,
                        true,
                        false,
                        false,
                        true,
                        SECOND_NS,
                        1,
                        250 * MILLISECOND_NS,
                        15 * SECOND_NS);
        return new Settings(
                rank,
                sidecarCount,
                zone,
                zones,
                false,
                MILLISECOND_NS,
                0.2,
                routes,
                List.of(),
                rollout,
                contract,
                limits,
                new Settings.Prices(0.02, 0.08, 0.01, 0.08),
                Settings.ReportSource.OFF,
                true);
    }
}
