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
final class Bench implements Host {
    static final long MS = 1_000_000L;
    static final long S = 1_000 * MS;

    record Sent(String rq, String pod, long atNs, long limitNs) {}

    record Vote(long atNs, int build, int stage, Verdict verdict) {}

    final List<Sent> sent = new ArrayList<>();
    final Map<String, String> answers = new LinkedHashMap<>();
    final List<Vote> votes = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final TreeMap<Long, List<String>> timers = new TreeMap<>();
    long now = 100 * S;
    Policy policy;

    static Settings.Route route(String name, Settings.Repeat repeat, Settings.Scope scope) {
        return new Settings.Route(name, 500 * MS, 0, 2 * S, repeat, scope, 250 * MS, false, 0.2, 1);
    }

    static Settings settings(
            Settings.Control control,
            boolean byRoute,
            int shielded,
            boolean oneWay,
            boolean ask,
            List<Settings.Route> routes,
            int sidecars,
            boolean copies) {
        int holds = control == Settings.Control.CLOCKED ? 1 : 0;
        var rollout =
                new Settings.Rollout(
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
        var rules = new Settings.Rules(20 * MS, 500 * MS, 0.3, 4 * S, 2, S, 10 * S);
        var limits =
                new Settings.Limits(4, 20_000, true, true, copies, true, S, 100, 250 * MS, 15 * S);
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
                new Settings.Prices(0.02, 0.05, 0.01, 0.05),
                Settings.ReportSource.OFF,
                true);
    }

    /**
     * One of a fleet whose platform wants so many votes; the pods lie in two zones, neither of them
     * its own.
     */
    static Bench ofMany(int rank, int sidecars, int onVotes, int backVotes) {
        Settings s =
                settings(
                        Settings.Control.MAJORITY,
                        false,
                        0,
                        false,
                        false,
                        List.of(route("get", Settings.Repeat.RETRIABLE, Settings.Scope.ALL)),
                        sidecars,
                        false);
        Settings.Rollout r = s.rollout();
        var rollout =
                new Settings.Rollout(
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

    static Bench start(Settings s, long seed) {
        Bench b = new Bench();
        b.policy = new Policy(s, seed, b.now, b);
        return b;
    }

    static Bench plain() {
        return plain(3, false, false, 1);
    }

    static Bench plain(int sidecars, boolean copies, boolean oneWay, long seed) {
        var get = route("get", Settings.Repeat.RETRIABLE, Settings.Scope.ALL);
        var control = Settings.Control.SINGLE;
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

    Bench pods(int count, int build) {
        for (int i = 0; i < count; i++) {
            policy.listChanged(now, List.of(pod(i, build, 0)));
        }
        return this;
    }

    Bench news(int build, int stage, News.Phase phase, double cap) {
        policy.news(now, new News(build, stage, phase, cap, 0));
        return this;
    }

    void req(String id, String route, long expiresInNs) {
        policy.req(now, new Req(id, route, false, false, expiresInNs, 0, -1, null));
    }

    void end(String id, int tryNo, Ending ending, long tookNs) {
        policy.tryEnded(now, id, tryNo, ending, tookNs, ending == Ending.OK);
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

    Sent last() {
        return sent.get(sent.size() - 1);
    }

    @Override
    public void relay(String rq, String pod, long writeWithinNs, long limitNs) {
        sent.add(new Sent(rq, pod, now, limitNs));
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
    public void vote(int build, int stage, Verdict verdict) {
        votes.add(new Vote(now, build, stage, verdict));
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
