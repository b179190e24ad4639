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

/** What one start learned, given to the next. */
class PolicyRestoreTest {
    private static final RolloutStatus OLD =
            new RolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1, 0);

    private static PolicyHarness fresh(long seed, PodEntry... pods) {
        PolicyHarness b = PolicyHarness.withDefaults(3, false, true, seed);
        b.policy.onPodListReplaced(b.nowNs, List.of(pods));
        b.policy.onRolloutStatus(b.nowNs, OLD);
        return b;
    }

    private static PodEntry[] pods(int n) {
        return IntStream.range(0, n)
                .mapToObj(i -> PolicyHarness.podEntry(i, 1, 0))
                .toArray(PodEntry[]::new);
    }

    /**
     * One req after the other; how long each pod takes is told by its number, 0 for one that
     * errors.
     */
    private static int[] serve(PolicyHarness b, int reqs, long... tookMs) {
        int[] at = new int[tookMs.length];
        for (int i = 0; i < reqs; i++) {
            String id = "q" + b.nowNs;
            b.policy.onReq(b.nowNs, new Req(id, "get", false, false, 2 * SECOND_NS, 0, i, null));
            for (int no = 0;
                    !b.sentTries.isEmpty() && b.lastSent().reqId().equals(id) && no < 2;
                    no++) {
                int pod = PolicyHarness.podNumber(b.lastSent().pod());
                at[pod]++;
                b.advance(Math.max(5, tookMs[pod]) * MILLISECOND_NS);
                b.endTry(
                        id,
                        no,
                        tookMs[pod] > 0 ? TryOutcome.OK : TryOutcome.ERROR,
                        Math.max(5, tookMs[pod]) * MILLISECOND_NS);
            }
            b.advance(2 * MILLISECOND_NS);
        }
        return at;
    }

    private static List<LearnedState> learnedBy(PolicyHarness b) {
        List<LearnedState> all = new ArrayList<>();
        b.policy.exportLearned(b.nowNs).forEachRemaining(all::add);
        return all;
    }

    private static void recall(PolicyHarness b, List<LearnedState> all) {
        all.forEach(l -> b.policy.restoreLearned(b.nowNs, l));
    }

    @Test
    void restoredSlowAndFailingPodsGetLessTraffic() {
        PolicyHarness before = fresh(1, pods(4));
        serve(before, 60, 20, 20, 200, 0);
        List<LearnedState> learned = learnedBy(before);
        int[] cold = new int[4];
        int[] warm = new int[4];
        for (int seed = 2; seed < 60; seed++) {
            int[] c = serve(fresh(seed, pods(4)), 4, 20, 20, 200, 0);
            PolicyHarness b = fresh(seed, pods(4));
            recall(b, learned);
            int[] w = serve(b, 4, 20, 20, 200, 0);
            for (int i = 0; i < 4; i++) {
                cold[i] += c[i];
                warm[i] += w[i];
            }
        }
        assertTrue(warm[2] < 0.6 * cold[2], warm[2] + " of " + cold[2] + " at the slow one");
        assertTrue(warm[3] < 0.5 * cold[3], warm[3] + " of " + cold[3] + " at the failing one");
    }

    @Test
    void freshAnswersOverrideRestoredStats() {
        PolicyHarness b = fresh(1, pods(2));
        recall(
                b,
                List.of(
                        new LearnedState.PodStats(
                                PolicyHarness.podEntry(0, 1, 0),
                                new LearnedState.WeightedMean(50, 1e6),
                                new LearnedState.WeightedMean(1, 1e6),
                                6)));
        b.advance(5 * SECOND_NS);
        // Rested, it gets one try at a time while the other is busy.
        for (int i = 0; i < 40; i++) {
            b.sendReq("a" + i, "get", 2 * SECOND_NS);
        }
        int first =
                IntStream.range(0, b.sentTries.size())
                        .filter(i -> b.sentTries.get(i).pod().equals("pod0"))
                        .findFirst()
                        .orElseThrow();
        assertEquals(1, b.sentTries.stream().filter(s -> s.pod().equals("pod0")).count());
        b.endTry(b.sentTries.get(first).reqId(), 0, TryOutcome.OK, 20 * MILLISECOND_NS);
        for (int i = 0; i < 40; i++) {
            b.sendReq("b" + i, "get", 2 * SECOND_NS);
        }
        assertTrue(b.sentTries.stream().filter(s -> s.pod().equals("pod0")).count() > 1);
        int[] at = serve(fresh(2, pods(2)), 100, 20, 20);
        PolicyHarness wrong = fresh(2, pods(2));
        recall(
                wrong,
                List.of(
                        new LearnedState.PodStats(
                                PolicyHarness.podEntry(0, 1, 0),
                                new LearnedState.WeightedMean(5, 1e6),
                                new LearnedState.WeightedMean(1, 1e6),
                                0)));
        serve(wrong, 60, 20, 20);
        int[] then = serve(wrong, 100, 20, 20);
        assertTrue(then[0] > 0.6 * at[0], then[0] + " against " + at[0]);
    }

    @Test
    void statsOfAnotherInstanceAreIgnored() {
        LearnedState.PodStats sick =
                new LearnedState.PodStats(
                        PolicyHarness.podEntry(0, 1, 50 * SECOND_NS),
                        new LearnedState.WeightedMean(9, 100),
                        new LearnedState.WeightedMean(1, 100),
                        6);
        for (PodEntry now :
                List.of(
                        PolicyHarness.podEntry(0, 1, 51 * SECOND_NS),
                        PolicyHarness.podEntry(0, 2, 50 * SECOND_NS),
                        PolicyHarness.podEntry(0, 1, 50 * SECOND_NS))) {
            PolicyHarness b = fresh(1, now);
            b.policy.onRolloutStatus(
                    b.nowNs, new RolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1, 0));
            recall(
                    b,
                    List.of(
                            sick,
                            new LearnedState.PodStats(
                                    PolicyHarness.podEntry(7, 1, 0),
                                    sick.slowness(),
                                    sick.late(),
                                    6)));
            LearnedState.PodStats got =
                    learnedBy(b).stream()
                            .filter(LearnedState.PodStats.class::isInstance)
                            .map(LearnedState.PodStats.class::cast)
                            .findAny()
                            .orElseThrow();
            boolean same = now.equals(sick.is());
            assertEquals(same ? 3 : 0, got.strikes());
            assertEquals(same ? 4 : 0, got.slowness().weight(), 1e-9);
        }
    }

    @Test
    void oneWayKeySurvivesRestart() {
        PolicyHarness before =
                fresh(1, PolicyHarness.podEntry(0, 1, 0), PolicyHarness.podEntry(1, 2, 0));
        before.policy.onRolloutStatus(
                before.nowNs, new RolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1, 0));
        before.policy.onPodListReplaced(before.nowNs, List.of(PolicyHarness.podEntry(1, 2, 0)));
        before.policy.onReq(before.nowNs, new Req("a", "get", false, false, SECOND_NS, 0, 7, null));
        before.endTry("a", 0, TryOutcome.OK, 20 * MILLISECOND_NS);
        PolicyHarness after = fresh(2, PolicyHarness.podEntry(0, 1, 0));
        after.policy.onRolloutStatus(
                after.nowNs, new RolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1, 0));
        recall(after, learnedBy(before));
        after.policy.onReq(after.nowNs, new Req("c", "get", false, false, SECOND_NS, 0, 8, null));
        after.policy.onReq(after.nowNs, new Req("b", "get", false, false, SECOND_NS, 0, 7, null));
        assertEquals(
                List.of("c"), after.sentTries.stream().map(PolicyHarness.SentTry::reqId).toList());
    }

    @Test
    void baselineOfAnotherBuildIsIgnored() {
        LearnedState.DetectorBaseline base =
                new LearnedState.DetectorBaseline(1, "", false, 0.3, 0.1, 50);
        LearnedState.RouteStats route =
                new LearnedState.RouteStats(
                        "get",
                        1,
                        new LearnedState.WeightedMean(30 * MILLISECOND_NS, 50),
                        new LearnedState.WeightedMean(30 * MILLISECOND_NS, 50));
        for (int build : new int[] {1, 2, 3}) {
            // Build 1 is the newest, or the one that the trial is held against, or gone.
            PolicyHarness b = fresh(1, PolicyHarness.podEntry(0, build < 3 ? 1 : 2, 0));
            b.policy.onRolloutStatus(
                    b.nowNs,
                    new RolloutStatus(
                            build,
                            1,
                            build == 1
                                    ? RolloutStatus.Phase.RELEASED
                                    : RolloutStatus.Phase.ON_TRIAL,
                            0.5,
                            0));
            recall(
                    b,
                    List.of(
                            base,
                            route,
                            new LearnedState.RouteStats("other", 1, route.times(), route.usual()),
                            new LearnedState.DetectorBaseline(1, "other", true, 1, 1, 1)));
            double mean =
                    learnedBy(b).stream()
                            .filter(
                                    l ->
                                            l instanceof LearnedState.DetectorBaseline o
                                                    && o.route().isEmpty()
                                                    && !o.ofLate())
                            .mapToDouble(l -> ((LearnedState.DetectorBaseline) l).mean())
                            .sum();
            assertEquals(build < 3 ? 0.3 : 0, mean, 1e-9);
            double usual =
                    learnedBy(b).stream()
                            .filter(LearnedState.RouteStats.class::isInstance)
                            .mapToDouble(l -> ((LearnedState.RouteStats) l).usual().weight())
                            .sum();
            assertEquals(build < 3 ? 4 : 0, usual, 1e-9);
        }
    }

    @Test
    void exportToleratesListChanges() {
        PolicyHarness b = fresh(1, pods(50));
        Iterator<LearnedState> pieces = b.policy.exportLearned(b.nowNs);
        int n = 0;
        while (pieces.hasNext()) {
            pieces.next();
            b.policy.onPodListUpdated(b.nowNs, List.of(PolicyHarness.podEntry(100 + n++, 1, 0)));
        }
        assertTrue(n >= 50);
        assertFalse(learnedBy(b).isEmpty());
    }

    @Test
    void firstTriesAtEjectedPodAreSpread() {
        int atOnce = 0;
        for (int seed = 0; seed < 200; seed++) {
            PolicyHarness b = fresh(seed, pods(4));
            recall(
                    b,
                    List.of(
                            new LearnedState.PodStats(
                                    PolicyHarness.podEntry(0, 1, 0),
                                    new LearnedState.WeightedMean(1, 4),
                                    new LearnedState.WeightedMean(0, 4),
                                    6)));
            b.advance(400 * MILLISECOND_NS);
            serve(b, 1, 20, 20, 20, 20);
            atOnce += b.sentTries.get(0).pod().equals("pod0") ? 1 : 0;
        }
        assertTrue(atOnce < 20, atOnce + " of 200 began with the sick pod");
    }
}
