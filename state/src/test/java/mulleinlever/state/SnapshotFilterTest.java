package mulleinlever.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import mulleinlever.RolloutStatus;
import mulleinlever.RolloutStatus.Phase;
import org.junit.jupiter.api.Test;

/** Tests which saved values are restored, against an independent model of the rules. */
class SnapshotFilterTest {
    private static final long SECOND_NS = 1_000_000_000L;

    /**
     * Returns the environment after a restart: some pods of the snapshot are gone, restarted, of
     * another build or at another address, and the zone of the sidecar may differ.
     */
    private static SnapshotFilter.RestoreContext randomContext(
            StateSnapshot snapshot, SplittableRandom random) {
        Map<String, PodEntry> pods = new HashMap<>();
        Map<String, String> addresses = new HashMap<>();
        for (StateSnapshot.PodSnapshot pod : snapshot.pods()) {
            PodEntry entry = pod.learned().is();
            int change = random.nextInt(8);
            if (change == 0) {
                continue;
            }
            pods.put(
                    entry.id(),
                    new PodEntry(
                            entry.id(),
                            entry.zone(),
                            entry.kind(),
                            entry.cell(),
                            entry.build() + (change == 1 ? 1 : 0),
                            change == 2 ? PodEntry.State.GONE : PodEntry.State.READY,
                            1,
                            entry.startedNs() + (change == 3 ? 1 : 0)));
            addresses.put(entry.id(), change == 4 ? "10.9.9.9:1" : pod.address());
        }
        return new SnapshotFilter.RestoreContext(
                random.nextInt(5) == 0 ? "b" : "a", Set.of("get", "other"), pods, addresses);
    }

    @Test
    void filterAgreesWithReferenceModel() {
        SplittableRandom random = new SplittableRandom(8);
        int rejectedCount = 0;
        for (int round = 0; round < 300; round++) {
            StateSnapshot snapshot = SampleSnapshots.snapshot(round, 20);
            SnapshotFilter.RestoreContext context = randomContext(snapshot, random);
            long ageNs =
                    random.nextInt(6) == 0
                            ? StateDecay.UNKNOWN_AGE_NS
                            : random.nextLong(1000 * SECOND_NS);
            List<LearnedState> expected = new ArrayList<>();
            for (StateSnapshot.PodSnapshot pod : snapshot.pods()) {
                PodEntry saved = pod.learned().is();
                PodEntry current = context.pods().get(saved.id());
                boolean isSamePod =
                        current != null
                                && current.state() != PodEntry.State.GONE
                                && current.build() == saved.build()
                                && current.startedNs() == saved.startedNs()
                                && pod.address().equals(context.podAddresses().get(saved.id()));
                expected.add(
                        isSamePod && context.zone().equals("a")
                                ? StateDecay.decay(pod.learned(), ageNs)
                                : null);
            }
            for (LearnedState value : snapshot.learnedValues()) {
                boolean isUnknownRoute = value.toString().contains("route=put");
                boolean isOtherZone =
                        value instanceof LearnedState.ConnectionStats
                                && !context.zone().equals("a");
                expected.add(isUnknownRoute || isOtherZone ? null : StateDecay.decay(value, ageNs));
            }
            SnapshotFilter.RestoreResult result = SnapshotFilter.filter(snapshot, ageNs, context);
            assertEquals(
                    expected.stream().filter(Objects::nonNull).toList(), result.restoredValues());
            int rejectedInRound = result.rejectedCounts().values().stream().mapToInt(n -> n).sum();
            assertEquals(expected.size(), result.restoredValues().size() + rejectedInRound);
            rejectedCount += rejectedInRound;
        }
        assertTrue(rejectedCount > 1000);
    }

    @Test
    void logLineListsRestoredAndRejected() {
        StateSnapshot snapshot = SampleSnapshots.snapshot(1, 3);
        Map<String, PodEntry> pods = new HashMap<>();
        Map<String, String> addresses = new HashMap<>();
        snapshot.pods()
                .subList(0, 2)
                .forEach(
                        p -> {
                            pods.put(p.learned().is().id(), p.learned().is());
                            addresses.put(p.learned().is().id(), p.address());
                        });
        String line =
                SnapshotFilter.filter(
                                snapshot,
                                0,
                                new SnapshotFilter.RestoreContext(
                                        "a", Set.of("put"), pods, addresses))
                        .toString();
        assertTrue(
                line.matches(
                        "(\\d baselines, )(\\d keys, )?1 links, 2 pods, 1 routes; not restored: 1 baselines of an "
                                + "unknown route, 1 pods gone, 1 routes of an unknown route"),
                line);
    }

    @Test
    void podListIsUsableOnlyIfNewerAndNotTooOld() {
        StateSnapshot snapshot = SampleSnapshots.snapshot(1, 3);
        assertTrue(SnapshotFilter.isPodListUsable(snapshot, 0, 40));
        assertTrue(SnapshotFilter.isPodListUsable(snapshot, 3600 * SECOND_NS, -1));
        assertTrue(
                !SnapshotFilter.isPodListUsable(snapshot, 3601 * SECOND_NS, -1)
                        && !SnapshotFilter.isPodListUsable(snapshot, 0, 41)
                        && !SnapshotFilter.isPodListUsable(snapshot, StateDecay.UNKNOWN_AGE_NS, 40)
                        && !SnapshotFilter.isPodListUsable(SampleSnapshots.snapshot(1, 0), 0, 40));
    }

    @Test
    void rolloutStatusIsRestoredOnlyIfStricter() {
        for (Phase savedPhase : Phase.values()) {
            for (Phase currentPhase : Phase.values()) {
                for (int build = 41; build <= 43; build++) {
                    RolloutStatus saved = new RolloutStatus(build, 2, savedPhase, 0.7, 0);
                    RolloutStatus current = new RolloutStatus(42, 1, currentPhase, 0.2, 500);
                    RolloutStatus selected = SnapshotFilter.selectIfStricter(saved, current);
                    boolean isRevertingOrWithdrawn =
                            savedPhase == Phase.REVERTING || savedPhase == Phase.WITHDRAWN;
                    boolean isCurrentActive =
                            currentPhase == Phase.ON_TRIAL || currentPhase == Phase.RELEASED;
                    if (isRevertingOrWithdrawn && (build == 43 || build == 42 && isCurrentActive)) {
                        assertEquals(new RolloutStatus(build, 2, savedPhase, 0, 0), selected);
                    } else {
                        assertNull(selected);
                    }
                }
            }
        }
    }
}
