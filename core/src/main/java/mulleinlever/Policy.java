package mulleinlever;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Every decision of one sidecar: where a req goes, when it is tried again or given up, how the
 * sidecar votes. Whoever hosts it calls one method for each thing that happens, with the time; it
 * acts only by calling the {@link PolicyActions} it was handed. docs/design.md explains the
 * mechanism and when each exception to it acts.
 */
public final class Policy {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    // The design's own figures.
    private static final double SUSPECT_AT = 2.5;
    private static final double ALARM_AT = 4.5;
    private static final double ALARM_CLEARS_AT = 0.5;
    private static final double DEVIATION_FLOOR = 0.02;
    private static final int OUTCOME_FLOOR = 20;
    private static final int VOTERS = 3;

    /**
     * Low enough that a trial's first seconds hardly move it, high enough to be learned early in a
     * day.
     */
    private static final double LONG_WEIGHT = 0.02;

    /**
     * The sample is itself a sum over some seconds, so that one second of thin traffic raises no
     * alarm.
     */
    private static final double SHORT_WEIGHT = 0.5;

    private static final long SAMPLE_HALF_LIFE = 10 * SECOND;

    /**
     * A try is late above this quantile, which lies at so many mean times if these fall off evenly.
     */
    private static final double LATE_QUANTILE = 0.8;

    private static final double LATE_MEANS = -Math.log(1 - LATE_QUANTILE);
    private static final double REFERENCE_FLOOR = 5;

    /** The part of the pods that may be in trouble of its own: more hides builds that slow all. */
    private static final double MINOR = 0.25;

    /**
     * The part of the longest warming time in which outcomes tell of a pod's cold, not of its
     * build.
     */
    private static final double FRESH_PART = 0.7;

    /**
     * Warm outcomes that the last 'on' waits for, and for how long: more finds milder faults, and
     * delays.
     */
    private static final int PROOF = 80;

    /** Those who have to agree see so many together: each needs fewer the more they are. */
    private static final int PROOF_VOTERS = 2;

    private static final long PROOF_WAIT = 10 * SECOND;

    /**
     * Reports are rare and late, so they are kept for longer; so few may be mistaken, and alarm
     * nobody.
     */
    private static final double FEW_FLAGS = 2.5;

    private static final long FLAG_HALF_LIFE = 30 * SECOND;

    /**
     * How long a later-ranked sidecar waits for each voter before it: harm is dearer than delay.
     */
    private static final long STAND_IN_ON = 2 * SECOND;

    private static final long STAND_IN_BACK = SECOND / 2;
    private static final double STAND_INS = 2;

    /**
     * Of the calls a second that the platform takes from all sidecars, the part for those who stand
     * in.
     */
    private static final double CALLS_PART = 0.5;

    private static final long MEASURE_HALF_LIFE = 5 * SECOND;

    /** What a route's tries are taken to need before any is seen, in shares of its objective. */
    private static final double FIRST_MEAN = 0.25;

    private static final long SICK_FOR = 500 * MS;
    private static final int SICK_STRIKES = 3;
    private static final int MOST_STRIKES = 6;
    private static final int DRAWS = 16;

    /**
     * A req errored by so many pods will be by others: its tries would crowd out what they can do.
     */
    private static final int OWN_FAULT = 2;

    /** Share of new connections refused above which only pods that were heard lately are used. */
    private static final double SCARCE = 0.25;

    private static final double PANIC_PART = 0.5;

    /**
     * So many pods of a zone that gave nothing, with nothing heard from it in between, make it
     * dark.
     */
    private static final int DARK_PODS = 3;

    /** How often the pause between tries into a dark zone doubles. */
    private static final int DARK_GROWTH = 3;

    /** Long past any report on it: pods that came and went would else pile up with each release. */
    private static final long FORGET_AFTER = 60 * SECOND;

    /**
     * A pod that owes answers and gave none for so many mean times of the slowest route is silent.
     */
    private static final double SILENCE_MEANS = 4;

    /**
     * What waits in line longer, in shares of its latency objective, would come late from a
     * strained pod.
     */
    private static final double LINE_WAIT = 0.35;

    /**
     * How many times sooner than a usual req a cheap one is shed, by its earnings for the time
     * taken.
     */
    private static final double CHEAPEST = 4;

    private static final double FAR_LOAD = 1.5;

    /**
     * The part of the cap that keys which can't go back may take: their later reqs need room too.
     */
    private static final double ONE_WAY_PART = 0.7;

    /**
     * What the earlier build keeps to compare with, and what a trial in doubt gets: less delays
     * verdicts.
     */
    private static final double KEPT = 0.08;

    private static final double IN_DOUBT = 0.15;

    /**
     * Second copies: while this part of tries goes unanswered, after so many mean times, leaving so
     * many.
     */
    private static final double LOST = 0.02;

    private static final double COPY_AFTER = 1.5;
    private static final double COPY_LEAVES = 2;
    private static final long TICK = 50 * MS;

    /** The process may be held up for so long between reading its clock and writing. */
    private static final long HELD_UP = 150 * MS;

    /** What was remembered counts for so many outcomes at most: a few fresh ones prove it wrong. */
    private static final double PRIOR = 4;

    enum DetectorState {
        NORMAL,
        SUSPECT,
        ALARM
    }

    /** The design's detector, for one route and one symptom. */
    static final class DegradationDetector extends MovingAverages {
        DetectorState state = DetectorState.NORMAL;

        DegradationDetector(double mean, double samples) {
            super(mean, samples);
        }

        void evaluate(double sample, double n, boolean sure) {
            updateShortTerm(sample, SHORT_WEIGHT);
            double above =
                    deviationsAboveMean(
                            Math.max(DEVIATION_FLOOR, Math.sqrt(sample * (1 - sample) / n)));
            boolean held = state == DetectorState.ALARM && above >= ALARM_CLEARS_AT;
            DetectorState open = above > SUSPECT_AT ? DetectorState.SUSPECT : DetectorState.NORMAL;
            state = above > ALARM_AT && sure || held ? DetectorState.ALARM : open;
        }
    }

    private final Settings set;
    private final Settings.RolloutSettings rollout;
    private final PolicyActions host;
    private final SplittableRandom random;
    private final Map<String, RouteState> rows = new LinkedHashMap<>();

    /** By their place in the table; the last stands for all together. */
    private final List<String> routes = new ArrayList<>();

    private final Map<String, Pod> pods = new LinkedHashMap<>();
    private final Map<String, ZoneReachability> zones = new HashMap<>();
    private final PodListLease lease;
    private final PodStartEstimator starts = new PodStartEstimator();
    // Surveyed at each change and tick, so that no req costs more on a larger fleet.
    private PodSet listed = new PodSet(List.of(), "");

    /** Those of the listed that may be sent to: all while discovery confirms the list. */
    private PodSet whole = listed;

    private PodSet onTrial = whole;
    private PodSet notOnTrial = whole;
    private int places;
    private double trialPods;
    private long shakenUntilNs;
    private final OpenTryLatenessDetector doubt = new OpenTryLatenessDetector(MEASURE_HALF_LIFE);
    private double silentAfterNs;
    private boolean panic;
    private boolean linksScarce;
    private final DecayingMean lost = new DecayingMean(4 * MEASURE_HALF_LIFE);
    private final DecayingMean refused = new DecayingMean(2 * MEASURE_HALF_LIFE);

    private final Map<String, ReqState> held = new LinkedHashMap<>();
    private final ArrayDeque<ReqState> firstTries = new ArrayDeque<>();
    private final ArrayDeque<ReqState> furtherTries = new ArrayDeque<>();
    private final ConcurrencyLimiter room;
    private final DecayingSum taken = new DecayingSum(MEASURE_HALF_LIFE);
    private final DecayingSum completed = new DecayingSum(MEASURE_HALF_LIFE);

    private boolean watching;

    /**
     * Whether discovery was asked and has neither answered nor failed: asking again would give up
     * the place in line.
     */
    private boolean asking;

    private long askAgainNs;
    private int asksFailed;

    private final ExposureBudget exposure;
    private final BuildByKey answeredBy = new BuildByKey();

    private boolean told;
    private RolloutStatus news = new RolloutStatus(0, 0, RolloutStatus.Phase.RELEASED, 1, 0);
    private long stageSinceNs;
    private double everBefore;
    private BuildOutcomes earlier;
    private BuildOutcomes trial;
    private final DegradationDetector[] detectors;
    private DetectorState state = DetectorState.NORMAL;

    private final VoteTracker ballot = new VoteTracker();

    public Policy(Settings set, long seed, long now, PolicyActions host) {
        this.set = set;
        this.rollout = set.rollout();
        this.host = host;
        this.random = new SplittableRandom(seed);
        this.room = new ConcurrencyLimiter(set.sidecarCount());
        this.lease =
                new PodListLease(
                        set.contract().listRefreshWithinNs(),
                        set.contract().drainGraceNs(),
                        set.policyLimits().connectTimeoutNs());
        this.exposure = new ExposureBudget(rollout, set.routes().size());
        for (Settings.RouteSettings r : set.routes()) {
            rows.put(r.name(), new RouteState(r, rows.size(), 2 * MEASURE_HALF_LIFE, FIRST_MEAN));
        }
        routes.addAll(rows.keySet());
        routes.add("");
        earlier = new BuildOutcomes(rows.size(), SAMPLE_HALF_LIFE, FLAG_HALF_LIFE);
        trial = new BuildOutcomes(rows.size(), SAMPLE_HALF_LIFE, FLAG_HALF_LIFE);
        detectors = new DegradationDetector[2 * rows.size() + 2];
        // What is late is so defined that the earlier build's share is known before any is seen.
        Arrays.setAll(
                detectors,
                i ->
                        i % 2 == 0
                                ? new DegradationDetector(0, 0)
                                : new DegradationDetector(1 - LATE_QUANTILE, 1 / LONG_WEIGHT));
        host.scheduleTimer(now + SECOND, "sample");
        host.scheduleTimer(now + TICK, "tick");
        if (set.requiresListWatch()) {
            askForList();
        }
    }

    // ---- The list of pods.

    public void onPodListReplaced(long now, List<PodEntry> entries) {
        Map<String, Pod> missing = new HashMap<>(pods);
        entries.forEach(e -> missing.remove(e.id()));
        missing.values().forEach(p -> p.listEntry = p.listEntry.withStateGone());
        onPodListUpdated(now, entries);
    }

    public void onPodListUpdated(long now, List<PodEntry> entries) {
        long beforeNs = lease.lastConfirmedNs();
        onPodListConfirmed(now);
        for (PodEntry e : entries) {
            ZoneReachability in = zones.computeIfAbsent(e.zone(), z -> new ZoneReachability());
            Pod p = pods.computeIfAbsent(e.id(), id -> new Pod(e, MEASURE_HALF_LIFE));
            p.update(e, in, starts, beforeNs, now);
        }
        if (!told) {
            // Until there is news, all but the lowest build counts as on trial.
            int lowest = pods.values().stream().mapToInt(p -> p.listEntry.build()).min().orElse(0);
            news = new RolloutStatus(lowest, 0, RolloutStatus.Phase.RELEASED, 1, 0);
        }
        survey(now);
        serveLines(now);
    }

    /** A watch stands and has nothing new to tell. */
    public void onPodListConfirmed(long now) {
        watching = true;
        asking = false;
        asksFailed = 0;
        lease.onConfirmed(now);
    }

    /**
     * Since then nobody has confirmed the list; until that is mended its servers may be used for a
     * while only.
     */
    public void onPodListUnconfirmed(long sinceNs) {
        lease.onUnconfirmedSince(sinceNs);
    }

    /** Nobody has confirmed the list that was taken last, and it may be of any age. */
    public void onPodListNeverConfirmed() {
        lease.onNeverConfirmed();
    }

    /** A call to discovery has ended, and did reach it or found nobody there. */
    public void onDiscoveryCallEnded(long now, boolean reached) {
        lease.onDiscoveryCall(reached, now);
    }

    /** Another discovery is being asked from now on. */
    public void onDiscoveryChanged() {
        watching = false;
        asking = true;
        lease.onDiscoveryChanged();
    }

    /** The wall clock by which the list tells starts of servers was stepped. */
    public void onWallClockStepped() {
        starts.onWallClockStepped();
    }

    private void survey(long now) {
        pods.values().removeIf(p -> p.idleSinceGoneNs(now) > FORGET_AFTER);
        listed = new PodSet(pods.values().stream().filter(Pod::isReady).toList(), set.zone());
        whole = listed.filter(p -> lease.allows(now, p));
        onTrial = whole.filter(p -> news.isBuildOnTrial(p.listEntry.build()));
        notOnTrial = whole.filter(p -> !news.isBuildOnTrial(p.listEntry.build()));
        onTrial.all().forEach(p -> exposure.tokensOf(p.listEntry.build()));
        places = onTrial.all().isEmpty() ? 0 : Math.max(places, notOnTrial.all().size());
        double slowest =
                rows.values().stream().mapToDouble(r -> r.meanTryTimeNs(now)).max().orElse(0);
        silentAfterNs = SILENCE_MEANS * slowest;
        room.initializeLimit(now, listed.all().size());
        // Pods that take no more connections look like dead ones; either way what answered lately
        // serves.
        linksScarce =
                refused.meanAt(now, 0, 4) > SCARCE
                        && whole.count(p -> linked(now, p)) > room.openTryCount();
        // Pods that can't be reached would not help those that can.
        long lit = whole.count(p -> !dark(p));
        panic = whole.count(p -> fit(now, p)) < PANIC_PART * lit;
        trialPods =
                Math.min(
                        1,
                        onTrial.count(p -> !cold(now, p) && fit(now, p)) / Math.max(1.0, places));
        // What the loss of a major part did to the rest must have faded before it can tell of a
        // build.
        shakenUntilNs =
                lit < (1 - MINOR) * whole.all().size() ? now + 2 * SAMPLE_HALF_LIFE : shakenUntilNs;
    }

    /**
     * Whether a watch still stands can't be told from this, so it is asked for again, ever more
     * rarely.
     */
    public void onPodListWatchFailed(long now) {
        watching = false;
        asking = false;
        long most = Math.max(SECOND, set.contract().listRefreshWithinNs() / 3);
        long wait = Math.min(SECOND << Math.min(++asksFailed, 4), most);
        askAgainNs = now + wait / 2 + random.nextLong(wait / 2 + 1);
    }

    private void askForList() {
        asking = true;
        host.watchPodList();
    }

    // ---- Reqs.

    public void onReq(long now, Req req) {
        ReqState rq = new ReqState(req, rows.get(req.route()), now);
        held.put(req.id(), rq);
        taken.add(now, 1);
        room.recordDemand(now, rq.route.meanTryTimeNs(now), rq.route.settings.latencyObjectiveNs());
        exposure.accrue(news, rq.route.index);
        if (random.nextDouble() < shedChance(now, rq)) {
            giveUp(now, rq);
        } else {
            join(now, rq);
        }
    }

    /**
     * By chance, the cheaper the more often: a full line would turn away the dear ones just as
     * well.
     */
    private double shedChance(long now, ReqState rq) {
        double waitNs =
                room.estimatedQueueWaitNs(
                        firstTries.size(),
                        completed.ratePerSecond(now),
                        rq.route.meanTryTimeNs(now));
        double pressure = waitNs / rq.route.settings.latencyObjectiveNs() / LINE_WAIT - 0.25;
        double mean =
                rows.values().stream().mapToDouble(r -> r.valuePerNs(now)).average().orElse(0);
        return Math.min(
                0.95, pressure * Math.min(CHEAPEST, Math.pow(mean / rq.route.valuePerNs(now), 2)));
    }

    private void join(long now, ReqState rq) {
        if (now >= lastChance(now, rq) && !send(now, rq)) {
            giveUp(now, rq);
        } else if (now < lastChance(now, rq) && !send(now, rq)) {
            (rq.tries.isEmpty() ? firstTries : furtherTries).add(rq);
        }
    }

    /**
     * When waiting stops making sense: the answer would come after the latency objective, or never.
     */
    private long lastChance(long now, ReqState rq) {
        double objective = rq.route.settings.latencyObjectiveNs();
        double wait =
                rq.tries.isEmpty()
                        ? LINE_WAIT * objective
                        : objective - rq.route.meanTryTimeNs(now);
        return Math.min(rq.arrivedNs + (long) wait, rq.lastSendNs() - TICK - 2 * set.clockStepNs());
    }

    private void serveLines(long now) {
        serve(now, firstTries);
        serve(now, furtherTries);
    }

    private void serve(long now, ArrayDeque<ReqState> line) {
        // What finds no pod for one first try finds none for the next of its route: a long line
        // costs little.
        boolean[] stuck = new boolean[rows.size()];
        for (ReqState rq : List.copyOf(line)) {
            if (now >= lastChance(now, rq) && !rq.answered) {
                giveUp(now, rq);
            }
            if (rq.answered || !stuck[rq.route.index] && send(now, rq)) {
                line.remove(rq);
            } else {
                stuck[rq.route.index] |= rq.tries.isEmpty();
            }
        }
    }

    private boolean send(long now, ReqState rq) {
        Pod pod = room.hasCapacity() ? pick(now, rq) : null;
        if (pod == null) {
            return false;
        }
        boolean fresh = now < pod.startedNs + FRESH_PART * set.contract().slowStartNs();
        Try t = new Try(pod, now, !fresh, pod.listEntry.build(), linked(now, pod));
        // No time-out of our own: one that a busy pod misses is work done twice; silent pods show
        // sooner.
        long limitNs = rq.deadlineNs - now - set.clockStepNs();
        long writeWithinNs = rq.isRetryScopeBound() ? rq.lastSendNs() - now - HELD_UP : limitNs;
        rq.addTry(t);
        rq.failoverPending = false;
        pod.unansweredSinceNs = pod.openTryCount++ == 0 ? now : pod.unansweredSinceNs;
        room.onTryStarted();
        if (cold(now, pod)) {
            pod.slowStartTokens--;
        }
        if (dark(pod)) {
            pod.zoneReachability.scheduleNextProbe(now, SICK_FOR, SICK_FOR << DARK_GROWTH, random);
        }
        if (news.isBuildOnTrial(t.build())) {
            exposure.consume(t.build(), rq.route.index);
        }
        host.startTry(rq.req.id(), pod.id, writeWithinNs, limitNs);
        return true;
    }

    public void onStreamStarted(long now, String id) {
        ReqState rq = held.get(id);
        if (rq != null) {
            rq.streaming = true;
        }
    }

    public void onTryEnded(
            long now, String id, int tryNo, TryOutcome ending, long tookNs, boolean complete) {
        ReqState rq = held.get(id);
        if (rq == null || tryNo < 0 || tryNo >= rq.tries.size()) {
            return;
        }
        Try t = rq.tries.get(tryNo);
        t.pod().openTryCount--;
        rq.endTry(tryNo, ending);
        room.onTryEnded();
        if (ending != TryOutcome.MOOT) {
            measure(now, rq.route, t, ending, tookNs);
        }
        if (ending == TryOutcome.OK) {
            lease.onServed(t.pod(), t.sentNs());
        } else if (ending == TryOutcome.CONNECT_FAILED || ending == TryOutcome.RESET) {
            lease.onConnectionFailed(t.pod(), now);
        }
        // A try called back late was late: else a slow build would hide behind the rescue of its
        // reqs.
        if (ending != TryOutcome.MOOT
                && (ending != TryOutcome.CANCELLED || tookNs > rq.route.lateThresholdNs)) {
            weigh(now, rq.route, t, ending, tookNs);
        }
        if (ending == TryOutcome.OK && rollout.keysAreOneWay() && rq.req.key() >= 0) {
            answeredBy.recordAnswer(rq.req.key(), t.build());
        }
        rq.answered |= complete || rq.streaming;
        if (!rq.answered && rq.openTryNumbers.isEmpty() && mayGoAgain(now, rq)) {
            join(now, rq);
        } else if (!rq.answered && rq.openTryNumbers.isEmpty()) {
            giveUp(now, rq);
        }
        settle(rq);
        serveLines(now);
    }

    private boolean mayGoAgain(long now, ReqState rq) {
        return now < lastChance(now, rq)
                && rq.tries.size() < set.policyLimits().maxTries()
                && rq.errorCount < OWN_FAULT
                && rq.isRetryAllowed();
    }

    /**
     * The answer goes out at once: a shed reply where a repeat is harmless, so the client may
     * return.
     */
    private void giveUp(long now, ReqState rq) {
        rq.answered = true;
        if (rq.isSafeToShed()) {
            long backoff =
                    Math.min(
                            set.policyLimits().maxRetryAfterNs(),
                            rq.route.settings.latencyObjectiveNs() / 4);
            host.shedReq(rq.req.id(), set.policyLimits().canAdviseRetryAfter() ? backoff : 0);
        } else {
            host.failReq(rq.req.id());
        }
        settle(rq);
    }

    public void onClientDisconnected(long now, String id) {
        ReqState rq = held.get(id);
        if (rq != null) {
            rq.answered = true;
            settle(rq);
        }
    }

    private void settle(ReqState rq) {
        if (rq.answered && set.policyLimits().canCancel() && !rq.streaming) {
            rq.openTryNumbers.stream().forEach(no -> host.cancelTry(rq.req.id(), no));
        }
        if (rq.answered && rq.openTryNumbers.isEmpty()) {
            held.remove(rq.req.id());
        }
    }

    /**
     * Two random choices by load among the pods the req may go to, the first a near one if there is
     * any.
     */
    private Pod pick(long now, ReqState rq) {
        double part = trialPart(now);
        Pod pod =
                part == 0
                        ? null
                        : twoChoices(now, rq, random.nextDouble() < part ? onTrial : notOnTrial);
        pod = pod == null ? twoChoices(now, rq, whole) : pod;
        return pod == null
                ? PodSet.pickRandom(whole.all(), random, DRAWS, p -> allowed(now, rq, p))
                : pod;
    }

    /**
     * The trial's pods carry what they will when released, as far as the rules leave room: that
     * proves the build under its load, and fewer wait for a good one. In doubt they get what
     * verdicts need. Cold pods and those out of reach don't count: the rest of the trial would
     * carry their load and look slow for it.
     */
    private double trialPart(long now) {
        return rollout.keysAreOneWay() && !onTrial.all().isEmpty()
                ? 1
                : Math.min(
                        trialPods,
                        state == DetectorState.NORMAL && !doubt.isSuspected(now)
                                ? 1 - KEPT
                                : IN_DOUBT);
    }

    private Pod twoChoices(long now, ReqState rq, PodSet of) {
        Predicate<Pod> fits = p -> suits(now, rq, p) && allowed(now, rq, p);
        Pod a = PodSet.pickRandom(of.local(), random, DRAWS, fits);
        Pod b = PodSet.pickRandom(of.all(), random, DRAWS, fits);
        return a == null || b != null && load(now, b) < load(now, a) ? b : a;
    }

    /**
     * Where most pods fail, resting them would jam the few: then they are no worse than the rest.
     */
    private boolean suits(long now, ReqState rq, Pod p) {
        return (panic || fit(now, p))
                && (!linksScarce || linked(now, p))
                && rq.tries.stream().noneMatch(t -> t.pod() == p);
    }

    private boolean linked(long now, Pod p) {
        return p.openTryCount > 0
                || now < p.lastAnswerNs + set.policyLimits().connectionIdleTimeoutNs();
    }

    private double load(long now, Pod p) {
        double far =
                set.prices().crossZone() > 0 && !p.listEntry.zone().equals(set.zone())
                        ? FAR_LOAD
                        : 1;
        return far
                * (p.openTryCount + 1)
                * p.relativeLatency.meanAt(now, 1, 2)
                / Math.max(0.01, p.listEntry.weight());
    }

    private boolean allowed(long now, ReqState rq, Pod p) {
        return p.isReady()
                && lease.allows(now, p)
                && rq.canSendTo(p.listEntry)
                && exposureRoom(now, rq, p)
                && coldRoom(now, p);
    }

    private void measure(long now, RouteState row, Try t, TryOutcome ending, long tookNs) {
        Pod p = t.pod();
        boolean unanswered = ending == TryOutcome.TIMEOUT || ending == TryOutcome.CANCELLED;
        room.recordLatency(now, tookNs / (double) row.settings.latencyObjectiveNs(), unanswered);
        lost.add(now, unanswered && tookNs > silentAfterNs ? 1 : 0);
        if (ending == TryOutcome.CANCELLED) {
            return;
        }
        if (!t.wasConnected()) {
            refused.add(now, ending == TryOutcome.CONNECT_FAILED ? 1 : 0);
        }
        p.onTryEnded(now, unanswered, ending == TryOutcome.CONNECT_FAILED);
        if (unanswered || ending == TryOutcome.CONNECT_FAILED) {
            p.zoneReachability.onNoAnswer(now, p, DARK_PODS);
        } else {
            p.zoneReachability.onAnswer();
        }
        if (ending == TryOutcome.OK || unanswered) {
            p.relativeLatency.add(now, tookNs / row.meanTryTimeNs(now));
            row.tryTimes.add(now, tookNs);
        }
        if (ending == TryOutcome.OK) {
            completed.add(now, 1);
            // A pod that fails half of its tries must not be cleared by one lucky answer.
            p.failureScore = Math.max(0, p.failureScore - 1);
        } else if (ending != TryOutcome.FULL) {
            p.failureScore = Math.min(MOST_STRIKES, p.failureScore + 2);
            p.ejectedUntilNs = now + (SICK_FOR << p.failureScore - 2);
        }
    }

    /** A pod that failed lately rests; then one try at a time shows whether it is back. */
    private boolean fit(long now, Pod p) {
        boolean rested =
                p.failureScore < SICK_STRIKES || now >= p.ejectedUntilNs && p.openTryCount == 0;
        return rested
                && !p.isUnresponsive(now, silentAfterNs)
                && (!dark(p) || p.zoneReachability.canProbe(now));
    }

    /**
     * Against a zone that is lost or cut off: with the load spread over many sidecars and pods,
     * finding each pod out by its own tries takes far longer than the loss may last. Some pods of a
     * zone that gave nothing in a row stand for all; then a try now and then shows whether it is
     * back. What starts anew is left out.
     */
    private static boolean dark(Pod p) {
        return p.zoneReachability.isUnreachable(p.startedNs);
    }

    /**
     * What lies at silent pods is called back, to go elsewhere; what may be lost on the way goes
     * twice.
     */
    private void rescue(long now) {
        for (ReqState rq : held.values()) {
            if (!rq.isWaitingForSingleTry() || !mayGoAgain(now, rq)) {
                continue;
            }
            int no = rq.openTryNumbers.nextSetBit(0);
            Pod at = rq.tries.get(no).pod();
            double after = dark(at) ? silentAfterNs / SILENCE_MEANS : silentAfterNs;
            if (set.policyLimits().canCancel() && at.isUnresponsive(now, after)) {
                rq.failoverPending = true;
                at.failureScore = MOST_STRIKES;
                at.ejectedUntilNs = now + SICK_FOR;
                at.zoneReachability.onNoAnswer(now, at, DARK_PODS);
                host.cancelTry(rq.req.id(), no);
            } else if (set.policyLimits().canHedge() && now >= secondCopyAt(now, rq)) {
                send(now, rq);
            }
        }
    }

    /**
     * When one more try would just come in time: against answers lost on the way and pods that
     * stall.
     */
    private long secondCopyAt(long now, ReqState rq) {
        double mean = rq.route.meanTryTimeNs(now);
        double end = Math.min(rq.arrivedNs + rq.route.settings.latencyObjectiveNs(), rq.deadlineNs);
        double at = Math.max(rq.lastTry().sentNs() + COPY_AFTER * mean, end - COPY_LEAVES * mean);
        boolean strained = room.isOverloaded(now) || lost.meanAt(now, 2 * LOST, 10) < LOST;
        return strained || at + mean > end ? Long.MAX_VALUE : (long) at;
    }

    private boolean cold(long now, Pod p) {
        return p.startedNs > 0 && now < p.startedNs + set.contract().slowStartNs();
    }

    /**
     * Against a cold pod pushed over by all sidecars together: each keeps to its even share of the
     * load, cut to what the pod can do. It starts at random within its first turn: hundreds are
     * told of a pod at once.
     */
    private boolean coldRoom(long now, Pod p) {
        if (!cold(now, p)) {
            return true;
        }
        double age = Math.max(0, now - p.startedNs) / (double) set.contract().slowStartNs();
        double can =
                set.contract().coldCapacityShare() + (1 - set.contract().coldCapacityShare()) * age;
        // What each pod would complete a second from here if all did alike; before any did, what
        // comes in.
        double all =
                completed.ratePerSecond(now) > 0
                        ? completed.ratePerSecond(now)
                        : taken.ratePerSecond(now);
        double rate = can * all * p.listEntry.weight() / listed.totalWeight();
        double most = Math.max(1, rate * set.contract().overloadWindowNs() / SECOND);
        return p.refillSlowStartTokens(now, rate, most, random) >= 1;
    }

    private boolean exposureRoom(long now, ReqState rq, Pod p) {
        int build = p.listEntry.build();
        if (news.isActive() && build < answeredBy.newestBuildOf(rq.req.key())) {
            return false;
        }
        boolean shielded =
                news.stageOf(build) < rollout.shieldedStageCount()
                        && rq.route.settings.retrySafety() != Settings.RetrySafety.IDEMPOTENT;
        return !news.isBuildOnTrial(build)
                || news.capOf(build, rollout) > 0
                        && !shielded
                        && (!rollout.keysAreOneWay() || oneWayKey(now, rq, build))
                        && exposure.hasToken(build, rq.route.index);
    }

    /**
     * Where a key can't go back, the trial keeps to a part of the keys: their later reqs need room
     * too.
     */
    private boolean oneWayKey(long now, ReqState rq, int build) {
        double part = Math.min(ONE_WAY_PART * news.capOf(build, rollout), trialPods);
        return answeredBy.newestBuildOf(rq.req.key()) == build
                || new SplittableRandom(rq.req.key()).nextDouble() < part;
    }

    // ---- Judging the build.

    /**
     * An outcome as evidence; pods not yet warm when it was sent, or out of reach, are left out.
     */
    private void weigh(long now, RouteState row, Try t, TryOutcome ending, long tookNs) {
        if (!t.wasPodWarm()
                || t.build() > news.build()
                || ending == TryOutcome.CONNECT_FAILED
                || dark(t.pod())) {
            return;
        }
        boolean late = tookNs > row.lateThresholdNs;
        boolean failed = ending == TryOutcome.ERROR || ending == TryOutcome.RESET;
        t.pod().lateShare.add(now, late ? 1 : 0);
        side(t.build()).recordTry(now, row.index, failed, late);
        if (ending == TryOutcome.OK) {
            learnLate(now, row, t.build(), tookNs, 1);
        }
    }

    /**
     * Not learned while a trial is on: a build that slows down its neighbours too would be
     * forgiven.
     */
    private void learnLate(long now, RouteState row, int build, long tookNs, double n) {
        if (!news.isOnTrial() && (build == news.build()) == news.isReleased()) {
            row.baselineTryTimes.add(now, tookNs, n);
            row.lateThresholdNs = LATE_MEANS * row.baselineTryTimes.meanAt(now, 0, 1e-9);
        }
    }

    /**
     * The platform's count of all sidecars' tries, where one sees too few for a verdict. Times tell
     * nothing while pods of the build may have been fresh; else the share late is what times of
     * such a mean have.
     */
    public void onPlatformTally(
            long now, String route, int build, double n, double failed, long meanNs, long ageNs) {
        RouteState row = rows.get(route);
        if (row == null || build > news.build() || !(n > 0) || meanNs <= 0) {
            return;
        }
        double done = Math.max(0, n - failed);
        long began = now - ageNs - rollout.tallyIntervalNs();
        boolean fresh =
                whole.count(
                                p ->
                                        p.listEntry.build() == build
                                                && p.startedNs > 0
                                                && began
                                                        < p.startedNs
                                                                + FRESH_PART
                                                                        * set.contract()
                                                                                .slowStartNs())
                        > 0;
        if (!fresh) {
            learnLate(now, row, build, meanNs, done);
        }
        double slow = done * Math.exp(-row.lateThresholdNs / meanNs);
        side(build).recordTally(now, row.index, n, failed, fresh ? 0 : n, slow);
    }

    private BuildOutcomes side(int build) {
        return build == news.build() ? trial : earlier;
    }

    /**
     * The trial's share, less what the earlier build's shifted by: a burst or lost zone is not its
     * doing. But where that is late beyond what a minor part of its pods, hung, slow or pausing,
     * can do, it slows all; unless so many pods are out that the rest must be late.
     */
    private double sample(long now, int place, boolean ofLate, DegradationDetector d) {
        double share = share(now, trial, place, ofLate);
        boolean reference = earlier.totalOutcomeCount(place, ofLate) >= OUTCOME_FLOOR;
        double shift = reference ? share(now, earlier, place, ofLate) - d.longTermMean : 0;
        double apart = Math.max(0, Math.min(1, share - Math.max(0, shift)));
        if (!ofLate || place < rows.size() || !reference || now < shakenUntilNs) {
            return apart;
        }
        return Math.max(
                apart,
                Math.max(middleLate(now), (earlier.lateShare(now, place) - MINOR) / (1 - MINOR)));
    }

    /** Of the middle pod, which the lesser part can't tilt at all: where each is seen often. */
    private double middleLate(long now) {
        double[] late =
                whole.all().stream()
                        .filter(p -> !cold(now, p))
                        .mapToDouble(p -> p.lateShare.meanAt(now, 1 - LATE_QUANTILE, 2))
                        .sorted()
                        .toArray();
        return late.length == 0 ? 0 : late[(late.length - 1) / 2];
    }

    public void onComplaint(long now, String podId, String route) {
        Pod p = pods.get(podId);
        RouteState row = rows.get(route);
        if (p != null && row != null && p.listEntry.build() <= news.build()) {
            side(p.listEntry.build()).recordComplaint(now, row.index);
        }
    }

    private double share(long now, BuildOutcomes side, int place, boolean ofLate) {
        if (ofLate) {
            return side.lateShare(now, place);
        }
        // After a release nothing is left to compare with: what fails then may be the fleet's
        // doing.
        double failed = side == earlier || news.isOnTrial() ? side.failedShare(now, place) : 0;
        return Math.min(1, failed + wrong(now, side, place));
    }

    /** One report stands for all the wrong answers that nobody reported. */
    private double wrong(long now, BuildOutcomes side, int place) {
        double flags = side.complaintCount(now, place);
        return flags == 0
                ? 0
                : flags / rollout.complaintReportRate() / Math.max(1, side.tryCount(now, place));
    }

    private void judge(long now) {
        DetectorState worst = DetectorState.NORMAL;
        String why = "";
        // Below the outcome floor all looks normal, so no trial is learned from: a build that slows
        // its
        // neighbours would be forgiven. Nor a release's: its faults would be their own measure.
        BuildOutcomes steady =
                news.isReleased() && earlier.totalOutcomeCount(rows.size(), true) == 0
                        ? trial
                        : earlier;
        boolean learns =
                state == DetectorState.NORMAL
                        && (steady == trial || !news.isOnTrial() && !news.isReleased());
        for (int i = 0; i < detectors.length; i++) {
            DegradationDetector d = detectors[i];
            int place = i / 2;
            boolean ofLate = i % 2 == 1;
            if (learns && steady.outcomeCount(now, place, ofLate) >= REFERENCE_FLOOR) {
                d.updateLongTerm(share(now, steady, place, ofLate), LONG_WEIGHT);
            }
            double n = trial.outcomeCount(now, place, ofLate);
            double m = earlier.outcomeCount(now, place, ofLate);
            boolean enough =
                    trial.totalOutcomeCount(place, ofLate) >= OUTCOME_FLOOR && n >= 1 && m >= 1;
            if (enough && (!ofLate || news.isOnTrial())) {
                boolean sure =
                        ofLate
                                ? now >= shakenUntilNs
                                : trial.complaintCount(now, place) > FEW_FLAGS
                                        || trial.failedShare(now, place)
                                                >= wrong(now, trial, place);
                // What it is compared with was seen in so many cases only: that widens the
                // deviation too.
                d.evaluate(sample(now, place, ofLate, d), n * m / (n + m), sure);
            }
            if (d.state.ordinal() > worst.ordinal()) {
                worst = d.state;
                why =
                        (ofLate ? ", late" : ", failed or flagged")
                                + String.format(
                                        " %.2f against %.2f", d.shortTermMean, d.longTermMean);
            }
        }
        if (worst != state) {
            host.log(news.label() + ": " + state + " to " + worst + why);
        }
        state = worst;
    }

    // ---- News and votes.

    public void onRolloutStatus(long now, RolloutStatus n) {
        boolean other = news.build() != n.build();
        if (other) {
            earlier = news.isReleased() ? trial : earlier;
            trial = new BuildOutcomes(rows.size(), SAMPLE_HALF_LIFE, FLAG_HALF_LIFE);
            state = DetectorState.NORMAL;
            for (DegradationDetector d : detectors) {
                d.state = DetectorState.NORMAL;
                d.shortTermMean = d.longTermMean;
            }
        }
        if (other || news.stage() != n.stage() || news.phase() != n.phase()) {
            host.log(n.label() + " " + n.phase());
            ballot.reset();
            everBefore = trial.totalOutcomeCount(rows.size(), true);
        }
        told = true;
        news = n;
        stageSinceNs = now - n.ageNs();
        survey(now);
        vote(now);
        serveLines(now);
    }

    /**
     * A vote with no good answer may count: it is cast again, after a pause that differs by
     * sidecar.
     */
    public void onVoteAnswered(long now, boolean counts) {
        ballot.onAnswer(
                counts, rollout.voteLifetimeNs(), now + SECOND / 2 + random.nextLong(SECOND));
    }

    private RolloutVote verdict(long now) {
        if (state == DetectorState.ALARM && (news.isOnTrial() || news.isReleased())) {
            return RolloutVote.BACK;
        }
        if (!news.isOnTrial() || rollout.control() == Settings.VoteControl.CLOCKED) {
            return news.isOnTrial() && state == DetectorState.SUSPECT
                    ? RolloutVote.HOLD
                    : RolloutVote.NONE;
        }
        long age = now - stageSinceNs;
        // The last 'on' takes the earlier pods away: it waits for what the build shows under all
        // the load.
        boolean proven =
                news.stage() < rollout.stageShares().size() - 1
                        || age > rollout.bakeNs() + PROOF_WAIT
                        || trial.totalOutcomeCount(rows.size(), true) >= everBefore + proof();
        return state == DetectorState.NORMAL && age >= rollout.bakeNs() && proven
                ? RolloutVote.ON
                : RolloutVote.NONE;
    }

    private double proof() {
        return Math.max(
                OUTCOME_FLOOR,
                PROOF * Math.min(1.0, (double) PROOF_VOTERS / rollout.approveVoteCount()));
    }

    private void vote(long now) {
        RolloutVote v = verdict(now);
        ballot.setWanted(now, v);
        boolean waits =
                ballot.pendingVote != null && now < ballot.sentNs + rollout.voteTimeoutNs() + SECOND
                        || now < ballot.retryAtNs;
        boolean stands =
                ballot.standingVoteAt(now) == v
                        && ballot.standingVoteAt(now + rollout.voteLifetimeNs() / 4) == v;
        if (!waits
                && !stands
                && (v == RolloutVote.NONE || now >= ballot.wantedSinceNs + standInAfter(now, v))) {
            ballot.markSent(now);
            host.castVote(news.build(), news.stage(), v);
        }
    }

    /**
     * The voters are lowest under a hash of build and stage; each later one stands in after longer.
     * Where several must agree to send a build back, on a large fleet all the others together take
     * as long as a few would, but leave room in what the platform takes from all; where one is
     * enough, any one's mistake would count. For 'on' the many would outvote those who doubt: only
     * who saw the trial well comes sooner.
     */
    private long standInAfter(long now, RolloutVote v) {
        int needed =
                v == RolloutVote.ON
                        ? rollout.approveVoteCount()
                        : v == RolloutVote.HOLD
                                ? rollout.holdVoteCount()
                                : rollout.rollbackVoteCount();
        int voters = rollout.control() == Settings.VoteControl.SINGLE ? VOTERS : needed;
        int before = news.voterRank(set.rank(), set.sidecarCount());
        double seen = trial.tryCount(now, rows.size());
        double step =
                v == RolloutVote.BACK ? STAND_IN_BACK : STAND_IN_ON * PROOF / Math.max(PROOF, seen);
        if (v == RolloutVote.BACK && rollout.control() != Settings.VoteControl.SINGLE) {
            double least = SECOND / (CALLS_PART * Math.max(1, rollout.votesPerSecond()));
            step =
                    Math.min(
                            step,
                            Math.max(least, step * STAND_INS / (set.sidecarCount() - voters)));
        }
        return (long) (Math.max(0, before - voters + 1) * step);
    }

    /** What it goes by just now, for a log. */
    public record Stats(
            double tryLimit,
            int openTryCount,
            int queuedFirstTryCount,
            int queuedRetryCount,
            double meanLatencyRatio,
            int readyPodCount,
            int leasedPodCount,
            long healthyPodCount,
            long coldPodCount,
            long unreachablePodCount) {}

    public Stats stats(long now) {
        return new Stats(
                room.limit(),
                room.openTryCount(),
                firstTries.size(),
                furtherTries.size(),
                room.latencyRatio(now),
                listed.all().size(),
                whole.all().size(),
                whole.count(p -> fit(now, p)),
                whole.count(p -> cold(now, p)),
                whole.count(Policy::dark));
    }

    // ---- What is remembered over a restart.

    /**
     * What it learned, piece by piece, so that the caller may pause in between. What a fresh start
     * must earn anew is not among it: saved exposure, what cold pods were sent, rates, votes,
     * evidence on the trial.
     */
    public Iterator<LearnedState> exportLearned(long now) {
        List<LearnedState> few = new ArrayList<>();
        few.add(new LearnedState.ConnectionStats(refused.snapshot(now), lost.snapshot(now)));
        rows.values().forEach(r -> few.add(r.toLearned(now, news.build())));
        for (int i = 0; i < detectors.length; i++) {
            few.add(detectors[i].toBaseline(news.build(), routes.get(i / 2), i % 2 == 1));
        }
        Stream<LearnedState> ofPods =
                List.copyOf(pods.values()).stream().map(p -> p.toLearned(now));
        return Stream.concat(few.stream(), Stream.concat(ofPods, answeredBy.toLearned()))
                .iterator();
    }

    /** Takes in, after list and news and before the first req, what an earlier start gave out. */
    public void restoreLearned(long now, LearnedState one) {
        if (one instanceof LearnedState.ConnectionStats l) {
            refused.restore(now, l.refused(), PRIOR);
            lost.restore(now, l.unanswered(), PRIOR);
        } else if (one instanceof LearnedState.PodStats l) {
            Pod p = pods.get(l.is().id());
            if (p != null && p.restore(now, l, PRIOR, SICK_STRIKES)) {
                // The first tries of all the sidecars that started together must not meet at a sick
                // pod.
                p.ejectedUntilNs = now + random.nextLong(SICK_FOR << p.failureScore);
            }
        } else if (one instanceof LearnedState.RouteStats l && rows.containsKey(l.route())) {
            RouteState row = rows.get(l.route());
            row.restore(now, l, PRIOR, standsFor(l.build()) ? LATE_MEANS : 0);
        } else if (one instanceof LearnedState.DetectorBaseline l
                && routes.contains(l.route())
                && standsFor(l.build())) {
            detectors[2 * routes.indexOf(l.route()) + (l.ofLate() ? 1 : 0)].restore(l, PRIOR);
        } else if (one instanceof LearnedState.KeyBuild l && rollout.keysAreOneWay()) {
            answeredBy.recordAnswer(l.key(), l.build());
        }
    }

    /**
     * Whether what was learned under that newest build is about what the trial is held against now.
     */
    private boolean standsFor(int build) {
        return news.build() == build
                || notOnTrial.all().stream().anyMatch(p -> p.listEntry.build() == build);
    }

    public void onTimer(long now, String token) {
        switch (token) {
            case "sample" -> {
                host.scheduleTimer(now + SECOND, token);
                judge(now);
                vote(now);
            }
            case "tick" -> {
                host.scheduleTimer(now + TICK, token);
                survey(now);
                room.adjustLimit(now, listed.all().size());
                doubt.evaluate(now, held.values(), news);
                rescue(now);
                if (!watching && !asking && asksFailed > 0 && now >= askAgainNs) {
                    askForList();
                }
            }
        }
        serveLines(now);
    }
}
