package mulleinlever;

import static mulleinlever.PolicyHarness.MILLISECOND_NS;
import static mulleinlever.PolicyHarness.SECOND_NS;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import mulleinlever.Settings.DedupScope;
import mulleinlever.Settings.RetrySafety;
import mulleinlever.Settings.VoteControl;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the actions of a policy on generated days against a plain model of the five rules: a final
 * answer by the deadline and none that is unsafe to repeat, no unsafe retry, no try to a pod that
 * has left, no overload of a pod in slow start, and no exposure beyond the cap. The model keeps the
 * complete history and is slow.
 */
class PolicyRulesModelTest {
    private record OpenTry(String reqId, int tryNumber, int build, long dueNs) {}

    private record ExposedTry(long sentNs, int build, String route) {}

    private record CapChange(long atNs, double cap) {}

    private final Map<String, PodEntry> entries = new HashMap<>();
    private final Map<String, Long> goneSinceNs = new HashMap<>();
    private final Map<String, Req> reqs = new HashMap<>();
    private final Map<String, Long> arrivedNs = new HashMap<>();
    private final Map<String, List<PolicyHarness.SentTry>> triesByReq = new HashMap<>();
    private final Map<String, List<TryOutcome>> outcomesByReq = new HashMap<>();
    private final Map<String, String> finalAnswers = new HashMap<>();
    private final Map<String, List<Long>> slowStartSendTimesNs = new HashMap<>();
    private final Map<String, List<Long>> warmSendTimesNs = new HashMap<>();
    private long maxWarmSendsPerSecond;
    private final Map<Long, Integer> buildByKey = new HashMap<>();
    private final List<ExposedTry> exposedTries = new ArrayList<>();
    private RolloutStatus rolloutStatus =
            new RolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1, 0);
    private final List<CapChange> capChanges = new ArrayList<>();
    private final List<OpenTry> openTries = new ArrayList<>();
    private Settings settings;
    private PolicyHarness harness;
    private int checkedTryCount;

    @ParameterizedTest
    @ValueSource(
            longs = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23
            })
    void policyKeepsRules(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DedupScope scope = DedupScope.values()[random.nextInt(3)];
        settings =
                PolicyHarness.settings(
                        VoteControl.values()[random.nextInt(3)],
                        random.nextBoolean(),
                        random.nextInt(2),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        List.of(
                                PolicyHarness.route("r", RetrySafety.IDEMPOTENT, DedupScope.ALL),
                                PolicyHarness.route("d", RetrySafety.DEDUPLICATED, scope),
                                PolicyHarness.route(
                                        "n", RetrySafety.NOT_RETRYABLE, DedupScope.ALL)),
                        seed % 2 == 0 ? 3 : 200,
                        seed % 3 == 0);
        harness = PolicyHarness.create(settings, seed);
        List<PodEntry> first =
                IntStream.range(0, 8).mapToObj(i -> PolicyHarness.podEntry(i, 1, 0)).toList();
        harness.policy.onPodListReplaced(harness.nowNs, first);
        first.forEach(this::recordEntry);
        setRolloutStatus(rolloutStatus);
        if (seed % 2 == 1) {
            randomLearnedState(random)
                    .forEach(l -> harness.policy.restoreLearned(harness.nowNs, l));
        }
        for (int step = 0; step < 2_000; step++) {
            advanceTime();
            randomEvents(random, step);
            checkNewActions();
        }
        for (int step = 0; step < 400; step++) {
            advanceTime();
        }
        assertTrue(
                reqs.size() > 300 && !exposedTries.isEmpty(),
                "too few reqs or exposed tries to check the rules");
        reqs.keySet()
                .forEach(
                        id -> assertTrue(finalAnswers.containsKey(id), "no final answer to " + id));
    }

    /** Returns random state to restore. The rules must hold whether or not the state is true. */
    private List<LearnedState> randomLearnedState(SplittableRandom random) {
        List<LearnedState> learned = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            LearnedState.WeightedMean share =
                    new LearnedState.WeightedMean(random.nextDouble() * 5, random.nextInt(1_000));
            LearnedState.WeightedMean times =
                    new LearnedState.WeightedMean(
                            random.nextInt(3_000) * MILLISECOND_NS, random.nextInt(1_000));
            int build = random.nextInt(4);
            String route = List.of("r", "d", "n", "", "other").get(random.nextInt(5));
            learned.add(
                    switch (random.nextInt(5)) {
                        case 0 -> new LearnedState.ConnectionStats(share, share);
                        case 1 ->
                                new LearnedState.PodStats(
                                        PolicyHarness.podEntry(random.nextInt(10), build, 0),
                                        share,
                                        share,
                                        random.nextInt(9));
                        case 2 -> new LearnedState.RouteStats(route, build, times, times);
                        case 3 ->
                                new LearnedState.DetectorBaseline(
                                        build,
                                        route,
                                        random.nextBoolean(),
                                        share.mean() / 5,
                                        share.mean() / 9,
                                        50);
                        default -> new LearnedState.KeyBuild(random.nextInt(60), build);
                    });
        }
        return learned;
    }

    private void advanceTime() {
        harness.advance(5 * MILLISECOND_NS);
        checkNewActions();
        for (OpenTry openTry : List.copyOf(openTries)) {
            if (harness.nowNs >= openTry.dueNs) {
                openTries.remove(openTry);
                harness.policy.onTryEnded(
                        harness.nowNs,
                        openTry.reqId,
                        openTry.tryNumber,
                        TryOutcome.TIMEOUT,
                        2 * SECOND_NS,
                        finalAnswers.containsKey(openTry.reqId));
                checkNewActions();
            }
        }
    }

    private void randomEvents(SplittableRandom random, int step) {
        int reqCount = random.nextInt(step / 400 % 2 == 0 ? 2 : 5);
        for (int i = 0; i < reqCount; i++) {
            String route = List.of("r", "d", "n").get(random.nextInt(3));
            Req req =
                    new Req(
                            step + "." + i,
                            route,
                            false,
                            false,
                            (100 + random.nextInt(1_500)) * MILLISECOND_NS,
                            0,
                            random.nextInt(60),
                            null,
                            0);
            reqs.put(req.id(), req);
            arrivedNs.put(req.id(), harness.nowNs);
            harness.policy.onReq(harness.nowNs, req);
            checkNewActions();
        }
        while (!openTries.isEmpty() && (random.nextInt(4) > 0 || openTries.size() > 40)) {
            OpenTry openTry = openTries.remove(random.nextInt(openTries.size()));
            TryOutcome outcome =
                    random.nextInt(10) > 2 ? TryOutcome.OK : TryOutcome.values()[random.nextInt(6)];
            outcomesByReq.get(openTry.reqId).set(openTry.tryNumber, outcome);
            boolean complete = outcome == TryOutcome.OK || finalAnswers.containsKey(openTry.reqId);
            if (outcome == TryOutcome.OK && !finalAnswers.containsKey(openTry.reqId)) {
                finalAnswers.put(openTry.reqId, "ok");
                buildByKey.merge(reqs.get(openTry.reqId).key(), openTry.build, Math::max);
            }
            harness.policy.onTryEnded(
                    harness.nowNs,
                    openTry.reqId,
                    openTry.tryNumber,
                    outcome,
                    (50 + random.nextInt(200)) * MILLISECOND_NS,
                    complete);
            checkNewActions();
        }
        if (random.nextInt(300) == 0 && !openTries.isEmpty()) {
            finalAnswers.put(openTries.get(0).reqId, "gone");
            harness.policy.onClientDisconnected(harness.nowNs, openTries.get(0).reqId);
        }
        if (random.nextInt(40) == 0) {
            changeRandomPod(random);
            checkNewActions();
        }
        if (random.nextInt(150) == 0) {
            changeRollout(random);
        }
        if (random.nextInt(200) == 0) {
            harness.policy.onPodListWatchFailed(harness.nowNs);
        }
        if (random.nextInt(20) == 0) {
            harness.policy.onPlatformTally(
                    harness.nowNs,
                    random.nextInt(5) == 0 ? "no such" : "r",
                    random.nextInt(9),
                    random.nextInt(50) - 5,
                    random.nextInt(60),
                    random.nextInt(300) * MILLISECOND_NS - 50 * MILLISECOND_NS,
                    SECOND_NS);
            harness.policy.onComplaint(
                    harness.nowNs, "pod" + random.nextInt(20), random.nextBoolean() ? "d" : "none");
        }
        if (random.nextInt(30) == 0) {
            harness.policy.onVoteAnswered(harness.nowNs, random.nextBoolean());
        }
    }

    private void changeRandomPod(SplittableRandom random) {
        int podNumber = random.nextInt(14);
        PodEntry entry =
                PolicyHarness.podEntry(
                        podNumber,
                        podNumber < 8 ? 1 : rolloutStatus.build() + random.nextInt(2),
                        harness.nowNs - random.nextInt(6_000) * MILLISECOND_NS);
        int change = random.nextInt(5);
        if (change < 2 && entries.containsKey(entry.id())) {
            PodEntry previous = entries.get(entry.id());
            entry =
                    new PodEntry(
                            entry.id(),
                            entry.zone(),
                            entry.kind(),
                            entry.cell(),
                            previous.build(),
                            change == 0 ? PodEntry.State.DRAINING : PodEntry.State.GONE,
                            1,
                            previous.startedNs());
        }
        recordEntry(entry);
        harness.policy.onPodListUpdated(harness.nowNs, List.of(entry));
    }

    private void changeRollout(SplittableRandom random) {
        RolloutStatus.Phase phase = RolloutStatus.Phase.values()[random.nextInt(3)];
        int build =
                rolloutStatus.phase() == RolloutStatus.Phase.ON_TRIAL || random.nextBoolean()
                        ? rolloutStatus.build()
                        : rolloutStatus.build() + 1;
        int stage = random.nextInt(3);
        double cap =
                phase == RolloutStatus.Phase.REVERTING
                        ? 0
                        : settings.rollout().stageExposureCaps().get(stage);
        setRolloutStatus(new RolloutStatus(Math.max(2, build), stage, phase, cap, 0));
    }

    private void recordEntry(PodEntry entry) {
        PodEntry previous = entries.put(entry.id(), entry);
        if (entry.state() == PodEntry.State.READY) {
            goneSinceNs.remove(entry.id());
        } else {
            goneSinceNs.putIfAbsent(entry.id(), harness.nowNs);
        }
        if (previous == null || previous.startedNs() != entry.startedNs()) {
            slowStartSendTimesNs.put(entry.id(), new ArrayList<>());
        }
    }

    private void setRolloutStatus(RolloutStatus newStatus) {
        if (newStatus.build() != rolloutStatus.build()) {
            capChanges.clear();
        }
        rolloutStatus = newStatus;
        capChanges.add(new CapChange(harness.nowNs, newStatus.cap()));
        harness.policy.onRolloutStatus(harness.nowNs, newStatus);
    }

    private void checkNewActions() {
        harness.finalAnswers.forEach(
                (reqId, answer) -> {
                    if (!finalAnswers.containsKey(reqId)) {
                        finalAnswers.put(reqId, answer);
                        RetrySafety retrySafety = retrySafetyOf(reqId);
                        List<TryOutcome> outcomes = outcomesByReq.getOrDefault(reqId, List.of());
                        boolean mayHaveRun = outcomes.stream().anyMatch(o -> !o.provesNotRun());
                        long deadlineNs = arrivedNs.get(reqId) + reqs.get(reqId).expiresInNs();
                        assertTrue(
                                harness.nowNs <= deadlineNs + 20 * MILLISECOND_NS,
                                "answered after the deadline");
                        boolean safeToShed =
                                retrySafety == RetrySafety.IDEMPOTENT
                                        || retrySafety == RetrySafety.DEDUPLICATED
                                                && settings.routes().get(1).dedupScope()
                                                        == DedupScope.ALL;
                        assertTrue(
                                !answer.equals("shed") || !mayHaveRun || safeToShed,
                                "shed although it may have run and a retry is unsafe");
                    }
                });
        for (; checkedTryCount < harness.sentTries.size(); checkedTryCount++) {
            checkSentTry(harness.sentTries.get(checkedTryCount));
        }
    }

    private RetrySafety retrySafetyOf(String reqId) {
        return settings.routes().stream()
                .filter(r -> r.name().equals(reqs.get(reqId).route()))
                .findFirst()
                .get()
                .retrySafety();
    }

    private void checkSentTry(PolicyHarness.SentTry sentTry) {
        PodEntry pod = entries.get(sentTry.podId());
        Req req = reqs.get(sentTry.reqId());
        assertFalse(finalAnswers.containsKey(sentTry.reqId()), "sent after the final answer");
        assertFalse(
                sentTry.sentNs()
                        > goneSinceNs.getOrDefault(sentTry.podId(), Long.MAX_VALUE - SECOND_NS)
                                + 500 * MILLISECOND_NS,
                "sent to a pod past the drain grace");
        checkRetryRules(sentTry, pod);
        checkExposureRules(sentTry, pod, req);
        if (sentTry.sentNs() < pod.startedNs() + settings.contract().slowStartNs()) {
            List<Long> slowStartTimesNs = slowStartSendTimesNs.get(sentTry.podId());
            slowStartTimesNs.add(sentTry.sentNs());
            long lastSecondCount =
                    slowStartTimesNs.stream().filter(t -> t > sentTry.sentNs() - SECOND_NS).count();
            double capacityShare =
                    0.3
                            + 0.7
                                    * (sentTry.sentNs() - pod.startedNs())
                                    / settings.contract().slowStartNs();
            assertTrue(
                    lastSecondCount <= 2 + 2 * capacityShare * maxWarmSendsPerSecond,
                    "overloaded a pod in slow start");
        } else {
            List<Long> warmTimesNs =
                    warmSendTimesNs.computeIfAbsent(sentTry.podId(), k -> new ArrayList<>());
            warmTimesNs.add(sentTry.sentNs());
            maxWarmSendsPerSecond =
                    Math.max(
                            maxWarmSendsPerSecond,
                            warmTimesNs.stream()
                                    .filter(t -> t > sentTry.sentNs() - SECOND_NS)
                                    .count());
        }
        triesByReq.computeIfAbsent(sentTry.reqId(), k -> new ArrayList<>()).add(sentTry);
        outcomesByReq
                .computeIfAbsent(sentTry.reqId(), k -> new ArrayList<>())
                .add(TryOutcome.TIMEOUT);
        long dueNs =
                Math.min(
                        sentTry.sentNs() + sentTry.timeoutNs(),
                        arrivedNs.get(sentTry.reqId()) + req.expiresInNs());
        openTries.add(
                new OpenTry(
                        sentTry.reqId(),
                        outcomesByReq.get(sentTry.reqId()).size() - 1,
                        pod.build(),
                        dueNs));
    }

    private void checkRetryRules(PolicyHarness.SentTry sentTry, PodEntry pod) {
        List<PolicyHarness.SentTry> earlierTries =
                triesByReq.getOrDefault(sentTry.reqId(), List.of());
        assertTrue(earlierTries.size() < settings.policyLimits().maxTries(), "too many tries");
        long openTryCount = openTries.stream().filter(o -> o.reqId.equals(sentTry.reqId())).count();
        assertTrue(
                openTryCount < (settings.policyLimits().canHedge() ? 2 : 1), "too many open tries");
        for (int i = 0; i < earlierTries.size(); i++) {
            if (outcomesByReq.get(sentTry.reqId()).get(i).provesNotRun()) {
                continue;
            }
            assertTrue(
                    retrySafetyOf(sentTry.reqId()) != RetrySafety.NOT_RETRYABLE,
                    "may have run twice");
            if (retrySafetyOf(sentTry.reqId()) == RetrySafety.DEDUPLICATED) {
                PodEntry firstPod = entries.get(earlierTries.get(i).podId());
                DedupScope scope = settings.routes().get(1).dedupScope();
                assertTrue(
                        scope == DedupScope.ALL
                                || scope == DedupScope.ZONE && firstPod.zone().equals(pod.zone())
                                || scope == DedupScope.CELL && firstPod.cell() == pod.cell(),
                        "retried outside the dedup scope");
                assertTrue(
                        sentTry.sentNs()
                                < earlierTries.get(i).sentNs()
                                        + settings.routes().get(1).dedupWindowNs(),
                        "retried after the dedup window");
                break;
            }
        }
    }

    private void checkExposureRules(PolicyHarness.SentTry sentTry, PodEntry pod, Req req) {
        boolean rolloutActive =
                rolloutStatus.phase() == RolloutStatus.Phase.ON_TRIAL
                        || rolloutStatus.phase() == RolloutStatus.Phase.RELEASED;
        if (settings.rollout().keysAreOneWay() && rolloutActive) {
            assertTrue(
                    pod.build() >= buildByKey.getOrDefault(req.key(), 0),
                    "a one-way key went to an older build");
        }
        boolean isReportedBuild = pod.build() == rolloutStatus.build();
        if (pod.build() < rolloutStatus.build()
                || isReportedBuild && rolloutStatus.phase() == RolloutStatus.Phase.RELEASED) {
            return;
        }
        double cap =
                isReportedBuild
                        ? rolloutStatus.cap()
                        : settings.rollout().stageExposureCaps().get(0);
        int stage = isReportedBuild ? rolloutStatus.stage() : 0;
        assertTrue(cap > 0, "sent at cap 0");
        assertTrue(
                stage >= settings.rollout().shieldedStageCount() || req.route().equals("r"),
                "sent to a shielded stage");
        exposedTries.add(new ExposedTry(sentTry.sentNs(), pod.build(), req.route()));
        // Checks each window that ends with this try, begins after the last change of the cap and
        // is no longer than the exposure window.
        long capSinceNs = isReportedBuild ? capChanges.get(capChanges.size() - 1).atNs() : 0;
        for (ExposedTry first : exposedTries) {
            long startNs = first.sentNs();
            if (startNs < Math.max(capSinceNs, sentTry.sentNs() - 3 * SECOND_NS)
                    || first.build() != pod.build()) {
                continue;
            }
            long exposedCount =
                    exposedTries.stream()
                            .filter(e -> e.sentNs() >= startNs && e.build() == pod.build())
                            .filter(e -> countsTowards(e.route(), req.route()))
                            .count();
            long reqCount =
                    reqs.values().stream()
                            .filter(q -> arrivedNs.get(q.id()) >= startNs)
                            .filter(q -> countsTowards(q.route(), req.route()))
                            .count();
            assertTrue(
                    exposedCount <= settings.rollout().exposureBurst() + cap * reqCount + 1e-9,
                    "exposure beyond the cap");
        }
    }

    private boolean countsTowards(String route, String sentRoute) {
        return !settings.rollout().isExposurePerRoute() || route.equals(sentRoute);
    }
}
