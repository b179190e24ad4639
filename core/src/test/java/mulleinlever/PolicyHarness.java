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
    static final long MS = 1_000_000L;
    static final long S = 1_000 * MS;

    record SentTry(String rq, String pod, long atNs, long limitNs) {}

    record CastVote(long atNs, int build, int stage, RolloutVote verdict) {}

    final List<SentTry> sent = new ArrayList<>();
    final Map<String, String> answers = new LinkedHashMap<>();
    final List<CastVote> votes = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final TreeMap<Long, List<String>> timers = new TreeMap<>();
    long now = 100 * S;
    Policy policy;

    static Settings.RouteSettings route(
            String name, Settings.RetrySafety repeat, Settings.DedupScope scope) {
        return new Settings.RouteSettings(
                name, 500 * MS, 0, 2 * S, repeat, scope, 250 * MS, false, 0.2, 1);
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
                        S,
                        3 * S,
                        4 * S,
                        S,
                        100,
                        2 * S,
                        2 * S,
                        0.1,
                        0.2,
                        List.of(0.1, 0.5, 1.0),
                        List.of(0.2, 0.7, 1.0),
                        3 * S,
                        2,
                        byRoute,
                        shielded,
                        oneWay,
                        false,
                        0.3,
                        4);
        var rules = new Settings.Contract(20 * MS, 500 * MS, 0.3, 4 * S, 2, S, 10 * S);
        var limits =
                new Settings.PolicyLimits(
                        4, 20_000, true, true, copies, true, S, 100, 250 * MS, 15 * S);
        return new Settings(
                0,
                sidecars,
                "a",
                List.of("a", "b"),
                ask,
                5 * MS,
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
    static PolicyHarness ofMany(int rank, int sidecars, int onVotes, int backVotes) {
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
                                        Settings.RetrySafety.RETRIABLE,
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
                        r.movesAfterNs(),
                        r.voteStandsNs(),
                        r.voteWaitNs(),
                        16,
                        r.newsEveryNs(),
                        r.tallyEveryNs(),
                        r.tallySample(),
                        r.complaintShare(),
                        r.shares(),
                        r.caps(),
                        r.windowNs(),
                        r.uncounted(),
                        false,
                        0,
                        false,
                        false,
                        r.staleBuildPrice(),
                        r.damagePrice());
        return start(
                new Settings(
                        rank,
                        sidecars,
                        "c",
                        s.zones(),
                        false,
                        s.stepNs(),
                        s.overShareEarnings(),
                        s.routes(),
                        s.tenants(),
                        rollout,
                        s.rules(),
                        s.limits(),
                        s.prices(),
                        s.reports(),
                        true),
                rank);
    }

    static PolicyHarness start(Settings s, long seed) {
        PolicyHarness b = new PolicyHarness();
        b.policy = new Policy(s, seed, b.now, b);
        return b;
    }

    static PolicyHarness plain() {
        return plain(3, false, false, 1);
    }

    static PolicyHarness plain(int sidecars, boolean copies, boolean oneWay, long seed) {
        var get = route("get", Settings.RetrySafety.RETRIABLE, Settings.DedupScope.ALL);
        var control = Settings.VoteControl.SINGLE;
        return start(
                settings(control, false, 0, oneWay, false, List.of(get), sidecars, copies), seed);
    }

    static PodEntry pod(int i, int build, long startedNs) {
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

    PolicyHarness pods(int count, int build) {
        for (int i = 0; i < count; i++) {
            policy.listChanged(now, List.of(pod(i, build, 0)));
        }
        return this;
    }

    PolicyHarness news(int build, int stage, RolloutStatus.Phase phase, double cap) {
        policy.news(now, new RolloutStatus(build, stage, phase, cap, 0));
        return this;
    }

    void req(String id, String route, long expiresInNs) {
        policy.req(now, new Req(id, route, false, false, expiresInNs, 0, -1, null));
    }

    void end(String id, int tryNo, TryOutcome ending, long tookNs) {
        policy.tryEnded(now, id, tryNo, ending, tookNs, ending == TryOutcome.OK);
    }

    void pass(long ns) {
        long until = now + ns;
        while (!timers.isEmpty() && timers.firstKey() <= until) {
            var due = timers.pollFirstEntry();
            now = Math.max(now, due.getKey());
            due.getValue().forEach(token -> policy.timer(now, token));
        }
        now = until;
    }

    static int number(String pod) {
        return Integer.parseInt(pod.substring(3));
    }

    SentTry last() {
        return sent.get(sent.size() - 1);
    }

    @Override
    public void relay(String rq, String pod, long writeWithinNs, long limitNs) {
        sent.add(new SentTry(rq, pod, now, limitNs));
    }

    @Override
    public void shed(String rq, long backoffNs) {
        answer(rq, "shed");
    }

    @Override
    public void error(String rq) {
        answer(rq, "error");
    }

    private void answer(String rq, String what) {
        if (answers.put(rq, what) != null) {
            throw new AssertionError("two answers to " + rq);
        }
    }

    @Override
    public void cancel(String rq, int tryNo) {
        cancelled.add(rq);
    }

    @Override
    public void vote(int build, int stage, RolloutVote verdict) {
        votes.add(new CastVote(now, build, stage, verdict));
    }

    @Override
    public void watchList() {}

    @Override
    public void timer(long atNs, String token) {
        timers.computeIfAbsent(Math.max(atNs, now + 1), t -> new ArrayList<>()).add(token);
    }

    @Override
    public void log(String line) {}
}
