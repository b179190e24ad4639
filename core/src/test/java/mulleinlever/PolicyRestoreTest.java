package mulleinlever;

import static mulleinlever.PolicyHarness.MILLISECOND_NS;
import static mulleinlever.PolicyHarness.SECOND_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Checks that a policy uses the state that an earlier start exported where it still applies, and
 * ignores it where not.
 */
class PolicyRestoreTest {
    private static final RolloutStatus OLD_BUILD_RELEASED =
            new RolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1, 0);

    private static PolicyHarness freshHarness(long seed, PodEntry... pods) {
        PolicyHarness harness = PolicyHarness.withDefaults(3, false, true, seed);
        harness.policy.onPodListReplaced(harness.nowNs, List.of(pods));
        harness.policy.onRolloutStatus(harness.nowNs, OLD_BUILD_RELEASED);
        return harness;
    }

    private static PodEntry[] pods(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> PolicyHarness.podEntry(i, 1, 0))
                .toArray(PodEntry[]::new);
    }

    /**
     * Serves reqs one after the other and returns the number of tries by pod.
     *
     * @param durationsMs how long each pod takes, by its number; 0 for a pod that answers with
     *     errors
     */
    private static int[] serveReqs(PolicyHarness harness, int reqCount, long... durationsMs) {
        int[] tryCounts = new int[durationsMs.length];
        for (int i = 0; i < reqCount; i++) {
            String id = "q" + harness.nowNs;
            harness.policy.onReq(
                    harness.nowNs, new Req(id, "get", false, false, 2 * SECOND_NS, 0, i, null, 0));
            for (int tryNumber = 0;
                    !harness.sentTries.isEmpty()
                            && harness.lastSent().reqId().equals(id)
                            && tryNumber < 2;
                    tryNumber++) {
                int pod = PolicyHarness.podNumber(harness.lastSent().podId());
                tryCounts[pod]++;
                harness.advance(Math.max(5, durationsMs[pod]) * MILLISECOND_NS);
                harness.endTry(
                        id,
                        tryNumber,
                        durationsMs[pod] > 0 ? TryOutcome.OK : TryOutcome.ERROR,
                        Math.max(5, durationsMs[pod]) * MILLISECOND_NS);
            }
            harness.advance(2 * MILLISECOND_NS);
        }
        return tryCounts;
    }

    private static List<LearnedState> exportLearned(PolicyHarness harness) {
        List<LearnedState> learned = new ArrayList<>();
        harness.policy.exportLearned(harness.nowNs).forEachRemaining(learned::add);
        return learned;
    }

    private static void restore(PolicyHarness harness, List<LearnedState> learned) {
        learned.forEach(l -> harness.policy.restoreLearned(harness.nowNs, l));
    }

    @Test
    void restoredSlowAndFailingPodsGetLessTraffic() {
        PolicyHarness before = freshHarness(1, pods(4));
        serveReqs(before, 60, 20, 20, 200, 0);
        List<LearnedState> learned = exportLearned(before);
        int[] unrestoredCounts = new int[4];
        int[] restoredCounts = new int[4];
        for (int seed = 2; seed < 60; seed++) {
            int[] unrestored = serveReqs(freshHarness(seed, pods(4)), 4, 20, 20, 200, 0);
            PolicyHarness harness = freshHarness(seed, pods(4));
            restore(harness, learned);
            int[] restored = serveReqs(harness, 4, 20, 20, 200, 0);
            for (int i = 0; i < 4; i++) {
                unrestoredCounts[i] += unrestored[i];
                restoredCounts[i] += restored[i];
            }
        }
        assertTrue(
                restoredCounts[2] < 0.6 * unrestoredCounts[2],
                restoredCounts[2] + " of " + unrestoredCounts[2] + " tries at the slow pod");
        assertTrue(
                restoredCounts[3] < 0.5 * unrestoredCounts[3],
                restoredCounts[3] + " of " + unrestoredCounts[3] + " tries at the failing pod");
    }

    @Test
    void freshAnswersOverrideRestoredStats() {
        PolicyHarness harness = freshHarness(1, pods(2));
        restore(
                harness,
                List.of(
                        new LearnedState.PodStats(
                                PolicyHarness.podEntry(0, 1, 0),
                                new LearnedState.WeightedMean(50, 1e6),
                                new LearnedState.WeightedMean(1, 1e6),
                                6)));
        harness.advance(5 * SECOND_NS);
        // After its ejection, the pod gets one try at a time while the other pod is busy.
        for (int i = 0; i < 40; i++) {
            harness.sendReq("a" + i, "get", 2 * SECOND_NS);
        }
        int firstIndex =
                IntStream.range(0, harness.sentTries.size())
                        .filter(i -> harness.sentTries.get(i).podId().equals("pod0"))
                        .findFirst()
                        .orElseThrow();
        assertEquals(1, harness.sentTries.stream().filter(s -> s.podId().equals("pod0")).count());
        harness.endTry(
                harness.sentTries.get(firstIndex).reqId(), 0, TryOutcome.OK, 20 * MILLISECOND_NS);
        for (int i = 0; i < 40; i++) {
            harness.sendReq("b" + i, "get", 2 * SECOND_NS);
        }
        assertTrue(harness.sentTries.stream().filter(s -> s.podId().equals("pod0")).count() > 1);
        int[] unrestoredCounts = serveReqs(freshHarness(2, pods(2)), 100, 20, 20);
        PolicyHarness wronglyRestored = freshHarness(2, pods(2));
        restore(
                wronglyRestored,
                List.of(
                        new LearnedState.PodStats(
                                PolicyHarness.podEntry(0, 1, 0),
                                new LearnedState.WeightedMean(5, 1e6),
                                new LearnedState.WeightedMean(1, 1e6),
                                0)));
        serveReqs(wronglyRestored, 60, 20, 20);
        int[] restoredCounts = serveReqs(wronglyRestored, 100, 20, 20);
        assertTrue(
                restoredCounts[0] > 0.6 * unrestoredCounts[0],
                restoredCounts[0] + " against " + unrestoredCounts[0]);
    }

    @Test
    void statsOfAnotherInstanceAreIgnored() {
        LearnedState.PodStats failingStats =
                new LearnedState.PodStats(
                        PolicyHarness.podEntry(0, 1, 50 * SECOND_NS),
                        new LearnedState.WeightedMean(9, 100),
                        new LearnedState.WeightedMean(1, 100),
                        6);
        for (PodEntry current :
                List.of(
                        PolicyHarness.podEntry(0, 1, 51 * SECOND_NS),
                        PolicyHarness.podEntry(0, 2, 50 * SECOND_NS),
                        PolicyHarness.podEntry(0, 1, 50 * SECOND_NS))) {
            PolicyHarness harness = freshHarness(1, current);
            harness.policy.onRolloutStatus(
                    harness.nowNs, new RolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1, 0));
            restore(
                    harness,
                    List.of(
                            failingStats,
                            new LearnedState.PodStats(
                                    PolicyHarness.podEntry(7, 1, 0),
                                    failingStats.slowness(),
                                    failingStats.late(),
                                    6)));
            LearnedState.PodStats exported =
                    exportLearned(harness).stream()
                            .filter(LearnedState.PodStats.class::isInstance)
                            .map(LearnedState.PodStats.class::cast)
                            .findAny()
                            .orElseThrow();
            boolean sameInstance = current.equals(failingStats.is());
            assertEquals(sameInstance ? 3 : 0, exported.strikes());
            assertEquals(sameInstance ? 4 : 0, exported.slowness().weight(), 1e-9);
        }
    }

    @Test
    void oneWayKeySurvivesRestart() {
        PolicyHarness before =
                freshHarness(1, PolicyHarness.podEntry(0, 1, 0), PolicyHarness.podEntry(1, 2, 0));
        before.policy.onRolloutStatus(
                before.nowNs, new RolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1, 0));
        before.policy.onPodListReplaced(before.nowNs, List.of(PolicyHarness.podEntry(1, 2, 0)));
        before.policy.onReq(
                before.nowNs, new Req("a", "get", false, false, SECOND_NS, 0, 7, null, 0));
        before.endTry("a", 0, TryOutcome.OK, 20 * MILLISECOND_NS);
        PolicyHarness after = freshHarness(2, PolicyHarness.podEntry(0, 1, 0));
        after.policy.onRolloutStatus(
                after.nowNs, new RolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1, 0));
        restore(after, exportLearned(before));
        after.policy.onReq(
                after.nowNs, new Req("c", "get", false, false, SECOND_NS, 0, 8, null, 0));
        after.policy.onReq(
                after.nowNs, new Req("b", "get", false, false, SECOND_NS, 0, 7, null, 0));
        assertEquals(
                List.of("c"), after.sentTries.stream().map(PolicyHarness.SentTry::reqId).toList());
    }

    @Test
    void baselineOfAnotherBuildIsIgnored() {
        LearnedState.DetectorBaseline baseline =
                new LearnedState.DetectorBaseline(1, "", false, 0.3, 0.1, 50);
        LearnedState.RouteStats route =
                new LearnedState.RouteStats(
                        "get",
                        1,
                        new LearnedState.WeightedMean(30 * MILLISECOND_NS, 50),
                        new LearnedState.WeightedMean(30 * MILLISECOND_NS, 50));
        for (int build : new int[] {1, 2, 3}) {
            // Build 1 is the newest build, or the build that the trial is compared with, or gone.
            PolicyHarness harness =
                    freshHarness(1, PolicyHarness.podEntry(0, build < 3 ? 1 : 2, 0));
            harness.policy.onRolloutStatus(
                    harness.nowNs,
                    new RolloutStatus(
                            build,
                            1,
                            build == 1
                                    ? RolloutStatus.Phase.RELEASED
                                    : RolloutStatus.Phase.ON_TRIAL,
                            0.5,
                            0));
            restore(
                    harness,
                    List.of(
                            baseline,
                            route,
                            new LearnedState.RouteStats("other", 1, route.times(), route.usual()),
                            new LearnedState.DetectorBaseline(1, "other", true, 1, 1, 1)));
            double mean =
                    exportLearned(harness).stream()
                            .filter(
                                    l ->
                                            l instanceof LearnedState.DetectorBaseline o
                                                    && o.route().isEmpty()
                                                    && !o.ofLate())
                            .mapToDouble(l -> ((LearnedState.DetectorBaseline) l).mean())
                            .sum();
            assertEquals(build < 3 ? 0.3 : 0, mean, 1e-9);
            double usualWeight =
                    exportLearned(harness).stream()
                            .filter(LearnedState.RouteStats.class::isInstance)
                            .mapToDouble(l -> ((LearnedState.RouteStats) l).usual().weight())
                            .sum();
            assertEquals(build < 3 ? 4 : 0, usualWeight, 1e-9);
        }
    }

    @Test
    void exportToleratesListChanges() {
        PolicyHarness harness = freshHarness(1, pods(50));
        Iterator<LearnedState> pieces = harness.policy.exportLearned(harness.nowNs);
        int pieceCount = 0;
        while (pieces.hasNext()) {
            pieces.next();
            harness.policy.onPodListUpdated(
                    harness.nowNs, List.of(PolicyHarness.podEntry(100 + pieceCount++, 1, 0)));
        }
        assertTrue(pieceCount >= 50);
        assertFalse(exportLearned(harness).isEmpty());
    }

    @Test
    void firstTriesAtEjectedPodAreSpread() {
        int firstAtEjectedPod = 0;
        for (int seed = 0; seed < 200; seed++) {
            PolicyHarness harness = freshHarness(seed, pods(4));
            restore(
                    harness,
                    List.of(
                            new LearnedState.PodStats(
                                    PolicyHarness.podEntry(0, 1, 0),
                                    new LearnedState.WeightedMean(1, 4),
                                    new LearnedState.WeightedMean(0, 4),
                                    6)));
            harness.advance(400 * MILLISECOND_NS);
            serveReqs(harness, 1, 20, 20, 20, 20);
            firstAtEjectedPod += harness.sentTries.get(0).podId().equals("pod0") ? 1 : 0;
        }
        assertTrue(
                firstAtEjectedPod < 20, firstAtEjectedPod + " of 200 began with the ejected pod");
    }
}
