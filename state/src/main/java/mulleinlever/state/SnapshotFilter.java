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
            Map<String, Long> sorts =
                    restoredValues.stream()
                            .collect(
                                    Collectors.groupingBy(
                                            SnapshotFilter::sort,
                                            TreeMap::new,
                                            Collectors.counting()));
            String taken =
                    sorts.isEmpty()
                            ? "nothing"
                            : sorts.entrySet().stream()
                                    .map(e -> e.getValue() + " " + e.getKey())
                                    .collect(Collectors.joining(", "));
            return rejectedCounts.isEmpty()
                    ? taken
                    : taken
                            + "; left out: "
                            + rejectedCounts.entrySet().stream()
                                    .map(e -> e.getValue() + " " + e.getKey())
                                    .collect(Collectors.joining(", "));
        }
    }

    private SnapshotFilter() {}

    private static String sort(LearnedState one) {
        return switch (StateDecay.categoryOf(one)) {
            case PODS -> "pods";
            case LINKS -> "links";
            case ROUTES -> "routes";
            case BASELINES -> "baselines";
            default -> "keys";
        };
    }

    /** What holds of all that was kept, after that age. */
    public static RestoreResult filter(StateSnapshot kept, long ageNs, RestoreContext here) {
        List<LearnedState> taken = new ArrayList<>();
        Map<String, Integer> leftOut = new TreeMap<>();
        for (StateSnapshot.PodSnapshot p : kept.pods()) {
            sift(p.learned(), misfit(p, kept, here), ageNs, taken, leftOut);
        }
        for (LearnedState one : kept.learnedValues()) {
            sift(one, misfit(one, kept, here), ageNs, taken, leftOut);
        }
        return new RestoreResult(taken, leftOut);
    }

    private static void sift(
            LearnedState one,
            String misfit,
            long ageNs,
            List<LearnedState> taken,
            Map<String, Integer> leftOut) {
        LearnedState aged = misfit == null ? StateDecay.decay(one, ageNs) : null;
        if (aged != null) {
            taken.add(aged);
        } else {
            leftOut.merge(sort(one) + (misfit == null ? " faded" : " " + misfit), 1, Integer::sum);
        }
    }

    /** Why a pod's past is not its own any more; null where it is. */
    private static String misfit(
            StateSnapshot.PodSnapshot p, StateSnapshot kept, RestoreContext here) {
        PodEntry then = p.learned().is();
        PodEntry now = here.pods().get(then.id());
        if (now == null || now.state() == PodEntry.State.GONE) {
            return "gone";
        }
        if (now.startedNs() != then.startedNs() || now.build() != then.build()) {
            return "started anew";
        }
        if (!p.address().equals(here.podAddresses().get(then.id()))) {
            return "at another address";
        }
        return kept.head().zone().equals(here.zone()) ? null : "seen from another zone";
    }

    private static String misfit(LearnedState one, StateSnapshot kept, RestoreContext here) {
        if (one instanceof LearnedState.ConnectionStats
                && !kept.head().zone().equals(here.zone())) {
            return "seen from another zone";
        }
        String route =
                one instanceof LearnedState.RouteStats r
                        ? r.route()
                        : one instanceof LearnedState.DetectorBaseline b ? b.route() : "";
        return route.isEmpty() || here.routes().contains(route) ? null : "of no route here";
    }

    /**
     * Whether the list that was kept is to be started from, rather than one of a given version (-1
     * for none). A list that names too little or old addresses costs tries, until discovery tells
     * better.
     */
    public static boolean isPodListUsable(StateSnapshot kept, long ageNs, long otherVersion) {
        return kept.head().listVersion() > otherVersion
                && !kept.pods().isEmpty()
                && StateDecay.remainingFraction(StateDecay.Category.POD_LIST, ageNs) > 0;
    }

    /**
     * The news that was kept where it allows less than what is told at the start, else null. What
     * allows more is never remembered: a cap that has been lowered meanwhile would be passed.
     */
    public static RolloutStatus selectIfStricter(RolloutStatus kept, RolloutStatus told) {
        boolean back =
                kept.phase() == RolloutStatus.Phase.REVERTING
                        || kept.phase() == RolloutStatus.Phase.WITHDRAWN;
        boolean sooner =
                kept.build() > told.build()
                        || kept.build() == told.build()
                                && (told.phase() == RolloutStatus.Phase.ON_TRIAL
                                        || told.phase() == RolloutStatus.Phase.RELEASED);
        return back && sooner
                ? new RolloutStatus(kept.build(), kept.stage(), kept.phase(), 0, 0)
                : null;
    }
}
