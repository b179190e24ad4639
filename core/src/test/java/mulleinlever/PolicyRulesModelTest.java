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
 * A slow, plain model of the five rules beside the module on generated days, by whole histories.
 */
class PolicyRulesModelTest {
    private record OpenTry(String rq, int no, int build, long dueNs) {}

    private record ExposedTry(long atNs, int build, String route) {}

    private record CapChange(long atNs, double cap) {}

    private final Map<String, PodEntry> list = new HashMap<>();
    private final Map<String, Long> goneSince = new HashMap<>();
    private final Map<String, Req> taken = new HashMap<>();
    private final Map<String, Long> takenAt = new HashMap<>();
    private final Map<String, List<PolicyHarness.SentTry>> tries = new HashMap<>();
    private final Map<String, List<TryOutcome>> endings = new HashMap<>();
    private final Map<String, String> done = new HashMap<>();
    private final Map<String, List<Long>> toCold = new HashMap<>();
    private final Map<String, List<Long>> toWarm = new HashMap<>();
    private long mostToWarm;
    private final Map<Long, Integer> keyAt = new HashMap<>();
    private final List<ExposedTry> exposed = new ArrayList<>();
    private RolloutStatus news = new RolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1, 0);
    private final List<CapChange> caps = new ArrayList<>();
    private final List<OpenTry> outs = new ArrayList<>();
    private Settings set;
    private PolicyHarness bench;
    private int seen;

    @ParameterizedTest
    @ValueSource(
            longs = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23
            })
    void policyKeepsRules(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DedupScope scope = DedupScope.values()[random.nextInt(3)];
        set =
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
        bench = PolicyHarness.create(set, seed);
        List<PodEntry> first =
                IntStream.range(0, 8).mapToObj(i -> PolicyHarness.podEntry(i, 1, 0)).toList();
        bench.policy.onPodListReplaced(bench.nowNs, first);
        first.forEach(this::entry);
        tell(news);
        if (seed % 2 == 1) {
            remembered(random).forEach(l -> bench.policy.restoreLearned(bench.nowNs, l));
        }
        for (int step = 0; step < 2_000; step++) {
            time();
            happen(random, step);
            check();
        }
        for (int step = 0; step < 400; step++) {
            time();
        }
        assertTrue(
                taken.size() > 300 && !exposed.isEmpty(), "the day was too quiet to show anything");
        taken.keySet().forEach(id -> assertTrue(done.containsKey(id), "no answer to " + id));
    }

    /** Whatever was remembered, true or not, the rules hold as they do for a cold start. */
    private List<LearnedState> remembered(SplittableRandom random) {
        List<LearnedState> all = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            LearnedState.WeightedMean f =
                    new LearnedState.WeightedMean(random.nextDouble() * 5, random.nextInt(1_000));
            LearnedState.WeightedMean ns =
                    new LearnedState.WeightedMean(
                            random.nextInt(3_000) * MILLISECOND_NS, random.nextInt(1_000));
            int build = random.nextInt(4);
            String route = List.of("r", "d", "n", "", "other").get(random.nextInt(5));
            all.add(
                    switch (random.nextInt(5)) {
                        case 0 -> new LearnedState.ConnectionStats(f, f);
                        case 1 ->
                                new LearnedState.PodStats(
                                        PolicyHarness.podEntry(random.nextInt(10), build, 0),
                                        f,
                                        f,
                                        random.nextInt(9));
                        case 2 -> new LearnedState.RouteStats(route, build, ns, ns);
                        case 3 ->
                                new LearnedState.DetectorBaseline(
                                        build,
                                        route,
                                        random.nextBoolean(),
                                        f.mean() / 5,
                                        f.mean() / 9,
                                        50);
                        default -> new LearnedState.KeyBuild(random.nextInt(60), build);
                    });
        }
        return all;
    }

    private void time() {
        bench.advance(5 * MILLISECOND_NS);
        check();
        for (OpenTry o : List.copyOf(outs)) {
            if (bench.nowNs >= o.dueNs) {
                outs.remove(o);
                bench.policy.onTryEnded(
                        bench.nowNs,
                        o.rq,
                        o.no,
                        TryOutcome.TIMEOUT,
                        2 * SECOND_NS,
                        done.containsKey(o.rq));
                check();
            }
        }
    }

    private void happen(SplittableRandom random, int step) {
        int reqs = random.nextInt(step / 400 % 2 == 0 ? 2 : 5);
        for (int i = 0; i < reqs; i++) {
            String route = List.of("r", "d", "n").get(random.nextInt(3));
            Req rq =
                    new Req(
                            step + "." + i,
                            route,
                            false,
                            false,
                            (100 + random.nextInt(1_500)) * MILLISECOND_NS,
                            0,
                            random.nextInt(60),
                            null);
            taken.put(rq.id(), rq);
            takenAt.put(rq.id(), bench.nowNs);
            bench.policy.onReq(bench.nowNs, rq);
            check();
        }
        while (!outs.isEmpty() && (random.nextInt(4) > 0 || outs.size() > 40)) {
            OpenTry o = outs.remove(random.nextInt(outs.size()));
            TryOutcome ending =
                    random.nextInt(10) > 2 ? TryOutcome.OK : TryOutcome.values()[random.nextInt(6)];
            endings.get(o.rq).set(o.no, ending);
            boolean complete = ending == TryOutcome.OK || done.containsKey(o.rq);
            if (ending == TryOutcome.OK && !done.containsKey(o.rq)) {
                done.put(o.rq, "ok");
                keyAt.merge(taken.get(o.rq).key(), o.build, Math::max);
            }
            bench.policy.onTryEnded(
                    bench.nowNs,
                    o.rq,
                    o.no,
                    ending,
                    (50 + random.nextInt(200)) * MILLISECOND_NS,
                    complete);
            check();
        }
        if (random.nextInt(300) == 0 && !outs.isEmpty()) {
            done.put(outs.get(0).rq, "gone");
            bench.policy.onClientDisconnected(bench.nowNs, outs.get(0).rq);
        }
        if (random.nextInt(40) == 0) {
            pods(random);
            check();
        }
        if (random.nextInt(150) == 0) {
            rollout(random);
        }
        if (random.nextInt(200) == 0) {
            bench.policy.onPodListWatchFailed(bench.nowNs);
        }
        if (random.nextInt(20) == 0) {
            bench.policy.onPlatformTally(
                    bench.nowNs,
                    random.nextInt(5) == 0 ? "no such" : "r",
                    random.nextInt(9),
                    random.nextInt(50) - 5,
                    random.nextInt(60),
                    random.nextInt(300) * MILLISECOND_NS - 50 * MILLISECOND_NS,
                    SECOND_NS);
            bench.policy.onComplaint(
                    bench.nowNs, "pod" + random.nextInt(20), random.nextBoolean() ? "d" : "none");
        }
        if (random.nextInt(30) == 0) {
            bench.policy.onVoteAnswered(bench.nowNs, random.nextBoolean());
        }
    }

    private void pods(SplittableRandom random) {
        int i = random.nextInt(14);
        PodEntry e =
                PolicyHarness.podEntry(
                        i,
                        i < 8 ? 1 : news.build() + random.nextInt(2),
                        bench.nowNs - random.nextInt(6_000) * MILLISECOND_NS);
        int what = random.nextInt(5);
        if (what < 2 && list.containsKey(e.id())) {
            PodEntry was = list.get(e.id());
            e =
                    new PodEntry(
                            e.id(),
                            e.zone(),
                            e.kind(),
                            e.cell(),
                            was.build(),
                            what == 0 ? PodEntry.State.DRAINING : PodEntry.State.GONE,
                            1,
                            was.startedNs());
        }
        entry(e);
        bench.policy.onPodListUpdated(bench.nowNs, List.of(e));
    }

    private void rollout(SplittableRandom random) {
        RolloutStatus.Phase phase = RolloutStatus.Phase.values()[random.nextInt(3)];
        int build =
                news.phase() == RolloutStatus.Phase.ON_TRIAL || random.nextBoolean()
                        ? news.build()
                        : news.build() + 1;
        int stage = random.nextInt(3);
        double cap =
                phase == RolloutStatus.Phase.REVERTING
                        ? 0
                        : set.rollout().stageExposureCaps().get(stage);
        tell(new RolloutStatus(Math.max(2, build), stage, phase, cap, 0));
    }

    private void entry(PodEntry e) {
        PodEntry was = list.put(e.id(), e);
        if (e.state() == PodEntry.State.READY) {
            goneSince.remove(e.id());
        } else {
            goneSince.putIfAbsent(e.id(), bench.nowNs);
        }
        if (was == null || was.startedNs() != e.startedNs()) {
            toCold.put(e.id(), new ArrayList<>());
        }
    }

    private void tell(RolloutStatus n) {
        if (n.build() != news.build()) {
            caps.clear();
        }
        news = n;
        caps.add(new CapChange(bench.nowNs, n.cap()));
        bench.policy.onRolloutStatus(bench.nowNs, n);
    }

    private void check() {
        bench.finalAnswers.forEach(
                (id, what) -> {
                    if (!done.containsKey(id)) {
                        done.put(id, what);
                        RetrySafety repeat = repeatOf(id);
                        List<TryOutcome> ended = endings.getOrDefault(id, List.of());
                        boolean mayHaveRun = ended.stream().anyMatch(e -> !e.provesNotRun());
                        long due = takenAt.get(id) + taken.get(id).expiresInNs();
                        assertTrue(bench.nowNs <= due + 20 * MILLISECOND_NS, "answered late");
                        boolean harmless =
                                repeat == RetrySafety.IDEMPOTENT
                                        || repeat == RetrySafety.DEDUPLICATED
                                                && set.routes().get(1).dedupScope()
                                                        == DedupScope.ALL;
                        assertTrue(
                                !what.equals("shed") || !mayHaveRun || harmless,
                                "shed may have run");
                    }
                });
        for (; seen < bench.sentTries.size(); seen++) {
            sent(bench.sentTries.get(seen));
        }
    }

    private RetrySafety repeatOf(String id) {
        return set.routes().stream()
                .filter(r -> r.name().equals(taken.get(id).route()))
                .findFirst()
                .get()
                .retrySafety();
    }

    private void sent(PolicyHarness.SentTry s) {
        PodEntry pod = list.get(s.pod());
        Req rq = taken.get(s.reqId());
        assertFalse(done.containsKey(s.reqId()), "sent after the answer");
        assertFalse(
                s.atNs()
                        > goneSince.getOrDefault(s.pod(), Long.MAX_VALUE - SECOND_NS)
                                + 500 * MILLISECOND_NS,
                "sent to a drained pod");
        repeats(s, pod);
        exposure(s, pod, rq);
        if (s.atNs() < pod.startedNs() + set.contract().slowStartNs()) {
            List<Long> cold = toCold.get(s.pod());
            cold.add(s.atNs());
            long lately = cold.stream().filter(t -> t > s.atNs() - SECOND_NS).count();
            double can = 0.3 + 0.7 * (s.atNs() - pod.startedNs()) / set.contract().slowStartNs();
            assertTrue(lately <= 2 + 2 * can * mostToWarm, "pushed over");
        } else {
            List<Long> warm = toWarm.computeIfAbsent(s.pod(), k -> new ArrayList<>());
            warm.add(s.atNs());
            mostToWarm =
                    Math.max(
                            mostToWarm,
                            warm.stream().filter(t -> t > s.atNs() - SECOND_NS).count());
        }
        tries.computeIfAbsent(s.reqId(), k -> new ArrayList<>()).add(s);
        endings.computeIfAbsent(s.reqId(), k -> new ArrayList<>()).add(TryOutcome.TIMEOUT);
        long due = Math.min(s.atNs() + s.limitNs(), takenAt.get(s.reqId()) + rq.expiresInNs());
        outs.add(new OpenTry(s.reqId(), endings.get(s.reqId()).size() - 1, pod.build(), due));
    }

    private void repeats(PolicyHarness.SentTry s, PodEntry pod) {
        List<PolicyHarness.SentTry> before = tries.getOrDefault(s.reqId(), List.of());
        assertTrue(before.size() < set.policyLimits().maxTries(), "too many tries");
        long out = outs.stream().filter(o -> o.rq.equals(s.reqId())).count();
        assertTrue(out < (set.policyLimits().canHedge() ? 2 : 1), "too many tries out at once");
        for (int i = 0; i < before.size(); i++) {
            if (endings.get(s.reqId()).get(i).provesNotRun()) {
                continue;
            }
            assertTrue(repeatOf(s.reqId()) != RetrySafety.NOT_RETRYABLE, "ran twice");
            if (repeatOf(s.reqId()) == RetrySafety.DEDUPLICATED) {
                PodEntry ran = list.get(before.get(i).pod());
                DedupScope scope = set.routes().get(1).dedupScope();
                assertTrue(
                        scope == DedupScope.ALL
                                || scope == DedupScope.ZONE && ran.zone().equals(pod.zone())
                                || scope == DedupScope.CELL && ran.cell() == pod.cell(),
                        "sent outside its group");
                assertTrue(
                        s.atNs() < before.get(i).atNs() + set.routes().get(1).dedupWindowNs(),
                        "sent too late to drop");
                break;
            }
        }
    }

    private void exposure(PolicyHarness.SentTry s, PodEntry pod, Req rq) {
        boolean stands =
                news.phase() == RolloutStatus.Phase.ON_TRIAL
                        || news.phase() == RolloutStatus.Phase.RELEASED;
        if (set.rollout().keysAreOneWay() && stands) {
            assertTrue(pod.build() >= keyAt.getOrDefault(rq.key(), 0), "a key went back");
        }
        boolean announced = pod.build() == news.build();
        if (pod.build() < news.build()
                || announced && news.phase() == RolloutStatus.Phase.RELEASED) {
            return;
        }
        double cap = announced ? news.cap() : set.rollout().stageExposureCaps().get(0);
        int stage = announced ? news.stage() : 0;
        assertTrue(cap > 0, "sent at cap 0");
        assertTrue(
                stage >= set.rollout().shieldedStageCount() || rq.route().equals("r"),
                "sent through the shield");
        exposed.add(new ExposedTry(s.atNs(), pod.build(), rq.route()));
        // Each window that ends here, since the last change of the cap and no longer than the
        // rule's.
        long since = announced ? caps.get(caps.size() - 1).atNs() : 0;
        for (ExposedTry from : exposed) {
            long start = from.atNs();
            if (start < Math.max(since, s.atNs() - 3 * SECOND_NS) || from.build() != pod.build()) {
                continue;
            }
            long n =
                    exposed.stream()
                            .filter(e -> e.atNs() >= start && e.build() == pod.build())
                            .filter(e -> counts(e.route(), rq.route()))
                            .count();
            long of =
                    taken.values().stream()
                            .filter(q -> takenAt.get(q.id()) >= start)
                            .filter(q -> counts(q.route(), rq.route()))
                            .count();
            assertTrue(
                    n <= set.rollout().exposureBurst() + cap * of + 1e-9, "exposed beyond the cap");
        }
    }

    private boolean counts(String route, String sent) {
        return !set.rollout().isExposurePerRoute() || route.equals(sent);
    }
}
