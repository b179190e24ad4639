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

class SnapshotFilterTest {
    private static final long S = 1_000_000_000L;

    /** The list as another start meets it: some pods gone, some started anew, some elsewhere. */
    private static SnapshotFilter.RestoreContext met(StateSnapshot kept, SplittableRandom random) {
        Map<String, PodEntry> pods = new HashMap<>();
        Map<String, String> addresses = new HashMap<>();
        for (StateSnapshot.PodSnapshot p : kept.pods()) {
            PodEntry is = p.learned().is();
            int what = random.nextInt(8);
            if (what == 0) {
                continue;
            }
            pods.put(
                    is.id(),
                    new PodEntry(
                            is.id(),
                            is.zone(),
                            is.kind(),
                            is.cell(),
                            is.build() + (what == 1 ? 1 : 0),
                            what == 2 ? PodEntry.State.GONE : PodEntry.State.READY,
                            1,
                            is.startedNs() + (what == 3 ? 1 : 0)));
            addresses.put(is.id(), what == 4 ? "10.9.9.9:1" : p.address());
        }
        return new SnapshotFilter.RestoreContext(
                random.nextInt(5) == 0 ? "b" : "a", Set.of("get", "other"), pods, addresses);
    }

    @Test
    void filterAgreesWithReferenceModel() {
        SplittableRandom random = new SplittableRandom(8);
        int left = 0;
        for (int round = 0; round < 300; round++) {
            StateSnapshot kept = SampleSnapshots.snapshot(round, 20);
            SnapshotFilter.RestoreContext here = met(kept, random);
            long age =
                    random.nextInt(6) == 0 ? StateDecay.UNKNOWN_AGE_NS : random.nextLong(1000 * S);
            List<LearnedState> expected = new ArrayList<>();
            for (StateSnapshot.PodSnapshot p : kept.pods()) {
                PodEntry then = p.learned().is();
                PodEntry now = here.pods().get(then.id());
                boolean same =
                        now != null
                                && now.state() != PodEntry.State.GONE
                                && now.build() == then.build()
                                && now.startedNs() == then.startedNs()
                                && p.address().equals(here.podAddresses().get(then.id()));
                expected.add(
                        same && here.zone().equals("a")
                                ? StateDecay.decay(p.learned(), age)
                                : null);
            }
            for (LearnedState l : kept.learnedValues()) {
                boolean ofPut = l.toString().contains("route=put");
                boolean elsewhere =
                        l instanceof LearnedState.ConnectionStats && !here.zone().equals("a");
                expected.add(ofPut || elsewhere ? null : StateDecay.decay(l, age));
            }
            SnapshotFilter.RestoreResult taken = SnapshotFilter.filter(kept, age, here);
            assertEquals(
                    expected.stream().filter(Objects::nonNull).toList(), taken.restoredValues());
            int out = taken.rejectedCounts().values().stream().mapToInt(n -> n).sum();
            assertEquals(expected.size(), taken.restoredValues().size() + out);
            left += out;
        }
        assertTrue(left > 1000);
    }

    @Test
    void logLineListsRestoredAndRejected() {
        StateSnapshot kept = SampleSnapshots.snapshot(1, 3);
        Map<String, PodEntry> pods = new HashMap<>();
        Map<String, String> addresses = new HashMap<>();
        kept.pods()
                .subList(0, 2)
                .forEach(
                        p -> {
                            pods.put(p.learned().is().id(), p.learned().is());
                            addresses.put(p.learned().is().id(), p.address());
                        });
        String line =
                SnapshotFilter.filter(
                                kept,
                                0,
                                new SnapshotFilter.RestoreContext(
                                        "a", Set.of("put"), pods, addresses))
                        .toString();
        assertTrue(
                line.matches(
                        "(\\d baselines, )(\\d keys, )?1 links, 2 pods, 1 routes; left out: 1 baselines of no route "
                                + "here, 1 pods gone, 1 routes of no route here"),
                line);
    }

    @Test
    void podListIsUsableOnlyIfNewerAndNotTooOld() {
        StateSnapshot kept = SampleSnapshots.snapshot(1, 3);
        assertTrue(SnapshotFilter.isPodListUsable(kept, 0, 40));
        assertTrue(SnapshotFilter.isPodListUsable(kept, 3600 * S, -1));
        assertTrue(
                !SnapshotFilter.isPodListUsable(kept, 3601 * S, -1)
                        && !SnapshotFilter.isPodListUsable(kept, 0, 41)
                        && !SnapshotFilter.isPodListUsable(kept, StateDecay.UNKNOWN_AGE_NS, 40)
                        && !SnapshotFilter.isPodListUsable(SampleSnapshots.snapshot(1, 0), 0, 40));
    }

    @Test
    void newsIsRestoredOnlyIfStricter() {
        for (Phase then : Phase.values()) {
            for (Phase now : Phase.values()) {
                for (int build = 41; build <= 43; build++) {
                    RolloutStatus kept = new RolloutStatus(build, 2, then, 0.7, 0);
                    RolloutStatus told = new RolloutStatus(42, 1, now, 0.2, 500);
                    RolloutStatus taken = SnapshotFilter.selectIfStricter(kept, told);
                    boolean back = then == Phase.REVERTING || then == Phase.WITHDRAWN;
                    boolean forth = now == Phase.ON_TRIAL || now == Phase.RELEASED;
                    if (back && (build == 43 || build == 42 && forth)) {
                        assertEquals(new RolloutStatus(build, 2, then, 0, 0), taken);
                    } else {
                        assertNull(taken);
                    }
                }
            }
        }
    }
}
