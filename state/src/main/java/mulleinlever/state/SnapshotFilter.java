package mulleinlever.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import mulleinlever.RolloutStatus;

/**
 * Selects the part of a snapshot that is still valid for a restarted sidecar, and counts the rest
 * by the reason for rejecting it. Restored values serve only as initial estimates: none of them
 * lets a restarted sidecar do anything that a sidecar without saved state may not do.
 */
public final class SnapshotFilter {
    /**
     * The environment of the sidecar at its start.
     *
     * @param zone the zone of the sidecar
     * @param routes the names of the configured routes
     * @param pods the pods of the initial pod list, by pod id
     * @param podAddresses the address and port of each pod, by pod id
     */
    public record RestoreContext(
            String zone,
            Set<String> routes,
            Map<String, PodEntry> pods,
            Map<String, String> podAddresses) {}

    /**
     * The values that are restored, decayed by their age, and the number of rejected values by
     * category and reason.
     */
    public record RestoreResult(
            List<LearnedState> restoredValues, Map<String, Integer> rejectedCounts) {
        /**
         * Returns the number of restored values by category and of rejected ones, for a log line.
         */
        @Override
        public String toString() {
            Map<String, Long> countByCategory =
                    restoredValues.stream()
                            .collect(
                                    Collectors.groupingBy(
                                            SnapshotFilter::categoryName,
                                            TreeMap::new,
                                            Collectors.counting()));
            String restored =
                    countByCategory.isEmpty()
                            ? "nothing"
                            : countByCategory.entrySet().stream()
                                    .map(e -> e.getValue() + " " + e.getKey())
                                    .collect(Collectors.joining(", "));
            return rejectedCounts.isEmpty()
                    ? restored
                    : restored
                            + "; not restored: "
                            + rejectedCounts.entrySet().stream()
                                    .map(e -> e.getValue() + " " + e.getKey())
                                    .collect(Collectors.joining(", "));
        }
    }

    private SnapshotFilter() {}

    /** Returns the name of a value's category in log lines. */
    private static String categoryName(LearnedState value) {
        return switch (StateDecay.categoryOf(value)) {
            case PODS -> "pods";
            case CONNECTIONS -> "links";
            case ROUTES -> "routes";
            case BASELINES -> "baselines";
            default -> "keys";
        };
    }

    /**
     * Selects the valid values of a snapshot.
     *
     * @param ageNs the age of the snapshot in nanoseconds, or {@link StateDecay#UNKNOWN_AGE_NS}
     */
    public static RestoreResult filter(StateSnapshot snapshot, long ageNs, RestoreContext context) {
        List<LearnedState> restored = new ArrayList<>();
        Map<String, Integer> rejectedCounts = new TreeMap<>();
        for (StateSnapshot.PodSnapshot pod : snapshot.pods()) {
            addOrReject(
                    pod.learned(),
                    mismatch(pod, snapshot, context),
                    ageNs,
                    restored,
                    rejectedCounts);
        }
        for (LearnedState value : snapshot.learnedValues()) {
            addOrReject(value, mismatch(value, snapshot, context), ageNs, restored, rejectedCounts);
        }
        return new RestoreResult(restored, rejectedCounts);
    }

    /**
     * Adds the decayed value to the restored ones, or counts it as rejected.
     *
     * @param mismatch why the value does not apply; null if it does
     */
    private static void addOrReject(
            LearnedState value,
            String mismatch,
            long ageNs,
            List<LearnedState> restored,
            Map<String, Integer> rejectedCounts) {
        LearnedState decayed = mismatch == null ? StateDecay.decay(value, ageNs) : null;
        if (decayed != null) {
            restored.add(decayed);
        } else {
            rejectedCounts.merge(
                    categoryName(value) + (mismatch == null ? " expired" : " " + mismatch),
                    1,
                    Integer::sum);
        }
    }

    /** Returns why the saved statistics do not apply to the pod any more; null if they do. */
    private static String mismatch(
            StateSnapshot.PodSnapshot pod, StateSnapshot snapshot, RestoreContext context) {
        PodEntry saved = pod.learned().is();
        PodEntry current = context.pods().get(saved.id());
        if (current == null || current.state() == PodEntry.State.GONE) {
            return "gone";
        }
        if (current.startedNs() != saved.startedNs() || current.build() != saved.build()) {
            return "restarted";
        }
        if (!pod.address().equals(context.podAddresses().get(saved.id()))) {
            return "at another address";
        }
        return snapshot.header().zone().equals(context.zone())
                ? null
                : "measured from another zone";
    }

    /** Returns why a value that is not about a pod does not apply any more; null if it does. */
    private static String mismatch(
            LearnedState value, StateSnapshot snapshot, RestoreContext context) {
        if (value instanceof LearnedState.ConnectionStats
                && !snapshot.header().zone().equals(context.zone())) {
            return "measured from another zone";
        }
        String route =
                value instanceof LearnedState.RouteStats r
                        ? r.route()
                        : value instanceof LearnedState.DetectorBaseline b ? b.route() : "";
        return route.isEmpty() || context.routes().contains(route) ? null : "of an unknown route";
    }

    /**
     * Returns whether the sidecar should start from the saved pod list rather than from another
     * one. A list with missing pods or outdated addresses makes tries fail until discovery provides
     * a newer one.
     *
     * @param otherVersion the version of the other list; -1 for none
     */
    public static boolean isPodListUsable(StateSnapshot snapshot, long ageNs, long otherVersion) {
        return snapshot.header().listVersion() > otherVersion
                && !snapshot.pods().isEmpty()
                && StateDecay.remainingFraction(StateDecay.Category.POD_LIST, ageNs) > 0;
    }

    /**
     * Returns the saved rollout status, with a cap of 0, if it reverts or withdraws a build that
     * the current status still allows or does not know yet; null otherwise. A more permissive
     * status is never restored, as it would exceed a cap that has been lowered since.
     *
     * @param current the rollout status known at the start
     */
    public static RolloutStatus selectIfStricter(RolloutStatus saved, RolloutStatus current) {
        boolean isRevertingOrWithdrawn =
                saved.phase() == RolloutStatus.Phase.REVERTING
                        || saved.phase() == RolloutStatus.Phase.WITHDRAWN;
        boolean isAheadOfCurrent =
                saved.build() > current.build()
                        || saved.build() == current.build()
                                && (current.phase() == RolloutStatus.Phase.ON_TRIAL
                                        || current.phase() == RolloutStatus.Phase.RELEASED);
        return isRevertingOrWithdrawn && isAheadOfCurrent
                ? new RolloutStatus(saved.build(), saved.stage(), saved.phase(), 0, 0)
                : null;
    }
}
