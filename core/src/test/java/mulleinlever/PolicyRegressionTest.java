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

/** Guards against failures that were found, with one small test for each. */
class PolicyRegressionTest {
    /** The times that pods take to answer reqs. */
    private interface AnswerTimes {
        /** Returns how long a pod takes to answer a req, or 0 if it answers with an error. */
        long answerTimeMs(PodEntry pod, int reqIndex);
    }

    /** Serves 50 reqs per second for some seconds. */
    private static void serveReqs(
            PolicyHarness harness, int seconds, AnswerTimes answerTimes, List<PodEntry> pods) {
        for (int i = 0; i < seconds * 50; i++) {
            String id = harness.nowNs + "";
            harness.sendReq(id, "get", 2 * SECOND_NS);
            if (harness.sentTries.size() > 0 && harness.lastSent().reqId().equals(id)) {
                String podId = harness.lastSent().podId();
                long durationMs =
                        answerTimes.answerTimeMs(
                                pods.stream().filter(p -> p.id().equals(podId)).findFirst().get(),
                                i);
                harness.endTry(
                        id,
                        0,
                        durationMs > 0 ? TryOutcome.OK : TryOutcome.ERROR,
                        Math.max(20, durationMs) * MILLISECOND_NS);
            }
            harness.advance(20 * MILLISECOND_NS);
        }
    }

    /** Replaces the pod list by pods of build 1 and, after them, pods of build 2. */
    private static List<PodEntry> replacePods(
            PolicyHarness harness, int oldPodCount, int newPodCount) {
        List<PodEntry> entries =
                IntStream.range(0, oldPodCount + newPodCount)
                        .mapToObj(i -> PolicyHarness.podEntry(i, i < oldPodCount ? 1 : 2, 0))
                        .toList();
        harness.policy.onPodListReplaced(harness.nowNs, entries);
        return entries;
    }

    /**
     * Serves reqs before and during a trial of build 2, and returns the last vote of the sidecar.
     */
    private static RolloutVote lastVote(AnswerTimes before, AnswerTimes during) {
        PolicyHarness harness =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        List<PodEntry> pods = replacePods(harness, 8, 0);
        serveReqs(harness, 8, before, pods);
        pods = replacePods(harness, 8, 4);
        harness.setRolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 0.7);
        serveReqs(harness, 12, during, pods);
        return harness.votes.get(harness.votes.size() - 1).vote();
    }

    private static long usualMs(int reqIndex) {
        return 60 + reqIndex * 37 % 81;
    }

    @Test
    void alarmVotesRollbackOnErrorsAndLateness() {
        assertEquals(RolloutVote.ON, lastVote((p, i) -> usualMs(i), (p, i) -> usualMs(i)));
        assertEquals(
                RolloutVote.BACK,
                lastVote(
                        (p, i) -> usualMs(i),
                        (p, i) -> p.build() == 2 && i % 3 == 0 ? 0 : usualMs(i)));
        assertEquals(
                RolloutVote.BACK,
                lastVote((p, i) -> usualMs(i), (p, i) -> usualMs(i) * (p.build() == 2 ? 3 : 1)));
    }

    @Test
    void buildThatSlowsAllPodsIsRolledBack() {
        assertEquals(RolloutVote.BACK, lastVote((p, i) -> usualMs(i), (p, i) -> 3 * usualMs(i)));
    }

    @Test
    void failuresOfAllPodsDoNotRollBack() {
        assertEquals(
                RolloutVote.ON,
                lastVote((p, i) -> usualMs(i), (p, i) -> i % 5 == 0 ? 0 : usualMs(i)));
    }

    @Test
    void slowdownAfterReleaseDoesNotRollBack() {
        PolicyHarness harness =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serveReqs(harness, 8, (p, i) -> usualMs(i), replacePods(harness, 8, 0));
        List<PodEntry> pods = replacePods(harness, 8, 4);
        harness.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        serveReqs(harness, 5, (p, i) -> usualMs(i), pods);
        harness.setRolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1);
        pods = pods.subList(8, 12);
        harness.policy.onPodListReplaced(harness.nowNs, pods);
        serveReqs(harness, 9, (p, i) -> 3 * usualMs(i), pods);
        assertTrue(harness.votes.stream().noneMatch(v -> v.vote() == RolloutVote.BACK));
    }

    @Test
    void twoComplaintsDoNotRollBack() {
        PolicyHarness harness =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serveReqs(harness, 8, (p, i) -> usualMs(i), replacePods(harness, 8, 0));
        List<PodEntry> pods = replacePods(harness, 8, 4);
        harness.setRolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 0.7);
        serveReqs(harness, 2, (p, i) -> usualMs(i), pods);
        harness.policy.onComplaint(harness.nowNs, "pod9", "get");
        harness.policy.onComplaint(harness.nowNs, "pod10", "get");
        serveReqs(harness, 4, (p, i) -> usualMs(i), pods);
        assertTrue(harness.votes.stream().noneMatch(v -> v.vote() == RolloutVote.BACK));
    }

    @Test
    void lastApprovalWaitsForOutcomesUpToALimit() {
        PolicyHarness harness = PolicyHarness.withDefaults().addPods(4, 1);
        harness.setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1)
                .setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        harness.advance(5 * SECOND_NS);
        assertTrue(harness.votes.isEmpty());
        harness.advance(15 * SECOND_NS);
        assertEquals(RolloutVote.ON, harness.votes.get(0).vote());
    }

    @Test
    void keysAreReleasedWhenBuildIsWithdrawn() {
        PolicyHarness harness = PolicyHarness.withDefaults(3, false, true, 1);
        harness.policy.onPodListReplaced(harness.nowNs, List.of(PolicyHarness.podEntry(0, 2, 0)));
        harness.setRolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1);
        harness.policy.onReq(
                harness.nowNs, new Req("a", "get", false, false, SECOND_NS, 0, 7, null, 0));
        harness.endTry("a", 0, TryOutcome.OK, 50 * MILLISECOND_NS);
        harness.policy.onPodListReplaced(harness.nowNs, List.of(PolicyHarness.podEntry(1, 1, 0)));
        harness.policy.onReq(
                harness.nowNs, new Req("b", "get", false, false, SECOND_NS, 0, 7, null, 0));
        assertEquals(1, harness.sentTries.size());
        harness.setRolloutStatus(2, 2, RolloutStatus.Phase.WITHDRAWN, 0);
        assertEquals("pod1", harness.lastSent().podId());
    }

    @Test
    void unresponsivePodIsAvoidedAndItsReqRetried() {
        PolicyHarness harness =
                PolicyHarness.withDefaults()
                        .addPods(2, 1)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serveReqs(
                harness,
                2,
                (p, i) -> 20,
                List.of(PolicyHarness.podEntry(0, 1, 0), PolicyHarness.podEntry(1, 1, 0)));
        harness.sendReq("a", "get", 2 * SECOND_NS);
        String unresponsivePod = harness.lastSent().podId();
        harness.advance(300 * MILLISECOND_NS);
        assertEquals(List.of("a"), harness.cancelledReqs);
        harness.endTry("a", 0, TryOutcome.CANCELLED, 300 * MILLISECOND_NS);
        assertFalse(harness.lastSent().podId().equals(unresponsivePod));
        harness.endTry("a", 1, TryOutcome.OK, 20 * MILLISECOND_NS);
        for (int i = 0; i < 10; i++) {
            harness.sendReq("more" + i, "get", 2 * SECOND_NS);
            assertFalse(harness.lastSent().podId().equals(unresponsivePod));
            harness.endTry("more" + i, 0, TryOutcome.OK, 20 * MILLISECOND_NS);
        }
    }

    @Test
    void panicModeSpreadsLoadWhenMostPodsFail() {
        PolicyHarness harness =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        List<PodEntry> pods = replacePods(harness, 12, 0);
        serveReqs(harness, 10, (p, i) -> !p.id().equals("pod0") && i % 3 == 0 ? 0 : 100, pods);
        int firstIndex = harness.sentTries.size();
        serveReqs(harness, 10, (p, i) -> !p.id().equals("pod0") && i % 3 == 0 ? 0 : 100, pods);
        var laterTries = harness.sentTries.subList(firstIndex, harness.sentTries.size());
        long toWorkingPod = laterTries.stream().filter(s -> s.podId().equals("pod0")).count();
        assertTrue(toWorkingPod < laterTries.size() / 3, toWorkingPod + " of " + laterTries.size());
    }

    @Test
    void reqFailedByTwoPodsIsNotRetried() {
        PolicyHarness harness =
                PolicyHarness.withDefaults()
                        .addPods(6, 1)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        harness.sendReq("poison", "get", 2 * SECOND_NS);
        harness.endTry("poison", 0, TryOutcome.ERROR, 5 * MILLISECOND_NS);
        harness.endTry("poison", 1, TryOutcome.ERROR, 5 * MILLISECOND_NS);
        assertEquals("shed", harness.finalAnswers.get("poison"));
        assertEquals(2, harness.sentTries.size());
    }

    @Test
    void queuedReqIsAnsweredBeforeDeadline() {
        PolicyHarness harness =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        harness.sendReq("a", "get", 100 * MILLISECOND_NS);
        harness.advance(12 * MILLISECOND_NS);
        harness.sendReq("b", "get", 33 * MILLISECOND_NS);
        harness.advance(33 * MILLISECOND_NS);
        assertEquals("shed", harness.finalAnswers.get("b"));
    }

    @Test
    void sidecarsDoNotAllSendToNewPodAtOnce() {
        int toNewPodCount = 0;
        for (int i = 0; i < 300; i++) {
            PolicyHarness harness = PolicyHarness.withDefaults(300, false, false, i);
            harness.addPods(4, 1).setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
            serveReqs(harness, 2, (p, n) -> 100, replacePods(harness, 4, 0));
            PodEntry newPod = PolicyHarness.podEntry(4, 1, harness.nowNs);
            harness.policy.onPodListUpdated(harness.nowNs, List.of(newPod));
            harness.sendReq("first", "get", 2 * SECOND_NS);
            toNewPodCount += harness.lastSent().podId().equals(newPod.id()) ? 1 : 0;
        }
        assertTrue(toNewPodCount < 15, toNewPodCount + " of 300");
    }

    @Test
    void tallyDecidesWhenOwnTrafficIsLight() {
        for (int failedCount : new int[] {0, 30}) {
            PolicyHarness harness =
                    PolicyHarness.withDefaults()
                            .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
            serveReqs(harness, 3, (p, i) -> usualMs(i), replacePods(harness, 8, 4));
            harness.setRolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 0);
            for (int i = 0; i < 5; i++) {
                harness.policy.onPlatformTally(
                        harness.nowNs, "get", 1, 100, 0, 100 * MILLISECOND_NS, SECOND_NS);
                harness.policy.onPlatformTally(
                        harness.nowNs, "get", 2, 100, failedCount, 100 * MILLISECOND_NS, SECOND_NS);
                harness.advance(2 * SECOND_NS);
            }
            assertEquals(
                    failedCount > 0 ? RolloutVote.BACK : RolloutVote.ON,
                    harness.votes.get(harness.votes.size() - 1).vote());
        }
    }

    @Test
    void failuresAfterReleaseDoNotRollBack() {
        PolicyHarness harness =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serveReqs(harness, 4, (p, i) -> usualMs(i), replacePods(harness, 8, 4));
        harness.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        serveReqs(harness, 4, (p, i) -> usualMs(i), replacePods(harness, 8, 8));
        harness.setRolloutStatus(2, 2, RolloutStatus.Phase.RELEASED, 1);
        harness.advance(12 * SECOND_NS);
        serveReqs(harness, 8, (p, i) -> i % 2 == 0 ? 0 : usualMs(i), replacePods(harness, 0, 8));
        assertTrue(harness.votes.stream().noneMatch(v -> v.vote() == RolloutVote.BACK));
    }

    @Test
    void hedgedTryStartsInTimeForLostAnswer() {
        PolicyHarness harness =
                PolicyHarness.withDefaults(3, true, false, 1)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serveReqs(harness, 1, (p, i) -> 50, replacePods(harness, 8, 0));
        harness.sendReq("lost", "get", 2 * SECOND_NS);
        for (int i = 0; i < 20; i++) {
            harness.sendReq("quick" + i, "get", 2 * SECOND_NS);
            harness.endTry(
                    "quick" + i,
                    0,
                    i % 4 == 0 ? TryOutcome.TIMEOUT : TryOutcome.OK,
                    i % 4 == 0 ? 900 * MILLISECOND_NS : 50 * MILLISECOND_NS);
        }
        harness.advance(450 * MILLISECOND_NS);
        assertEquals(2, harness.sentTries.stream().filter(s -> s.reqId().equals("lost")).count());
    }

    @Test
    void trialTakesFullLoadUntilSuspect() {
        PolicyHarness harness =
                PolicyHarness.withDefaults()
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serveReqs(harness, 4, (p, i) -> usualMs(i), replacePods(harness, 8, 0));
        List<PodEntry> pods = replacePods(harness, 8, 8);
        harness.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        int firstIndex = harness.sentTries.size();
        serveReqs(harness, 2, (p, i) -> usualMs(i), pods);
        List<PolicyHarness.SentTry> normalTries =
                harness.sentTries.subList(firstIndex, harness.sentTries.size());
        assertTrue(
                normalTries.stream().filter(s -> PolicyHarness.podNumber(s.podId()) >= 8).count()
                        > 0.8 * normalTries.size());
        serveReqs(harness, 3, (p, i) -> p.build() == 2 ? 4 * usualMs(i) : usualMs(i), pods);
        int suspectIndex = harness.sentTries.size();
        serveReqs(harness, 2, (p, i) -> usualMs(i), pods);
        var suspectTries = harness.sentTries.subList(suspectIndex, harness.sentTries.size());
        assertTrue(
                suspectTries.stream().filter(s -> PolicyHarness.podNumber(s.podId()) >= 8).count()
                        < 0.4 * suspectTries.size());
    }

    private static int knownPodCount(Policy policy) throws ReflectiveOperationException {
        var podsField = Policy.class.getDeclaredField("pods");
        podsField.setAccessible(true);
        return ((Map<?, ?>) podsField.get(policy)).size();
    }

    @Test
    void gonePodsAreEvicted() throws ReflectiveOperationException {
        PolicyHarness harness = PolicyHarness.withDefaults().addPods(2, 1);
        Pod pod = new Pod(PolicyHarness.podEntry(1, 1, 0).withStateGone(), SECOND_NS);
        assertEquals(0, pod.idleSinceGoneNs(harness.nowNs));
        pod.openTryCount = 1;
        assertEquals(0, pod.idleSinceGoneNs(harness.nowNs + SECOND_NS));
        pod.openTryCount = 0;
        assertEquals(2 * SECOND_NS, pod.idleSinceGoneNs(harness.nowNs + 3 * SECOND_NS));
        // The policy iterates over all pods that it knows, so a thousand pods that are gone must
        // not stay among them.
        for (int i = 10; i < 1010; i++) {
            harness.policy.onPodListUpdated(
                    harness.nowNs,
                    List.of(
                            PolicyHarness.podEntry(i, 1, 0),
                            PolicyHarness.podEntry(i, 1, 0).withStateGone()));
        }
        assertEquals(1002, knownPodCount(harness.policy));
        harness.advance(50 * SECOND_NS);
        assertEquals(1002, knownPodCount(harness.policy));
        harness.advance(20 * SECOND_NS);
        assertEquals(2, knownPodCount(harness.policy));
    }

    /** Serves 50 reqs per second; tries at pods of the lost zone fail to connect. */
    private static void serveReqsDuringZoneLoss(
            PolicyHarness harness, String lostZone, int durationMs) {
        for (int i = 0; i < durationMs / 20; i++) {
            String id = "z" + harness.nowNs;
            harness.sendReq(id, "get", 2 * SECOND_NS);
            for (int tryNumber = 0;
                    harness.lastSent().reqId().equals(id)
                            && !harness.finalAnswers.containsKey(id)
                            && tryNumber < 4;
                    tryNumber++) {
                boolean isLost =
                        PolicyHarness.podEntry(
                                        PolicyHarness.podNumber(harness.lastSent().podId()), 1, 0)
                                .zone()
                                .equals(lostZone);
                int tryCountBefore = harness.sentTries.size();
                harness.endTry(
                        id,
                        tryNumber,
                        isLost ? TryOutcome.CONNECT_FAILED : TryOutcome.OK,
                        isLost ? 250 * MILLISECOND_NS : usualMs(i) * MILLISECOND_NS);
                if (!isLost || harness.sentTries.size() == tryCountBefore) {
                    break;
                }
            }
            harness.advance(20 * MILLISECOND_NS);
        }
    }

    private static long tryCountInZone(PolicyHarness harness, int firstIndex, String zone) {
        return harness.sentTries.subList(firstIndex, harness.sentTries.size()).stream()
                .filter(
                        s ->
                                PolicyHarness.podEntry(PolicyHarness.podNumber(s.podId()), 1, 0)
                                        .zone()
                                        .equals(zone))
                .count();
    }

    @Test
    void unreachableZoneIsAvoidedAndRecovers() {
        PolicyHarness harness =
                PolicyHarness.inFleet(0, 14, 6, 4)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        replacePods(harness, 60, 0);
        serveReqsDuringZoneLoss(harness, "none", 4000);
        int lossIndex = harness.sentTries.size();
        serveReqsDuringZoneLoss(harness, "b", 4000);
        assertTrue(
                tryCountInZone(harness, lossIndex, "b") < 15,
                "tries at the lost zone: " + tryCountInZone(harness, lossIndex, "b"));
        // One answer from the zone, to a probe, is enough for it to take its share again.
        serveReqsDuringZoneLoss(harness, "none", 5000);
        int recoveryIndex = harness.sentTries.size();
        serveReqsDuringZoneLoss(harness, "none", 2000);
        assertTrue(
                tryCountInZone(harness, recoveryIndex, "b") > 25,
                "tries after the recovery: " + tryCountInZone(harness, recoveryIndex, "b"));
    }

    @Test
    void triesInUnreachableZoneAreCancelledAndRedistributed() {
        PolicyHarness harness =
                PolicyHarness.inFleet(sidecarAtVoterRank(2, 0), 14, 6, 4)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serveReqs(harness, 8, (p, i) -> usualMs(i), replacePods(harness, 30, 0));
        harness.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        serveReqs(harness, 3, (p, i) -> usualMs(i), replacePods(harness, 30, 30));
        List<String> unansweredReqs = new ArrayList<>();
        for (int i = 0; i < 45; i++) {
            harness.sendReq("unanswered" + i, "get", 2 * SECOND_NS);
            if (PolicyHarness.podNumber(harness.lastSent().podId()) % 2 == 1) {
                unansweredReqs.add("unanswered" + i);
            } else {
                harness.endTry("unanswered" + i, 0, TryOutcome.OK, 60 * MILLISECOND_NS);
            }
        }
        int firstIndex = harness.sentTries.size();
        serveReqsDuringZoneLoss(harness, "b", 300);
        assertTrue(
                unansweredReqs.size() > 3 && harness.cancelledReqs.containsAll(unansweredReqs),
                harness.cancelledReqs + " of " + unansweredReqs);
        unansweredReqs.forEach(id -> harness.endTry(id, 0, TryOutcome.CANCELLED, SECOND_NS));
        unansweredReqs.forEach(id -> harness.endTry(id, 1, TryOutcome.OK, 60 * MILLISECOND_NS));
        serveReqsDuringZoneLoss(harness, "b", 3000);
        // Half of the pods on trial are left. They get half of the load of the earlier pods, not
        // all of it.
        var reachablePodNumbers =
                harness.sentTries.subList(firstIndex, harness.sentTries.size()).stream()
                        .map(t -> PolicyHarness.podNumber(t.podId()))
                        .filter(n -> n % 2 == 0)
                        .toList();
        long onTrial = reachablePodNumbers.stream().filter(n -> n >= 30).count();
        assertTrue(
                onTrial < 0.65 * reachablePodNumbers.size(),
                onTrial + " of " + reachablePodNumbers.size());
    }

    @Test
    void restartedPodsInUnreachableZoneAreUsed() {
        PolicyHarness harness =
                PolicyHarness.inFleet(0, 14, 6, 4)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        replacePods(harness, 12, 0);
        serveReqsDuringZoneLoss(harness, "none", 2000);
        serveReqsDuringZoneLoss(harness, "b", 2000);
        int firstIndex = harness.sentTries.size();
        harness.policy.onPodListUpdated(
                harness.nowNs,
                List.of(
                        PolicyHarness.podEntry(1, 1, harness.nowNs),
                        PolicyHarness.podEntry(3, 1, harness.nowNs)));
        // These pods do not answer yet, so that the zone stays unreachable.
        serveReqsDuringZoneLoss(harness, "b", 2000);
        long toRestartedPods =
                harness.sentTries.subList(firstIndex, harness.sentTries.size()).stream()
                        .filter(s -> List.of(1, 3).contains(PolicyHarness.podNumber(s.podId())))
                        .count();
        assertTrue(toRestartedPods >= 2, "tries at restarted pods: " + toRestartedPods);
    }

    /**
     * Loses a zone for two seconds during a trial, after which all pods are slow, and checks that
     * the sidecar does not vote for a rollback.
     *
     * @param calmSeconds the time from the start of the trial to the loss
     * @param slowReqCount the number of slow reqs after the loss
     */
    private static PolicyHarness harnessAfterZoneLoss(int rank, int calmSeconds, int slowReqCount) {
        PolicyHarness harness =
                PolicyHarness.inFleet(rank, 14, 6, 4)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        serveReqs(harness, 8, (p, i) -> usualMs(i), replacePods(harness, 30, 0));
        harness.setRolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 0.7);
        serveReqs(harness, calmSeconds, (p, i) -> usualMs(i), replacePods(harness, 30, 30));
        serveReqsDuringZoneLoss(harness, "b", 2000);
        serveReqs(
                harness, slowReqCount / 50, (p, i) -> 3 * usualMs(i), replacePods(harness, 30, 30));
        assertTrue(harness.votes.stream().noneMatch(v -> v.vote() == RolloutVote.BACK));
        return harness;
    }

    @Test
    void latenessFromZoneLossDoesNotRollBack() {
        PolicyHarness harness = harnessAfterZoneLoss(sidecarAtVoterRank(1, 0), 20, 700);
        assertTrue(
                harness.votes.get(harness.votes.size() - 1).atNs() > harness.nowNs - 4 * SECOND_NS,
                "the vote to approve was not renewed");
        // In a young trial the loss affects the outcomes of the trial more than those of the
        // earlier build. Lateness alone may then only hold it.
        harnessAfterZoneLoss(sidecarAtVoterRank(1, 0), 0, 300);
    }

    /**
     * Returns the time from the start of a bad trial until enough live sidecars have voted for a
     * rollback, while the first voters are down.
     */
    private static long rollbackDelayNs(int sidecarCount, int neededVotes, int deadVoterCount) {
        RolloutStatus trial = new RolloutStatus(2, 1, RolloutStatus.Phase.ON_TRIAL, 0, 0);
        long[] delaysNs =
                IntStream.range(0, sidecarCount)
                        .filter(i -> trial.voterRank(i, sidecarCount) >= deadVoterCount)
                        .mapToLong(
                                i -> {
                                    PolicyHarness harness =
                                            PolicyHarness.inFleet(i, sidecarCount, 2, neededVotes);
                                    replacePods(harness, 8, 4);
                                    harness.setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1)
                                            .setRolloutStatus(
                                                    2, 1, RolloutStatus.Phase.ON_TRIAL, 0);
                                    long startNs = harness.nowNs;
                                    while (harness.votes.stream()
                                                    .noneMatch(v -> v.vote() == RolloutVote.BACK)
                                            && harness.nowNs < startNs + 60 * SECOND_NS) {
                                        harness.policy.onPlatformTally(
                                                harness.nowNs,
                                                "get",
                                                1,
                                                100,
                                                0,
                                                100 * MILLISECOND_NS,
                                                SECOND_NS);
                                        harness.policy.onPlatformTally(
                                                harness.nowNs,
                                                "get",
                                                2,
                                                100,
                                                30,
                                                100 * MILLISECOND_NS,
                                                SECOND_NS);
                                        harness.advance(500 * MILLISECOND_NS);
                                    }
                                    return harness.votes.get(harness.votes.size() - 1).atNs()
                                            - startNs;
                                })
                        .sorted()
                        .toArray();
        return delaysNs[neededVotes - 1];
    }

    @Test
    void standInsRollBackWhenFirstVotersAreDown() {
        long delayWithAllVotersNs = rollbackDelayNs(14, 4, 0);
        assertTrue(
                rollbackDelayNs(14, 4, 4) <= delayWithAllVotersNs + SECOND_NS,
                (rollbackDelayNs(14, 4, 4) - delayWithAllVotersNs) / MILLISECOND_NS + " ms");
        assertTrue(
                rollbackDelayNs(14, 4, 8) <= delayWithAllVotersNs + 2 * SECOND_NS,
                (rollbackDelayNs(14, 4, 8) - delayWithAllVotersNs) / MILLISECOND_NS + " ms");
        // On a small fleet the steps are not shortened: they end at the next sample.
        assertEquals(SECOND_NS, rollbackDelayNs(3, 1, 2) - rollbackDelayNs(3, 1, 0));
    }

    /** Returns the number of the sidecar, of 14, that has the given rank among the voters. */
    private static int sidecarAtVoterRank(int stage, int rank) {
        RolloutStatus trial = new RolloutStatus(2, stage, RolloutStatus.Phase.ON_TRIAL, 1, 0);
        return IntStream.range(0, 14)
                .filter(i -> trial.voterRank(i, 14) == rank)
                .findFirst()
                .getAsInt();
    }

    /**
     * Returns the time from the start of a trial to the first vote of a later-ranked sidecar that
     * has seen the given number of reqs.
     */
    private static long firstApprovalDelayNs(int trialReqCount) {
        PolicyHarness harness =
                PolicyHarness.inFleet(sidecarAtVoterRank(0, 9), 14, 6, 4)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        replacePods(harness, 1, 40);
        harness.setRolloutStatus(2, 0, RolloutStatus.Phase.ON_TRIAL, 1);
        long startNs = harness.nowNs;
        for (int i = 0; i < trialReqCount; i++) {
            harness.sendReq("r" + i, "get", 2 * SECOND_NS);
            harness.endTry("r" + i, 0, TryOutcome.OK, 50 * MILLISECOND_NS);
        }
        harness.advance(30 * SECOND_NS);
        return harness.votes.get(0).atNs() - startNs;
    }

    @Test
    void sidecarsWithMoreTrialTrafficApproveSooner() {
        assertTrue(
                firstApprovalDelayNs(10) >= 8 * SECOND_NS,
                firstApprovalDelayNs(10) / MILLISECOND_NS + " ms");
        assertTrue(
                firstApprovalDelayNs(2000) <= 3 * SECOND_NS,
                firstApprovalDelayNs(2000) / MILLISECOND_NS + " ms");
    }

    @Test
    void outcomesNeededPerSidecarShrinkWithNeededVotes() {
        for (int neededVotes : new int[] {2, 6}) {
            PolicyHarness harness =
                    PolicyHarness.inFleet(sidecarAtVoterRank(2, 0), 14, neededVotes, 4)
                            .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
            replacePods(harness, 4, 4);
            harness.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
            for (int i = 0; i < 45; i++) {
                harness.sendReq("r" + i, "get", 2 * SECOND_NS);
                harness.endTry("r" + i, 0, TryOutcome.OK, 50 * MILLISECOND_NS);
            }
            harness.advance(8 * SECOND_NS);
            assertEquals(
                    neededVotes == 6,
                    harness.votes.stream().anyMatch(v -> v.vote() == RolloutVote.ON),
                    "needed " + neededVotes);
        }
    }

    /**
     * The clients of the reqs wait for two seconds, so that no try has ended before and no verdict
     * is possible.
     */
    @Test
    void unansweredTrialLosesTrafficBeforeTriesEnd() {
        PolicyHarness harness =
                PolicyHarness.withDefaults(10, false, false, 1)
                        .setRolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1);
        replacePods(harness, 80, 80);
        harness.setRolloutStatus(2, 2, RolloutStatus.Phase.ON_TRIAL, 1);
        int[] toTrial = new int[2];
        for (int i = 0; i < 60; i++) {
            harness.sendReq("r" + i, "get", 2 * SECOND_NS);
            if (harness.lastSent().reqId().equals("r" + i)
                    && PolicyHarness.podNumber(harness.lastSent().podId()) >= 80) {
                toTrial[i / 30]++;
            } else if (harness.lastSent().reqId().equals("r" + i)) {
                harness.endTry("r" + i, 0, TryOutcome.OK, 20 * MILLISECOND_NS);
            }
            harness.advance(100 * MILLISECOND_NS / 3);
        }
        assertTrue(toTrial[0] > 2 * toTrial[1], toTrial[0] + " and then " + toTrial[1]);
    }
}
