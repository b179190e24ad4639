package mulleinlever;

import static mulleinlever.PolicyHarness.MILLISECOND_NS;
import static mulleinlever.PolicyHarness.SECOND_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** One small test for each failure that was found. */
class PolicyRegressionTest {
    /**
     * Answers reqs at a steady pace; {@code tookMs} says how long each takes, or nothing for a
     * failure.
     */
    private interface AnswerTimes {
        long tookMs(PodEntry pod, int i);
    }

    private static void serve(
            PolicyHarness b, int seconds, AnswerTimes answers, List<PodEntry> pods) {
        for (int i = 0; i < seconds * 50; i++) {
            String id = b.nowNs + "";
            b.sendReq(id, "get", 2 * SECOND_NS);
            if (b.sentTries.size() > 0 && b.lastSent().reqId().equals(id)) {
                String at = b.lastSent().pod();
                long took =
                        answers.tookMs(
                                pods.stream().filter(p -> p.id().equals(at)).findFirst().get(), i);
                b.endTry(
                        id,
                        0,
                        took > 0 ? TryOutcome.OK : TryOutcome.ERROR,
                        Math.max(20, took) * MILLISECOND_NS);
            }
            b.advance(20 * MILLISECOND_NS);
        }
    }

    private static List<PodEntry> fleet(PolicyHarness b, int old, int young) {
        List<PodEntry> all =
                IntStream.range(0, old + young)
                        .mapToObj(i -> PolicyHarness.podEntry(i, i < old ? 1 : 2, 0))
                        .toList();
        b.policy.onPodListReplaced(b.nowNs, all);
        return all;
    }

    private static RolloutVote verdict(AnswerTimes before, AnswerTimes during) {
        PolicyHarness b =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        List<PodEntry> pods = fleet(b, 8, 0);
        serve(b, 8, before, pods);
        pods = fleet(b, 8, 4);
        b.setRolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 0.7);
        serve(b, 12, during, pods);
        return b.votes.get(b.votes.size() - 1).verdict();
    }

    private static long usual(int i) {
        return 60 + i * 37 % 81;
    }

    @Test
    void alarmVotesRollbackOnErrorsAndLateness() {
        assertEquals(RolloutVote.ON, verdict((p, i) -> usual(i), (p, i) -> usual(i)));
        assertEquals(
                RolloutVote.BACK,
                verdict((p, i) -> usual(i), (p, i) -> p.build() == 2 && i % 3 == 0 ? 0 : usual(i)));
        assertEquals(
                RolloutVote.BACK,
                verdict((p, i) -> usual(i), (p, i) -> usual(i) * (p.build() == 2 ? 3 : 1)));
    }

    @Test
    void buildThatSlowsAllPodsIsRolledBack() {
        assertEquals(RolloutVote.BACK, verdict((p, i) -> usual(i), (p, i) -> 3 * usual(i)));
    }

    @Test
    void failuresOfAllPodsDoNotRollBack() {
        assertEquals(
                RolloutVote.ON, verdict((p, i) -> usual(i), (p, i) -> i % 5 == 0 ? 0 : usual(i)));
    }

    @Test
    void slowdownAfterReleaseDoesNotRollBack() {
        PolicyHarness b =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 8, (p, i) -> usual(i), fleet(b, 8, 0));
        List<PodEntry> pods = fleet(b, 8, 4);
        b.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        serve(b, 5, (p, i) -> usual(i), pods);
        b.setRolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1);
        pods = pods.subList(8, 12);
        b.policy.onPodListReplaced(b.nowNs, pods);
        serve(b, 9, (p, i) -> 3 * usual(i), pods);
        assertTrue(b.votes.stream().noneMatch(v -> v.verdict() == RolloutVote.BACK));
    }

    @Test
    void twoComplaintsDoNotRollBack() {
        PolicyHarness b =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 8, (p, i) -> usual(i), fleet(b, 8, 0));
        List<PodEntry> pods = fleet(b, 8, 4);
        b.setRolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 0.7);
        serve(b, 2, (p, i) -> usual(i), pods);
        b.policy.onComplaint(b.nowNs, "pod9", "get");
        b.policy.onComplaint(b.nowNs, "pod10", "get");
        serve(b, 4, (p, i) -> usual(i), pods);
        assertTrue(b.votes.stream().noneMatch(v -> v.verdict() == RolloutVote.BACK));
    }

    @Test
    void lastApprovalWaitsForOutcomesUpToALimit() {
        PolicyHarness b = PolicyHarness.withDefaults().addPods(4, 1);
        b.setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1)
                .setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        b.advance(5 * SECOND_NS);
        assertTrue(b.votes.isEmpty());
        b.advance(15 * SECOND_NS);
        assertEquals(RolloutVote.ON, b.votes.get(0).verdict());
    }

    @Test
    void keysAreReleasedWhenBuildIsWithdrawn() {
        PolicyHarness b = PolicyHarness.withDefaults(3, false, true, 1);
        b.policy.onPodListReplaced(b.nowNs, List.of(PolicyHarness.podEntry(0, 2, 0)));
        b.setRolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1);
        b.policy.onReq(b.nowNs, new Req("a", "get", false, false, SECOND_NS, 0, 7, null));
        b.endTry("a", 0, TryOutcome.OK, 50 * MILLISECOND_NS);
        b.policy.onPodListReplaced(b.nowNs, List.of(PolicyHarness.podEntry(1, 1, 0)));
        b.policy.onReq(b.nowNs, new Req("b", "get", false, false, SECOND_NS, 0, 7, null));
        assertEquals(1, b.sentTries.size());
        b.setRolloutStatus(2, 2, RolloutStatus.Phase.WITHDRAWN, 0);
        assertEquals("pod1", b.lastSent().pod());
    }

    @Test
    void unresponsivePodIsAvoidedAndItsReqRetried() {
        PolicyHarness b =
                PolicyHarness.withDefaults()
                        .addPods(2, 1)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(
                b,
                2,
                (p, i) -> 20,
                List.of(PolicyHarness.podEntry(0, 1, 0), PolicyHarness.podEntry(1, 1, 0)));
        b.sendReq("a", "get", 2 * SECOND_NS);
        String hung = b.lastSent().pod();
        b.advance(300 * MILLISECOND_NS);
        assertEquals(List.of("a"), b.cancelledReqs);
        b.endTry("a", 0, TryOutcome.CANCELLED, 300 * MILLISECOND_NS);
        assertFalse(b.lastSent().pod().equals(hung));
        b.endTry("a", 1, TryOutcome.OK, 20 * MILLISECOND_NS);
        for (int i = 0; i < 10; i++) {
            b.sendReq("more" + i, "get", 2 * SECOND_NS);
            assertFalse(b.lastSent().pod().equals(hung));
            b.endTry("more" + i, 0, TryOutcome.OK, 20 * MILLISECOND_NS);
        }
    }

    @Test
    void panicModeSpreadsLoadWhenMostPodsFail() {
        PolicyHarness b =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        List<PodEntry> pods = fleet(b, 12, 0);
        serve(b, 10, (p, i) -> !p.id().equals("pod0") && i % 3 == 0 ? 0 : 100, pods);
        int from = b.sentTries.size();
        serve(b, 10, (p, i) -> !p.id().equals("pod0") && i % 3 == 0 ? 0 : 100, pods);
        var late = b.sentTries.subList(from, b.sentTries.size());
        long toOne = late.stream().filter(s -> s.pod().equals("pod0")).count();
        assertTrue(toOne < late.size() / 3, toOne + " of " + late.size());
    }

    @Test
    void reqFailedByTwoPodsIsNotRetried() {
        PolicyHarness b =
                PolicyHarness.withDefaults()
                        .addPods(6, 1)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        b.sendReq("poison", "get", 2 * SECOND_NS);
        b.endTry("poison", 0, TryOutcome.ERROR, 5 * MILLISECOND_NS);
        b.endTry("poison", 1, TryOutcome.ERROR, 5 * MILLISECOND_NS);
        assertEquals("shed", b.finalAnswers.get("poison"));
        assertEquals(2, b.sentTries.size());
    }

    @Test
    void queuedReqIsAnsweredBeforeDeadline() {
        PolicyHarness b =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        b.sendReq("a", "get", 100 * MILLISECOND_NS);
        b.advance(12 * MILLISECOND_NS);
        b.sendReq("b", "get", 33 * MILLISECOND_NS);
        b.advance(33 * MILLISECOND_NS);
        assertEquals("shed", b.finalAnswers.get("b"));
    }

    @Test
    void sidecarsDoNotAllSendToColdPodAtOnce() {
        int toCold = 0;
        for (int i = 0; i < 300; i++) {
            PolicyHarness b = PolicyHarness.withDefaults(300, false, false, i);
            b.addPods(4, 1).setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
            serve(b, 2, (p, n) -> 100, fleet(b, 4, 0));
            PodEntry cold = PolicyHarness.podEntry(4, 1, b.nowNs);
            b.policy.onPodListUpdated(b.nowNs, List.of(cold));
            b.sendReq("first", "get", 2 * SECOND_NS);
            toCold += b.lastSent().pod().equals(cold.id()) ? 1 : 0;
        }
        assertTrue(toCold < 15, toCold + " of 300");
    }

    @Test
    void tallyDecidesWhenOwnTrafficIsThin() {
        for (int failed : new int[] {0, 30}) {
            PolicyHarness b =
                    PolicyHarness.withDefaults()
                            .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
            serve(b, 3, (p, i) -> usual(i), fleet(b, 8, 4));
            b.setRolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 0);
            for (int i = 0; i < 5; i++) {
                b.policy.onPlatformTally(
                        b.nowNs, "get", 1, 100, 0, 100 * MILLISECOND_NS, SECOND_NS);
                b.policy.onPlatformTally(
                        b.nowNs, "get", 2, 100, failed, 100 * MILLISECOND_NS, SECOND_NS);
                b.advance(2 * SECOND_NS);
            }
            assertEquals(
                    failed > 0 ? RolloutVote.BACK : RolloutVote.ON,
                    b.votes.get(b.votes.size() - 1).verdict());
        }
    }

    @Test
    void failuresAfterReleaseDoNotRollBack() {
        PolicyHarness b =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 4, (p, i) -> usual(i), fleet(b, 8, 4));
        b.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        serve(b, 4, (p, i) -> usual(i), fleet(b, 8, 8));
        b.setRolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1);
        b.advance(12 * SECOND_NS);
        serve(b, 8, (p, i) -> i % 2 == 0 ? 0 : usual(i), fleet(b, 0, 8));
        assertTrue(b.votes.stream().noneMatch(v -> v.verdict() == RolloutVote.BACK));
    }

    @Test
    void hedgedTryStartsInTimeForLostAnswer() {
        PolicyHarness b =
                PolicyHarness.withDefaults(3, true, false, 1)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 1, (p, i) -> 50, fleet(b, 8, 0));
        b.sendReq("lost", "get", 2 * SECOND_NS);
        for (int i = 0; i < 20; i++) {
            b.sendReq("quick" + i, "get", 2 * SECOND_NS);
            b.endTry(
                    "quick" + i,
                    0,
                    i % 4 == 0 ? TryOutcome.TIMEOUT : TryOutcome.OK,
                    i % 4 == 0 ? 900 * MILLISECOND_NS : 50 * MILLISECOND_NS);
        }
        b.advance(450 * MILLISECOND_NS);
        assertEquals(2, b.sentTries.stream().filter(s -> s.reqId().equals("lost")).count());
    }

    @Test
    void trialTakesFullLoadUntilSuspect() {
        PolicyHarness b =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 4, (p, i) -> usual(i), fleet(b, 8, 0));
        List<PodEntry> pods = fleet(b, 8, 8);
        b.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        int from = b.sentTries.size();
        serve(b, 2, (p, i) -> usual(i), pods);
        List<PolicyHarness.SentTry> calm = b.sentTries.subList(from, b.sentTries.size());
        assertTrue(
                calm.stream().filter(s -> PolicyHarness.podNumber(s.pod()) >= 8).count()
                        > 0.8 * calm.size());
        serve(b, 3, (p, i) -> p.build() == 2 ? 4 * usual(i) : usual(i), pods);
        int then = b.sentTries.size();
        serve(b, 2, (p, i) -> usual(i), pods);
        var doubted = b.sentTries.subList(then, b.sentTries.size());
        assertTrue(
                doubted.stream().filter(s -> PolicyHarness.podNumber(s.pod()) >= 8).count()
                        < 0.4 * doubted.size());
    }

    private static int podsKnown(Policy policy) throws ReflectiveOperationException {
        var pods = Policy.class.getDeclaredField("pods");
        pods.setAccessible(true);
        return ((Map<?, ?>) pods.get(policy)).size();
    }

    @Test
    void gonePodsAreEvicted() throws ReflectiveOperationException {
        PolicyHarness b = PolicyHarness.withDefaults().addPods(2, 1);
        Pod p = new Pod(PolicyHarness.podEntry(1, 1, 0).withStateGone(), SECOND_NS);
        assertEquals(0, p.idleSinceGoneNs(b.nowNs));
        p.openTryCount = 1;
        assertEquals(0, p.idleSinceGoneNs(b.nowNs + SECOND_NS));
        p.openTryCount = 0;
        assertEquals(2 * SECOND_NS, p.idleSinceGoneNs(b.nowNs + 3 * SECOND_NS));
        // The module goes through all pods it knows: a thousand gone ones must not stay among them.
        for (int i = 10; i < 1010; i++) {
            b.policy.onPodListUpdated(
                    b.nowNs,
                    List.of(
                            PolicyHarness.podEntry(i, 1, 0),
                            PolicyHarness.podEntry(i, 1, 0).withStateGone()));
        }
        assertEquals(1002, podsKnown(b.policy));
        b.advance(50 * SECOND_NS);
        assertEquals(1002, podsKnown(b.policy));
        b.advance(20 * SECOND_NS);
        assertEquals(2, podsKnown(b.policy));
    }

    /**
     * Sends reqs for so long, of which those at pods of the zone that is out find no connection.
     */
    private static void serveWithout(PolicyHarness b, String zone, int millis) {
        for (int i = 0; i < millis / 20; i++) {
            String id = "z" + b.nowNs;
            b.sendReq(id, "get", 2 * SECOND_NS);
            for (int no = 0;
                    b.lastSent().reqId().equals(id) && !b.finalAnswers.containsKey(id) && no < 4;
                    no++) {
                boolean out =
                        PolicyHarness.podEntry(PolicyHarness.podNumber(b.lastSent().pod()), 1, 0)
                                .zone()
                                .equals(zone);
                int tries = b.sentTries.size();
                b.endTry(
                        id,
                        no,
                        out ? TryOutcome.CONNECT_FAILED : TryOutcome.OK,
                        out ? 250 * MILLISECOND_NS : usual(i) * MILLISECOND_NS);
                if (!out || b.sentTries.size() == tries) {
                    break;
                }
            }
            b.advance(20 * MILLISECOND_NS);
        }
    }

    private static long triesIn(PolicyHarness b, int from, String zone) {
        return b.sentTries.subList(from, b.sentTries.size()).stream()
                .filter(
                        s ->
                                PolicyHarness.podEntry(PolicyHarness.podNumber(s.pod()), 1, 0)
                                        .zone()
                                        .equals(zone))
                .count();
    }

    @Test
    void unreachableZoneIsAvoidedAndRecovers() {
        PolicyHarness b =
                PolicyHarness.inFleet(0, 14, 6, 4)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        fleet(b, 60, 0);
        serveWithout(b, "none", 4000);
        int lost = b.sentTries.size();
        serveWithout(b, "b", 4000);
        assertTrue(
                triesIn(b, lost, "b") < 15, "tries into the lost zone: " + triesIn(b, lost, "b"));
        // One answer from there, by a try now and then, and it takes its part again.
        serveWithout(b, "none", 5000);
        int back = b.sentTries.size();
        serveWithout(b, "none", 2000);
        assertTrue(triesIn(b, back, "b") > 25, "tries when it is back: " + triesIn(b, back, "b"));
    }

    @Test
    void triesInUnreachableZoneAreCancelledAndRedistributed() {
        PolicyHarness b =
                PolicyHarness.inFleet(voter(2, 0), 14, 6, 4)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 8, (p, i) -> usual(i), fleet(b, 30, 0));
        b.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        serve(b, 3, (p, i) -> usual(i), fleet(b, 30, 30));
        List<String> lying = new ArrayList<>();
        for (int i = 0; i < 45; i++) {
            b.sendReq("lies" + i, "get", 2 * SECOND_NS);
            if (PolicyHarness.podNumber(b.lastSent().pod()) % 2 == 1) {
                lying.add("lies" + i);
            } else {
                b.endTry("lies" + i, 0, TryOutcome.OK, 60 * MILLISECOND_NS);
            }
        }
        int from = b.sentTries.size();
        serveWithout(b, "b", 300);
        assertTrue(
                lying.size() > 3 && b.cancelledReqs.containsAll(lying),
                b.cancelledReqs + " of " + lying);
        lying.forEach(id -> b.endTry(id, 0, TryOutcome.CANCELLED, SECOND_NS));
        lying.forEach(id -> b.endTry(id, 1, TryOutcome.OK, 60 * MILLISECOND_NS));
        serveWithout(b, "b", 3000);
        // The half of the trial that is left gets the half of what the earlier pods had, not all of
        // it.
        var lit =
                b.sentTries.subList(from, b.sentTries.size()).stream()
                        .map(t -> PolicyHarness.podNumber(t.pod()))
                        .filter(n -> n % 2 == 0)
                        .toList();
        long onTrial = lit.stream().filter(n -> n >= 30).count();
        assertTrue(onTrial < 0.65 * lit.size(), onTrial + " of " + lit.size());
    }

    @Test
    void restartedPodsInUnreachableZoneAreUsed() {
        PolicyHarness b =
                PolicyHarness.inFleet(0, 14, 6, 4)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        fleet(b, 12, 0);
        serveWithout(b, "none", 2000);
        serveWithout(b, "b", 2000);
        int from = b.sentTries.size();
        b.policy.onPodListUpdated(
                b.nowNs,
                List.of(
                        PolicyHarness.podEntry(1, 1, b.nowNs),
                        PolicyHarness.podEntry(3, 1, b.nowNs)));
        // They answer nothing yet, so that nothing lights the zone again.
        serveWithout(b, "b", 2000);
        long anew =
                b.sentTries.subList(from, b.sentTries.size()).stream()
                        .filter(s -> List.of(1, 3).contains(PolicyHarness.podNumber(s.pod())))
                        .count();
        assertTrue(anew >= 2, "tries at pods that started anew: " + anew);
    }

    /**
     * A zone is lost for two seconds, so long into a trial, and all is slow after it; nothing is
     * sent back.
     */
    private static PolicyHarness afterLoss(int rank, int calmSeconds, int slowReqs) {
        PolicyHarness b =
                PolicyHarness.inFleet(rank, 14, 6, 4)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 8, (p, i) -> usual(i), fleet(b, 30, 0));
        b.setRolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 0.7);
        serve(b, calmSeconds, (p, i) -> usual(i), fleet(b, 30, 30));
        serveWithout(b, "b", 2000);
        serve(b, slowReqs / 50, (p, i) -> 3 * usual(i), fleet(b, 30, 30));
        assertTrue(b.votes.stream().noneMatch(v -> v.verdict() == RolloutVote.BACK));
        return b;
    }

    @Test
    void latenessFromZoneLossDoesNotRollBack() {
        PolicyHarness b = afterLoss(voter(1, 0), 20, 700);
        assertTrue(
                b.votes.get(b.votes.size() - 1).atNs() > b.nowNs - 4 * SECOND_NS, "'on' was held");
        // A trial that is young still has the loss weigh more on its side: lateness alone may hold
        // it only.
        afterLoss(voter(1, 0), 0, 300);
    }

    /**
     * How long after the first alarm enough live sidecars have voted back, the first voters being
     * dead.
     */
    private static long backAfter(int sidecars, int needed, int dead) {
        RolloutStatus trial = new RolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 0, 0);
        long[] at =
                IntStream.range(0, sidecars)
                        .filter(i -> trial.voterRank(i, sidecars) >= dead)
                        .mapToLong(
                                i -> {
                                    PolicyHarness b = PolicyHarness.inFleet(i, sidecars, 2, needed);
                                    fleet(b, 8, 4);
                                    b.setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1)
                                            .setRolloutStatus(
                                                    2, 1, RolloutStatus.Phase.ON_TRIAL, 0);
                                    long from = b.nowNs;
                                    while (b.votes.stream()
                                                    .noneMatch(v -> v.verdict() == RolloutVote.BACK)
                                            && b.nowNs < from + 60 * SECOND_NS) {
                                        b.policy.onPlatformTally(
                                                b.nowNs,
                                                "get",
                                                1,
                                                100,
                                                0,
                                                100 * MILLISECOND_NS,
                                                SECOND_NS);
                                        b.policy.onPlatformTally(
                                                b.nowNs,
                                                "get",
                                                2,
                                                100,
                                                30,
                                                100 * MILLISECOND_NS,
                                                SECOND_NS);
                                        b.advance(500 * MILLISECOND_NS);
                                    }
                                    return b.votes.get(b.votes.size() - 1).atNs() - from;
                                })
                        .sorted()
                        .toArray();
        return at[needed - 1];
    }

    @Test
    void standInsRollBackWhenFirstVotersAreDown() {
        long together = backAfter(14, 4, 0);
        assertTrue(
                backAfter(14, 4, 4) <= together + SECOND_NS,
                (backAfter(14, 4, 4) - together) / MILLISECOND_NS + " ms");
        assertTrue(
                backAfter(14, 4, 8) <= together + 2 * SECOND_NS,
                (backAfter(14, 4, 8) - together) / MILLISECOND_NS + " ms");
        // On a small fleet the steps are as they were, to the next sample.
        assertEquals(SECOND_NS, backAfter(3, 1, 2) - backAfter(3, 1, 0));
    }

    /** The number of that one of 14 sidecars whose place among the voters this is. */
    private static int voter(int stage, int place) {
        RolloutStatus trial = new RolloutStatus(2, stage, RolloutStatus.Phase.ON_TRIAL, 1, 0);
        return IntStream.range(0, 14)
                .filter(i -> trial.voterRank(i, 14) == place)
                .findFirst()
                .getAsInt();
    }

    private static long firstOn(int seen) {
        PolicyHarness b =
                PolicyHarness.inFleet(voter(0, 9), 14, 6, 4)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        fleet(b, 1, 40);
        b.setRolloutStatus(2, 0, RolloutStatus.Phase.ON_TRIAL, 1);
        long from = b.nowNs;
        for (int i = 0; i < seen; i++) {
            b.sendReq("r" + i, "get", 2 * SECOND_NS);
            b.endTry("r" + i, 0, TryOutcome.OK, 50 * MILLISECOND_NS);
        }
        b.advance(30 * SECOND_NS);
        return b.votes.get(0).atNs() - from;
    }

    @Test
    void sidecarsWithMoreTrialTrafficApproveSooner() {
        assertTrue(firstOn(10) >= 8 * SECOND_NS, firstOn(10) / MILLISECOND_NS + " ms");
        assertTrue(firstOn(2000) <= 3 * SECOND_NS, firstOn(2000) / MILLISECOND_NS + " ms");
    }

    @Test
    void proofPerSidecarShrinksWithNeededVotes() {
        for (int needed : new int[] {2, 6}) {
            PolicyHarness b =
                    PolicyHarness.inFleet(voter(2, 0), 14, needed, 4)
                            .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
            fleet(b, 4, 4);
            b.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
            for (int i = 0; i < 45; i++) {
                b.sendReq("r" + i, "get", 2 * SECOND_NS);
                b.endTry("r" + i, 0, TryOutcome.OK, 50 * MILLISECOND_NS);
            }
            b.advance(8 * SECOND_NS);
            assertEquals(
                    needed == 6,
                    b.votes.stream().anyMatch(v -> v.verdict() == RolloutVote.ON),
                    "needed " + needed);
        }
    }

    /** Its reqs' clients wait for two seconds, and no verdict could say so before. */
    @Test
    void unansweredTrialLosesTrafficBeforeTriesEnd() {
        PolicyHarness b =
                PolicyHarness.withDefaults(10, false, false, 1)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        fleet(b, 80, 80);
        b.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        int[] toTrial = new int[2];
        for (int i = 0; i < 60; i++) {
            b.sendReq("r" + i, "get", 2 * SECOND_NS);
            if (b.lastSent().reqId().equals("r" + i)
                    && PolicyHarness.podNumber(b.lastSent().pod()) >= 80) {
                toTrial[i / 30]++;
            } else if (b.lastSent().reqId().equals("r" + i)) {
                b.endTry("r" + i, 0, TryOutcome.OK, 20 * MILLISECOND_NS);
            }
            b.advance(100 * MILLISECOND_NS / 3);
        }
        assertTrue(toTrial[0] > 2 * toTrial[1], toTrial[0] + " and then " + toTrial[1]);
    }
}
