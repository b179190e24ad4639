package mulleinlever;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs a {@link Policy} in virtual time: records the actions that it takes and calls its timers
 * when they are due.
 */
final class PolicyHarness implements PolicyActions {
    static final long MILLISECOND_NS = 1_000_000L;
    static final long SECOND_NS = 1_000 * MILLISECOND_NS;

    /** A try that the policy started. */
    record SentTry(String reqId, String podId, long sentNs, long timeoutNs) {}

    /** A vote that the policy cast. */
    record CastVote(long atNs, int build, int stage, RolloutVote vote) {}

    final List<SentTry> sentTries = new ArrayList<>();

    /** "shed" or "error" by the id of the req. */
    final Map<String, String> finalAnswers = new LinkedHashMap<>();

    final List<CastVote> votes = new ArrayList<>();
    final List<String> cancelledReqs = new ArrayList<>();
    final TreeMap<Long, List<String>> timers = new TreeMap<>();
    long nowNs = 100 * SECOND_NS;
    Policy policy;

    static Settings.RouteSettings route(
            String name, Settings.RetrySafety retrySafety, Settings.DedupScope dedupScope) {
        return new Settings.RouteSettings(
                name,
                500 * MILLISECOND_NS,
                0,
                2 * SECOND_NS,
                retrySafety,
                dedupScope,
                250 * MILLISECOND_NS,
                false,
                0.2,
                1);
    }

    static Settings settings(
            Settings.VoteControl control,
            boolean exposurePerRoute,
            int shieldedStageCount,
            boolean keysAreOneWay,
            boolean requiresListWatch,
            List<Settings.RouteSettings> routes,
            int sidecarCount,
            boolean canHedge) {
        int holdVoteCount = control == Settings.VoteControl.CLOCKED ? 1 : 0;
        var rollout =
                new Settings.RolloutSettings(
                        control,
                        false,
                        1,
                        1,
                        holdVoteCount,
                        SECOND_NS,
                        3 * SECOND_NS,
                        4 * SECOND_NS,
                        SECOND_NS,
                        100,
                        2 * SECOND_NS,
                        2 * SECOND_NS,
                        0.1,
                        0.2,
                        List.of(0.1, 0.5, 1.0),
                        List.of(0.2, 0.7, 1.0),
                        3 * SECOND_NS,
                        2,
                        exposurePerRoute,
                        shieldedStageCount,
                        keysAreOneWay,
                        false,
                        0.3,
                        4);
        var contract =
                new Settings.Contract(
                        20 * MILLISECOND_NS,
                        500 * MILLISECOND_NS,
                        0.3,
                        4 * SECOND_NS,
                        2,
                        SECOND_NS,
                        10 * SECOND_NS);
        var limits =
                new Settings.PolicyLimits(
                        4,
                        20_000,
                        true,
                        true,
                        canHedge,
                        true,
                        SECOND_NS,
                        100,
                        250 * MILLISECOND_NS,
                        15 * SECOND_NS);
        return new Settings(
                0,
                sidecarCount,
                "a",
                List.of("a", "b"),
                requiresListWatch,
                5 * MILLISECOND_NS,
                0.2,
                routes,
                List.of(),
                rollout,
                contract,
                limits,
                new Settings.Prices(0.02, 0.05, 0.01, 0.05),
                Settings.ReportSource.OFF,
                true);
    }

    /**
     * Returns a sidecar of a fleet whose platform needs the given numbers of votes. The pods are in
     * two zones, neither of them the zone of the sidecar.
     */
    static PolicyHarness inFleet(
            int rank, int sidecarCount, int approveVoteCount, int rollbackVoteCount) {
        Settings defaults =
                settings(
                        Settings.VoteControl.MAJORITY,
                        false,
                        0,
                        false,
                        false,
                        List.of(
                                route(
                                        "get",
                                        Settings.RetrySafety.IDEMPOTENT,
                                        Settings.DedupScope.ALL)),
                        sidecarCount,
                        false);
        Settings.RolloutSettings defaultRollout = defaults.rollout();
        var rollout =
                new Settings.RolloutSettings(
                        defaultRollout.control(),
                        false,
                        approveVoteCount,
                        rollbackVoteCount,
                        0,
                        defaultRollout.bakeNs(),
                        defaultRollout.advanceDelayNs(),
                        defaultRollout.voteLifetimeNs(),
                        defaultRollout.voteTimeoutNs(),
                        16,
                        defaultRollout.statusIntervalNs(),
                        defaultRollout.tallyIntervalNs(),
                        defaultRollout.tallySampleShare(),
                        defaultRollout.complaintReportRate(),
                        defaultRollout.stageShares(),
                        defaultRollout.stageExposureCaps(),
                        defaultRollout.exposureWindowNs(),
                        defaultRollout.exposureBurst(),
                        false,
                        0,
                        false,
                        false,
                        defaultRollout.staleBuildPrice(),
                        defaultRollout.damagePrice());
        return create(
                new Settings(
                        rank,
                        sidecarCount,
                        "c",
                        defaults.zones(),
                        false,
                        defaults.clockStepNs(),
                        defaults.overShareValue(),
                        defaults.routes(),
                        defaults.tenants(),
                        rollout,
                        defaults.contract(),
                        defaults.policyLimits(),
                        defaults.prices(),
                        defaults.reportSource(),
                        true),
                rank);
    }

    static PolicyHarness create(Settings settings, long seed) {
        PolicyHarness harness = new PolicyHarness();
        harness.policy = new Policy(settings, seed, harness.nowNs, harness);
        return harness;
    }

    static PolicyHarness withDefaults() {
        return withDefaults(3, false, false, 1);
    }

    static PolicyHarness withDefaults(
            int sidecarCount, boolean canHedge, boolean keysAreOneWay, long seed) {
        var get = route("get", Settings.RetrySafety.IDEMPOTENT, Settings.DedupScope.ALL);
        var control = Settings.VoteControl.SINGLE;
        return create(
                settings(
                        control,
                        false,
                        0,
                        keysAreOneWay,
                        false,
                        List.of(get),
                        sidecarCount,
                        canHedge),
                seed);
    }

    /**
     * Returns the entry of a ready pod: pods with even numbers are in zone a and cell 0, the others
     * in zone b and cell 1.
     */
    static PodEntry podEntry(int number, int build, long startedNs) {
        return new PodEntry(
                "pod" + number,
                number % 2 == 0 ? "a" : "b",
                "k",
                number % 2,
                build,
                PodEntry.State.READY,
                1,
                startedNs);
    }

    PolicyHarness addPods(int count, int build) {
        for (int i = 0; i < count; i++) {
            policy.onPodListUpdated(nowNs, List.of(podEntry(i, build, 0)));
        }
        return this;
    }

    PolicyHarness setRolloutStatus(int build, int stage, RolloutStatus.Phase phase, double cap) {
        policy.onRolloutStatus(nowNs, new RolloutStatus(build, stage, phase, cap, 0));
        return this;
    }

    void sendReq(String reqId, String route, long expiresInNs) {
        policy.onReq(nowNs, new Req(reqId, route, false, false, expiresInNs, 0, -1, null, 0));
    }

    void endTry(String reqId, int tryNumber, TryOutcome outcome, long durationNs) {
        policy.onTryEnded(nowNs, reqId, tryNumber, outcome, durationNs, outcome == TryOutcome.OK);
    }

    /** Advances the time and calls the timers that are due until then. */
    void advance(long durationNs) {
        long untilNs = nowNs + durationNs;
        while (!timers.isEmpty() && timers.firstKey() <= untilNs) {
            var due = timers.pollFirstEntry();
            nowNs = Math.max(nowNs, due.getKey());
            due.getValue().forEach(token -> policy.onTimer(nowNs, token));
        }
        nowNs = untilNs;
    }

    /** Returns the number in the id of a pod. */
    static int podNumber(String podId) {
        return Integer.parseInt(podId.substring(3));
    }

    SentTry lastSent() {
        return sentTries.get(sentTries.size() - 1);
    }

    @Override
    public void startTry(String reqId, String podId, long writeWithinNs, long timeoutNs) {
        sentTries.add(new SentTry(reqId, podId, nowNs, timeoutNs));
    }

    @Override
    public void shedReq(String reqId, long backoffNs) {
        putFinalAnswer(reqId, "shed");
    }

    @Override
    public void failReq(String reqId) {
        putFinalAnswer(reqId, "error");
    }

    private void putFinalAnswer(String reqId, String answer) {
        if (finalAnswers.put(reqId, answer) != null) {
            throw new AssertionError("two answers to " + reqId);
        }
    }

    @Override
    public void cancelTry(String reqId, int tryNumber) {
        cancelledReqs.add(reqId);
    }

    @Override
    public void castVote(int build, int stage, RolloutVote vote) {
        votes.add(new CastVote(nowNs, build, stage, vote));
    }

    @Override
    public void watchPodList() {}

    @Override
    public void scheduleTimer(long atNs, String token) {
        timers.computeIfAbsent(Math.max(atNs, nowNs + 1), t -> new ArrayList<>()).add(token);
    }

    @Override
    public void log(String message) {}
}
