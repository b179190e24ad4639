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
 * Which of what was kept still holds here and now, and why the rest does not. What is taken is a
 * prior and no right: nothing in it lets a restarted sidecar do more than one that starts with
 * nothing.
 */
public final class SnapshotFilter {
    /**
     * Where the sidecar stands at its start.
     *
     * @param pods the list that it starts from, by id
     * @param podAddresses where each listens, by id, as address and port
     */
    public record RestoreContext(
            String zone,
            Set<String> routes,
            Map<String, PodEntry> pods,
            Map<String, String> podAddresses) {}

    /** What is taken, and how many were left out for each reason, by the reason. */
    public record RestoreResult(
            List<LearnedState> restoredValues, Map<String, Integer> rejectedCounts) {
        /** For one line of a log: how many of each sort. */
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
                            + "; left out: "
                            + rejectedCounts.entrySet().stream()
                                    .map(e -> e.getValue() + " " + e.getKey())
                                    .collect(Collectors.joining(", "));
        }
    }

    private SnapshotFilter() {}

    private static String categoryName(LearnedState value) {
        return switch (StateDecay.categoryOf(value)) {
            case PODS -> "pods";
            case LINKS -> "links";
            case ROUTES -> "routes";
            case BASELINES -> "baselines";
            default -> "keys";
        };
    }

    /** What holds of all that was kept, after that age. */
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
                    categoryName(value) + (mismatch == null ? " faded" : " " + mismatch),
                    1,
                    Integer::sum);
        }
    }

    /** Why a pod's past is not its own any more; null where it is. */
    private static String mismatch(
            StateSnapshot.PodSnapshot pod, StateSnapshot snapshot, RestoreContext context) {
        PodEntry saved = pod.learned().is();
        PodEntry current = context.pods().get(saved.id());
        if (current == null || current.state() == PodEntry.State.GONE) {
            return "gone";
        }
        if (current.startedNs() != saved.startedNs() || current.build() != saved.build()) {
            return "started anew";
        }
        if (!pod.address().equals(context.podAddresses().get(saved.id()))) {
            return "at another address";
        }
        return snapshot.head().zone().equals(context.zone()) ? null : "seen from another zone";
    }

    private static String mismatch(
            LearnedState value, StateSnapshot snapshot, RestoreContext context) {
        if (value instanceof LearnedState.ConnectionStats
                && !snapshot.head().zone().equals(context.zone())) {
            return "seen from another zone";
        }
        String route =
                value instanceof LearnedState.RouteStats r
                        ? r.route()
                        : value instanceof LearnedState.DetectorBaseline b ? b.route() : "";
        return route.isEmpty() || context.routes().contains(route) ? null : "of no route here";
    }

    /**
     * Whether the list that was kept is to be started from, rather than one of a given version (-1
     * for none). A list that names too little or old addresses costs tries, until discovery tells
     * better.
     */
    public static boolean isPodListUsable(StateSnapshot snapshot, long ageNs, long otherVersion) {
        return snapshot.head().listVersion() > otherVersion
                && !snapshot.pods().isEmpty()
                && StateDecay.remainingFraction(StateDecay.Category.POD_LIST, ageNs) > 0;
    }

    /**
     * The news that was kept where it allows less than what is told at the start, else null. What
     * allows more is never remembered: a cap that has been lowered meanwhile would be passed.
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
