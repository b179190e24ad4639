package mulleinlever;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The tests' one helper: settings by route, and a host that keeps what is asked for and runs
 * timers.
 */
final class PolicyHarness implements PolicyActions {
    static final long MILLISECOND_NS = 1_000_000L;
    static final long SECOND_NS = 1_000 * MILLISECOND_NS;

    record SentTry(String reqId, String pod, long atNs, long limitNs) {}

    record CastVote(long atNs, int build, int stage, RolloutVote verdict) {}

    final List<SentTry> sentTries = new ArrayList<>();
    final Map<String, String> finalAnswers = new LinkedHashMap<>();
    final List<CastVote> votes = new ArrayList<>();
    final List<String> cancelledReqs = new ArrayList<>();
    final TreeMap<Long, List<String>> timers = new TreeMap<>();
    long nowNs = 100 * SECOND_NS;
    Policy policy;

    static Settings.RouteSettings route(
            String name, Settings.RetrySafety repeat, Settings.DedupScope scope) {
        return new Settings.RouteSettings(
                name,
                500 * MILLISECOND_NS,
                0,
                2 * SECOND_NS,
                repeat,
                scope,
                250 * MILLISECOND_NS,
                false,
                0.2,
                1);
    }

    static Settings settings(
            Settings.VoteControl control,
            boolean byRoute,
            int shielded,
            boolean oneWay,
            boolean ask,
            List<Settings.RouteSettings> routes,
            int sidecars,
            boolean copies) {
        int holds = control == Settings.VoteControl.CLOCKED ? 1 : 0;
        var rollout =
                new Settings.RolloutSettings(
                        control,
                        false,
                        1,
                        1,
                        holds,
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
                        byRoute,
                        shielded,
                        oneWay,
                        false,
                        0.3,
                        4);
        var rules =
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
                        copies,
                        true,
                        SECOND_NS,
                        100,
                        250 * MILLISECOND_NS,
                        15 * SECOND_NS);
        return new Settings(
                0,
                sidecars,
                "a",
                List.of("a", "b"),
                ask,
                5 * MILLISECOND_NS,
                0.2,
                routes,
                List.of(),
                rollout,
                rules,
                limits,
                new Settings.CostWeights(0.02, 0.05, 0.01, 0.05),
                Settings.ReportSource.OFF,
                true);
    }

    /**
     * One of a fleet whose platform wants so many votes; the pods lie in two zones, neither of them
     * its own.
     */
    static PolicyHarness inFleet(int rank, int sidecars, int onVotes, int backVotes) {
        Settings s =
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
                        sidecars,
                        false);
        Settings.RolloutSettings r = s.rollout();
        var rollout =
                new Settings.RolloutSettings(
                        r.control(),
                        false,
                        onVotes,
                        backVotes,
                        0,
                        r.bakeNs(),
                        r.advanceDelayNs(),
                        r.voteLifetimeNs(),
                        r.voteTimeoutNs(),
                        16,
                        r.statusIntervalNs(),
                        r.tallyIntervalNs(),
                        r.tallySampleShare(),
                        r.complaintReportRate(),
                        r.stageShares(),
                        r.stageExposureCaps(),
                        r.exposureWindowNs(),
                        r.exposureBurst(),
                        false,
                        0,
                        false,
                        false,
                        r.staleBuildPrice(),
                        r.damagePrice());
        return create(
                new Settings(
                        rank,
                        sidecars,
                        "c",
                        s.zones(),
                        false,
                        s.clockStepNs(),
                        s.overShareValue(),
                        s.routes(),
                        s.tenants(),
                        rollout,
                        s.contract(),
                        s.policyLimits(),
                        s.prices(),
                        s.reportSource(),
                        true),
                rank);
    }

    static PolicyHarness create(Settings s, long seed) {
        PolicyHarness b = new PolicyHarness();
        b.policy = new Policy(s, seed, b.nowNs, b);
        return b;
    }

    static PolicyHarness withDefaults() {
        return withDefaults(3, false, false, 1);
    }

    static PolicyHarness withDefaults(int sidecars, boolean copies, boolean oneWay, long seed) {
        var get = route("get", Settings.RetrySafety.IDEMPOTENT, Settings.DedupScope.ALL);
        var control = Settings.VoteControl.SINGLE;
        return create(
                settings(control, false, 0, oneWay, false, List.of(get), sidecars, copies), seed);
    }

    static PodEntry podEntry(int i, int build, long startedNs) {
        return new PodEntry(
                "pod" + i,
                i % 2 == 0 ? "a" : "b",
                "k",
                i % 2,
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

    void sendReq(String id, String route, long expiresInNs) {
        policy.onReq(nowNs, new Req(id, route, false, false, expiresInNs, 0, -1, null));
    }

    void endTry(String id, int tryNo, TryOutcome ending, long tookNs) {
        policy.onTryEnded(nowNs, id, tryNo, ending, tookNs, ending == TryOutcome.OK);
    }

    void advance(long ns) {
        long until = nowNs + ns;
        while (!timers.isEmpty() && timers.firstKey() <= until) {
            var due = timers.pollFirstEntry();
            nowNs = Math.max(nowNs, due.getKey());
            due.getValue().forEach(token -> policy.onTimer(nowNs, token));
        }
        nowNs = until;
    }

    static int podNumber(String pod) {
        return Integer.parseInt(pod.substring(3));
    }

    SentTry lastSent() {
        return sentTries.get(sentTries.size() - 1);
    }

    @Override
    public void startTry(String rq, String pod, long writeWithinNs, long limitNs) {
        sentTries.add(new SentTry(rq, pod, nowNs, limitNs));
    }

    @Override
    public void shedReq(String rq, long backoffNs) {
        answer(rq, "shed");
    }

    @Override
    public void failReq(String rq) {
        answer(rq, "error");
    }

    private void answer(String rq, String what) {
        if (finalAnswers.put(rq, what) != null) {
            throw new AssertionError("two answers to " + rq);
        }
    }

    @Override
    public void cancelTry(String rq, int tryNo) {
        cancelledReqs.add(rq);
    }

    @Override
    public void castVote(int build, int stage, RolloutVote verdict) {
        votes.add(new CastVote(nowNs, build, stage, verdict));
    }

    @Override
    public void watchPodList() {}

    @Override
    public void scheduleTimer(long atNs, String token) {
        timers.computeIfAbsent(Math.max(atNs, nowNs + 1), t -> new ArrayList<>()).add(token);
    }

    @Override
    public void log(String line) {}
}
