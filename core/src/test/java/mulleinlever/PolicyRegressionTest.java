package mulleinlever;

import static mulleinlever.PolicyHarness.MS;
import static mulleinlever.PolicyHarness.S;
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
            String id = b.now + "";
            b.req(id, "get", 2 * S);
            if (b.sent.size() > 0 && b.last().rq().equals(id)) {
                String at = b.last().pod();
                long took =
                        answers.tookMs(
                                pods.stream().filter(p -> p.id().equals(at)).findFirst().get(), i);
                b.end(id, 0, took > 0 ? TryOutcome.OK : TryOutcome.ERROR, Math.max(20, took) * MS);
            }
            b.pass(20 * MS);
        }
    }

    private static List<PodEntry> fleet(PolicyHarness b, int old, int young) {
        List<PodEntry> all =
                IntStream.range(0, old + young)
                        .mapToObj(i -> PolicyHarness.pod(i, i < old ? 1 : 2, 0))
                        .toList();
        b.policy.listWhole(b.now, all);
        return all;
    }

    private static RolloutVote verdict(AnswerTimes before, AnswerTimes during) {
        PolicyHarness b = PolicyHarness.plain().news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        List<PodEntry> pods = fleet(b, 8, 0);
        serve(b, 8, before, pods);
        pods = fleet(b, 8, 4);
        b.news(2, 1, RolloutStatus.Phase.ON_TRIAL, 0.7);
        serve(b, 12, during, pods);
        return b.votes.get(b.votes.size() - 1).verdict();
    }

    private static long usual(int i) {
        return 60 + i * 37 % 81;
    }

    @Test
    void alarmVotesBackOnErrorsAndOnLateness() {
        assertEquals(RolloutVote.ON, verdict((p, i) -> usual(i), (p, i) -> usual(i)));
        assertEquals(
                RolloutVote.BACK,
                verdict((p, i) -> usual(i), (p, i) -> p.build() == 2 && i % 3 == 0 ? 0 : usual(i)));
        assertEquals(
                RolloutVote.BACK,
                verdict((p, i) -> usual(i), (p, i) -> usual(i) * (p.build() == 2 ? 3 : 1)));
    }

    @Test
    void buildThatSlowsOldAndNewAlikeGoesBack() {
        assertEquals(RolloutVote.BACK, verdict((p, i) -> usual(i), (p, i) -> 3 * usual(i)));
    }

    @Test
    void earlierPodsThatFailAlikeAreNotTheBuildsDoing() {
        assertEquals(
                RolloutVote.ON, verdict((p, i) -> usual(i), (p, i) -> i % 5 == 0 ? 0 : usual(i)));
    }

    @Test
    void whatSlowsTheFleetAfterAReleaseSendsNothingBack() {
        PolicyHarness b = PolicyHarness.plain().news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 8, (p, i) -> usual(i), fleet(b, 8, 0));
        List<PodEntry> pods = fleet(b, 8, 4);
        b.news(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        serve(b, 5, (p, i) -> usual(i), pods);
        b.news(2, 2, RolloutStatus.Phase.RELEASED, 1);
        pods = pods.subList(8, 12);
        b.policy.listWhole(b.now, pods);
        serve(b, 9, (p, i) -> 3 * usual(i), pods);
        assertTrue(b.votes.stream().noneMatch(v -> v.verdict() == RolloutVote.BACK));
    }

    @Test
    void twoMistakenReportsSendNothingBack() {
        PolicyHarness b = PolicyHarness.plain().news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 8, (p, i) -> usual(i), fleet(b, 8, 0));
        List<PodEntry> pods = fleet(b, 8, 4);
        b.news(2, 1, RolloutStatus.Phase.ON_TRIAL, 0.7);
        serve(b, 2, (p, i) -> usual(i), pods);
        b.policy.flagged(b.now, "pod9", "get");
        b.policy.flagged(b.now, "pod10", "get");
        serve(b, 4, (p, i) -> usual(i), pods);
        assertTrue(b.votes.stream().noneMatch(v -> v.verdict() == RolloutVote.BACK));
    }

    @Test
    void lastOnWaitsForProofButNotForEver() {
        PolicyHarness b = PolicyHarness.plain().pods(4, 1);
        b.news(1, 2, RolloutStatus.Phase.RELEASED, 1).news(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        b.pass(5 * S);
        assertTrue(b.votes.isEmpty());
        b.pass(15 * S);
        assertEquals(RolloutVote.ON, b.votes.get(0).verdict());
    }

    @Test
    void keysAreFreeAgainWhenTheirBuildIsTakenOff() {
        PolicyHarness b = PolicyHarness.plain(3, false, true, 1);
        b.policy.listWhole(b.now, List.of(PolicyHarness.pod(0, 2, 0)));
        b.news(2, 2, RolloutStatus.Phase.RELEASED, 1);
        b.policy.req(b.now, new Req("a", "get", false, false, S, 0, 7, null));
        b.end("a", 0, TryOutcome.OK, 50 * MS);
        b.policy.listWhole(b.now, List.of(PolicyHarness.pod(1, 1, 0)));
        b.policy.req(b.now, new Req("b", "get", false, false, S, 0, 7, null));
        assertEquals(1, b.sent.size());
        b.news(2, 2, RolloutStatus.Phase.WITHDRAWN, 0);
        assertEquals("pod1", b.last().pod());
    }

    @Test
    void silentPodIsLeftAndItsReqRescued() {
        PolicyHarness b =
                PolicyHarness.plain().pods(2, 1).news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 2, (p, i) -> 20, List.of(PolicyHarness.pod(0, 1, 0), PolicyHarness.pod(1, 1, 0)));
        b.req("a", "get", 2 * S);
        String hung = b.last().pod();
        b.pass(300 * MS);
        assertEquals(List.of("a"), b.cancelled);
        b.end("a", 0, TryOutcome.CANCELLED, 300 * MS);
        assertFalse(b.last().pod().equals(hung));
        b.end("a", 1, TryOutcome.OK, 20 * MS);
        for (int i = 0; i < 10; i++) {
            b.req("more" + i, "get", 2 * S);
            assertFalse(b.last().pod().equals(hung));
            b.end("more" + i, 0, TryOutcome.OK, 20 * MS);
        }
    }

    @Test
    void mostPodsFailingAlikeDoNotLeaveTheLoadToTheFew() {
        PolicyHarness b = PolicyHarness.plain().news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        List<PodEntry> pods = fleet(b, 12, 0);
        serve(b, 10, (p, i) -> !p.id().equals("pod0") && i % 3 == 0 ? 0 : 100, pods);
        int from = b.sent.size();
        serve(b, 10, (p, i) -> !p.id().equals("pod0") && i % 3 == 0 ? 0 : 100, pods);
        var late = b.sent.subList(from, b.sent.size());
        long toOne = late.stream().filter(s -> s.pod().equals("pod0")).count();
        assertTrue(toOne < late.size() / 3, toOne + " of " + late.size());
    }

    @Test
    void reqThatTwoPodsErroredIsGivenUp() {
        PolicyHarness b =
                PolicyHarness.plain().pods(6, 1).news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        b.req("poison", "get", 2 * S);
        b.end("poison", 0, TryOutcome.ERROR, 5 * MS);
        b.end("poison", 1, TryOutcome.ERROR, 5 * MS);
        assertEquals("shed", b.answers.get("poison"));
        assertEquals(2, b.sent.size());
    }

    @Test
    void reqInLineIsAnsweredBeforeItsClientLeaves() {
        PolicyHarness b = PolicyHarness.plain().news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        b.req("a", "get", 100 * MS);
        b.pass(12 * MS);
        b.req("b", "get", 33 * MS);
        b.pass(33 * MS);
        assertEquals("shed", b.answers.get("b"));
    }

    @Test
    void hundredsToldOfAColdPodDoNotAllSendToItAtOnce() {
        int toCold = 0;
        for (int i = 0; i < 300; i++) {
            PolicyHarness b = PolicyHarness.plain(300, false, false, i);
            b.pods(4, 1).news(1, 2, RolloutStatus.Phase.RELEASED, 1);
            serve(b, 2, (p, n) -> 100, fleet(b, 4, 0));
            PodEntry cold = PolicyHarness.pod(4, 1, b.now);
            b.policy.listChanged(b.now, List.of(cold));
            b.req("first", "get", 2 * S);
            toCold += b.last().pod().equals(cold.id()) ? 1 : 0;
        }
        assertTrue(toCold < 15, toCold + " of 300");
    }

    @Test
    void tallySpeaksWhereOneSidecarSeesTooLittle() {
        for (int failed : new int[] {0, 30}) {
            PolicyHarness b = PolicyHarness.plain().news(1, 2, RolloutStatus.Phase.RELEASED, 1);
            serve(b, 3, (p, i) -> usual(i), fleet(b, 8, 4));
            b.news(2, 1, RolloutStatus.Phase.ON_TRIAL, 0);
            for (int i = 0; i < 5; i++) {
                b.policy.tally(b.now, "get", 1, 100, 0, 100 * MS, S);
                b.policy.tally(b.now, "get", 2, 100, failed, 100 * MS, S);
                b.pass(2 * S);
            }
            assertEquals(
                    failed > 0 ? RolloutVote.BACK : RolloutVote.ON,
                    b.votes.get(b.votes.size() - 1).verdict());
        }
    }

    @Test
    void failuresLongAfterTheReleaseAreNotTheBuilds() {
        PolicyHarness b = PolicyHarness.plain().news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 4, (p, i) -> usual(i), fleet(b, 8, 4));
        b.news(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        serve(b, 4, (p, i) -> usual(i), fleet(b, 8, 8));
        b.news(2, 2, RolloutStatus.Phase.RELEASED, 1);
        b.pass(12 * S);
        serve(b, 8, (p, i) -> i % 2 == 0 ? 0 : usual(i), fleet(b, 0, 8));
        assertTrue(b.votes.stream().noneMatch(v -> v.verdict() == RolloutVote.BACK));
    }

    @Test
    void secondCopyGoesOutInTimeForALostAnswer() {
        PolicyHarness b =
                PolicyHarness.plain(3, true, false, 1).news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 1, (p, i) -> 50, fleet(b, 8, 0));
        b.req("lost", "get", 2 * S);
        for (int i = 0; i < 20; i++) {
            b.req("quick" + i, "get", 2 * S);
            b.end(
                    "quick" + i,
                    0,
                    i % 4 == 0 ? TryOutcome.TIMEOUT : TryOutcome.OK,
                    i % 4 == 0 ? 900 * MS : 50 * MS);
        }
        b.pass(450 * MS);
        assertEquals(2, b.sent.stream().filter(s -> s.rq().equals("lost")).count());
    }

    @Test
    void trialCarriesTheLoadOfAReleaseUntilItIsSuspect() {
        PolicyHarness b = PolicyHarness.plain().news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 4, (p, i) -> usual(i), fleet(b, 8, 0));
        List<PodEntry> pods = fleet(b, 8, 8);
        b.news(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        int from = b.sent.size();
        serve(b, 2, (p, i) -> usual(i), pods);
        List<PolicyHarness.SentTry> calm = b.sent.subList(from, b.sent.size());
        assertTrue(
                calm.stream().filter(s -> PolicyHarness.number(s.pod()) >= 8).count()
                        > 0.8 * calm.size());
        serve(b, 3, (p, i) -> p.build() == 2 ? 4 * usual(i) : usual(i), pods);
        int then = b.sent.size();
        serve(b, 2, (p, i) -> usual(i), pods);
        var doubted = b.sent.subList(then, b.sent.size());
        assertTrue(
                doubted.stream().filter(s -> PolicyHarness.number(s.pod()) >= 8).count()
                        < 0.4 * doubted.size());
    }

    private static int podsKnown(Policy policy) throws ReflectiveOperationException {
        var pods = Policy.class.getDeclaredField("pods");
        pods.setAccessible(true);
        return ((Map<?, ?>) pods.get(policy)).size();
    }

    @Test
    void podsThatCameAndWentAreForgottenInTime() throws ReflectiveOperationException {
        PolicyHarness b = PolicyHarness.plain().pods(2, 1);
        Pod p = new Pod(PolicyHarness.pod(1, 1, 0).gone(), S);
        assertEquals(0, p.goneFor(b.now));
        p.open = 1;
        assertEquals(0, p.goneFor(b.now + S));
        p.open = 0;
        assertEquals(2 * S, p.goneFor(b.now + 3 * S));
        // The module goes through all pods it knows: a thousand gone ones must not stay among them.
        for (int i = 10; i < 1010; i++) {
            b.policy.listChanged(
                    b.now, List.of(PolicyHarness.pod(i, 1, 0), PolicyHarness.pod(i, 1, 0).gone()));
        }
        assertEquals(1002, podsKnown(b.policy));
        b.pass(50 * S);
        assertEquals(1002, podsKnown(b.policy));
        b.pass(20 * S);
        assertEquals(2, podsKnown(b.policy));
    }

    /**
     * Sends reqs for so long, of which those at pods of the zone that is out find no connection.
     */
    private static void serveWithout(PolicyHarness b, String zone, int millis) {
        for (int i = 0; i < millis / 20; i++) {
            String id = "z" + b.now;
            b.req(id, "get", 2 * S);
            for (int no = 0;
                    b.last().rq().equals(id) && !b.answers.containsKey(id) && no < 4;
                    no++) {
                boolean out =
                        PolicyHarness.pod(PolicyHarness.number(b.last().pod()), 1, 0)
                                .zone()
                                .equals(zone);
                int tries = b.sent.size();
                b.end(
                        id,
                        no,
                        out ? TryOutcome.CONNECT_FAILED : TryOutcome.OK,
                        out ? 250 * MS : usual(i) * MS);
                if (!out || b.sent.size() == tries) {
                    break;
                }
            }
            b.pass(20 * MS);
        }
    }

    private static long triesIn(PolicyHarness b, int from, String zone) {
        return b.sent.subList(from, b.sent.size()).stream()
                .filter(
                        s ->
                                PolicyHarness.pod(PolicyHarness.number(s.pod()), 1, 0)
                                        .zone()
                                        .equals(zone))
                .count();
    }

    @Test
    void lostZoneIsLeftAfterAFewOfManyPodsAndUsedAgainWhenItAnswers() {
        PolicyHarness b =
                PolicyHarness.ofMany(0, 14, 6, 4).news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        fleet(b, 60, 0);
        serveWithout(b, "none", 4000);
        int lost = b.sent.size();
        serveWithout(b, "b", 4000);
        assertTrue(
                triesIn(b, lost, "b") < 15, "tries into the lost zone: " + triesIn(b, lost, "b"));
        // One answer from there, by a try now and then, and it takes its part again.
        serveWithout(b, "none", 5000);
        int back = b.sent.size();
        serveWithout(b, "none", 2000);
        assertTrue(triesIn(b, back, "b") > 25, "tries when it is back: " + triesIn(b, back, "b"));
    }

    @Test
    void whatLiesInADarkZoneIsCalledBackSoonAndItsLoadIsShared() {
        PolicyHarness b =
                PolicyHarness.ofMany(voter(2, 0), 14, 6, 4)
                        .news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 8, (p, i) -> usual(i), fleet(b, 30, 0));
        b.news(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        serve(b, 3, (p, i) -> usual(i), fleet(b, 30, 30));
        List<String> lying = new ArrayList<>();
        for (int i = 0; i < 45; i++) {
            b.req("lies" + i, "get", 2 * S);
            if (PolicyHarness.number(b.last().pod()) % 2 == 1) {
                lying.add("lies" + i);
            } else {
                b.end("lies" + i, 0, TryOutcome.OK, 60 * MS);
            }
        }
        int from = b.sent.size();
        serveWithout(b, "b", 300);
        assertTrue(
                lying.size() > 3 && b.cancelled.containsAll(lying), b.cancelled + " of " + lying);
        lying.forEach(id -> b.end(id, 0, TryOutcome.CANCELLED, S));
        lying.forEach(id -> b.end(id, 1, TryOutcome.OK, 60 * MS));
        serveWithout(b, "b", 3000);
        // The half of the trial that is left gets the half of what the earlier pods had, not all of
        // it.
        var lit =
                b.sent.subList(from, b.sent.size()).stream()
                        .map(t -> PolicyHarness.number(t.pod()))
                        .filter(n -> n % 2 == 0)
                        .toList();
        long onTrial = lit.stream().filter(n -> n >= 30).count();
        assertTrue(onTrial < 0.65 * lit.size(), onTrial + " of " + lit.size());
    }

    @Test
    void podsThatStartAnewInADarkZoneAreUsedAtOnce() {
        PolicyHarness b =
                PolicyHarness.ofMany(0, 14, 6, 4).news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        fleet(b, 12, 0);
        serveWithout(b, "none", 2000);
        serveWithout(b, "b", 2000);
        int from = b.sent.size();
        b.policy.listChanged(
                b.now, List.of(PolicyHarness.pod(1, 1, b.now), PolicyHarness.pod(3, 1, b.now)));
        // They answer nothing yet, so that nothing lights the zone again.
        serveWithout(b, "b", 2000);
        long anew =
                b.sent.subList(from, b.sent.size()).stream()
                        .filter(s -> List.of(1, 3).contains(PolicyHarness.number(s.pod())))
                        .count();
        assertTrue(anew >= 2, "tries at pods that started anew: " + anew);
    }

    /**
     * A zone is lost for two seconds, so long into a trial, and all is slow after it; nothing is
     * sent back.
     */
    private static PolicyHarness afterLoss(int rank, int calmSeconds, int slowReqs) {
        PolicyHarness b =
                PolicyHarness.ofMany(rank, 14, 6, 4).news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serve(b, 8, (p, i) -> usual(i), fleet(b, 30, 0));
        b.news(2, 1, RolloutStatus.Phase.ON_TRIAL, 0.7);
        serve(b, calmSeconds, (p, i) -> usual(i), fleet(b, 30, 30));
        serveWithout(b, "b", 2000);
        serve(b, slowReqs / 50, (p, i) -> 3 * usual(i), fleet(b, 30, 30));
        assertTrue(b.votes.stream().noneMatch(v -> v.verdict() == RolloutVote.BACK));
        return b;
    }

    @Test
    void whatALostZoneSlowsIsNotTheBuildsDoing() {
        PolicyHarness b = afterLoss(voter(1, 0), 20, 700);
        assertTrue(b.votes.get(b.votes.size() - 1).atNs() > b.now - 4 * S, "'on' was held");
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
                        .filter(i -> trial.ranked(i, sidecars) >= dead)
                        .mapToLong(
                                i -> {
                                    PolicyHarness b = PolicyHarness.ofMany(i, sidecars, 2, needed);
                                    fleet(b, 8, 4);
                                    b.news(1, 2, RolloutStatus.Phase.RELEASED, 1)
                                            .news(2, 1, RolloutStatus.Phase.ON_TRIAL, 0);
                                    long from = b.now;
                                    while (b.votes.stream()
                                                    .noneMatch(v -> v.verdict() == RolloutVote.BACK)
                                            && b.now < from + 60 * S) {
                                        b.policy.tally(b.now, "get", 1, 100, 0, 100 * MS, S);
                                        b.policy.tally(b.now, "get", 2, 100, 30, 100 * MS, S);
                                        b.pass(500 * MS);
                                    }
                                    return b.votes.get(b.votes.size() - 1).atNs() - from;
                                })
                        .sorted()
                        .toArray();
        return at[needed - 1];
    }

    @Test
    void neededVotesBackComeSoonThoughTheFirstVotersAreDead() {
        long together = backAfter(14, 4, 0);
        assertTrue(
                backAfter(14, 4, 4) <= together + S, (backAfter(14, 4, 4) - together) / MS + " ms");
        assertTrue(
                backAfter(14, 4, 8) <= together + 2 * S,
                (backAfter(14, 4, 8) - together) / MS + " ms");
        // On a small fleet the steps are as they were, to the next sample.
        assertEquals(S, backAfter(3, 1, 2) - backAfter(3, 1, 0));
    }

    /** The number of that one of 14 sidecars whose place among the voters this is. */
    private static int voter(int stage, int place) {
        RolloutStatus trial = new RolloutStatus(2, stage, RolloutStatus.Phase.ON_TRIAL, 1, 0);
        return IntStream.range(0, 14)
                .filter(i -> trial.ranked(i, 14) == place)
                .findFirst()
                .getAsInt();
    }

    private static long firstOn(int seen) {
        PolicyHarness b =
                PolicyHarness.ofMany(voter(0, 9), 14, 6, 4)
                        .news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        fleet(b, 1, 40);
        b.news(2, 0, RolloutStatus.Phase.ON_TRIAL, 1);
        long from = b.now;
        for (int i = 0; i < seen; i++) {
            b.req("r" + i, "get", 2 * S);
            b.end("r" + i, 0, TryOutcome.OK, 50 * MS);
        }
        b.pass(30 * S);
        return b.votes.get(0).atNs() - from;
    }

    @Test
    void whoSawMuchOfATrialStandsInForOnSooner() {
        assertTrue(firstOn(10) >= 8 * S, firstOn(10) / MS + " ms");
        assertTrue(firstOn(2000) <= 3 * S, firstOn(2000) / MS + " ms");
    }

    @Test
    void whoVotesWithManyNeedsLessProofOfItsOwn() {
        for (int needed : new int[] {2, 6}) {
            PolicyHarness b =
                    PolicyHarness.ofMany(voter(2, 0), 14, needed, 4)
                            .news(1, 2, RolloutStatus.Phase.RELEASED, 1);
            fleet(b, 4, 4);
            b.news(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
            for (int i = 0; i < 45; i++) {
                b.req("r" + i, "get", 2 * S);
                b.end("r" + i, 0, TryOutcome.OK, 50 * MS);
            }
            b.pass(8 * S);
            assertEquals(
                    needed == 6,
                    b.votes.stream().anyMatch(v -> v.verdict() == RolloutVote.ON),
                    "needed " + needed);
        }
    }

    /** Its reqs' clients wait for two seconds, and no verdict could say so before. */
    @Test
    void trialThatStopsAnsweringGetsLessBeforeAnyTryEnds() {
        PolicyHarness b =
                PolicyHarness.plain(10, false, false, 1)
                        .news(1, 2, RolloutStatus.Phase.RELEASED, 1);
        fleet(b, 80, 80);
        b.news(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        int[] toTrial = new int[2];
        for (int i = 0; i < 60; i++) {
            b.req("r" + i, "get", 2 * S);
            if (b.last().rq().equals("r" + i) && PolicyHarness.number(b.last().pod()) >= 80) {
                toTrial[i / 30]++;
            } else if (b.last().rq().equals("r" + i)) {
                b.end("r" + i, 0, TryOutcome.OK, 20 * MS);
            }
            b.pass(100 * MS / 3);
        }
        assertTrue(toTrial[0] > 2 * toTrial[1], toTrial[0] + " and then " + toTrial[1]);
    }
}
