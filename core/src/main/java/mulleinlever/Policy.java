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
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long SECOND_NS = 1_000 * MILLISECOND_NS;

    // The design's own figures.
    private static final double SUSPECT_DEVIATIONS = 2.5;
    private static final double ALARM_DEVIATIONS = 4.5;
    private static final double ALARM_CLEAR_DEVIATIONS = 0.5;
    private static final double MIN_DEVIATION = 0.02;
    private static final int MIN_OUTCOME_COUNT = 20;
    private static final int SINGLE_CONTROL_VOTER_COUNT = 3;

    /**
     * Low enough that a trial's first seconds hardly move it, high enough to be learned early in a
     * day.
     */
    private static final double LONG_TERM_WEIGHT = 0.02;

    /**
     * The sample is itself a sum over some seconds, so that one second of thin traffic raises no
     * alarm.
     */
    private static final double SHORT_TERM_WEIGHT = 0.5;

    private static final long SAMPLE_HALF_LIFE_NS = 10 * SECOND_NS;

    /**
     * A try is late above this quantile, which lies at so many mean times if these fall off evenly.
     */
    private static final double LATE_QUANTILE = 0.8;

    private static final double LATE_THRESHOLD_MEANS = -Math.log(1 - LATE_QUANTILE);
    private static final double MIN_BASELINE_OUTCOME_COUNT = 5;

    /** The part of the pods that may be in trouble of its own: more hides builds that slow all. */
    private static final double MAX_FAULTY_POD_SHARE = 0.25;

    /**
     * The part of the longest warming time in which outcomes tell of a pod's cold, not of its
     * build.
     */
    private static final double UNJUDGED_SLOW_START_SHARE = 0.7;

    /**
     * Warm outcomes that the last 'on' waits for, and for how long: more finds milder faults, and
     * delays.
     */
    private static final int APPROVAL_OUTCOME_COUNT = 80;

    /** Those who have to agree see so many together: each needs fewer the more they are. */
    private static final int APPROVAL_OUTCOME_VOTERS = 2;

    private static final long MAX_APPROVAL_DELAY_NS = 10 * SECOND_NS;

    /**
     * Reports are rare and late, so they are kept for longer; so few may be mistaken, and alarm
     * nobody.
     */
    private static final double MAX_IGNORED_COMPLAINTS = 2.5;

    private static final long COMPLAINT_HALF_LIFE_NS = 30 * SECOND_NS;

    /**
     * How long a later-ranked sidecar waits for each voter before it: harm is dearer than delay.
     */
    private static final long APPROVE_STAND_IN_DELAY_NS = 2 * SECOND_NS;

    private static final long ROLLBACK_STAND_IN_DELAY_NS = SECOND_NS / 2;
    private static final double MAX_ROLLBACK_STAND_IN_STEPS = 2;

    /**
     * Of the calls a second that the platform takes from all sidecars, the part for those who stand
     * in.
     */
    private static final double STAND_IN_CALL_SHARE = 0.5;

    private static final long STATS_HALF_LIFE_NS = 5 * SECOND_NS;

    /** What a route's tries are taken to need before any is seen, in shares of its objective. */
    private static final double INITIAL_TRY_TIME_SHARE = 0.25;

    private static final long BASE_EJECTION_NS = 500 * MILLISECOND_NS;
    private static final int EJECTION_SCORE = 3;
    private static final int MAX_FAILURE_SCORE = 6;
    private static final int MAX_RANDOM_DRAWS = 16;

    /**
     * A req errored by so many pods will be by others: its tries would crowd out what they can do.
     */
    private static final int MAX_ERRORS_PER_REQ = 2;

    /** Share of new connections refused above which only pods that were heard lately are used. */
    private static final double MAX_REFUSED_SHARE = 0.25;

    private static final double PANIC_HEALTHY_SHARE = 0.5;

    /**
     * So many pods of a zone that gave nothing, with nothing heard from it in between, make it
     * dark.
     */
    private static final int UNREACHABLE_ZONE_POD_COUNT = 3;

    /** How often the pause between tries into a dark zone doubles. */
    private static final int ZONE_PROBE_DOUBLINGS = 3;

    /** Long past any report on it: pods that came and went would else pile up with each release. */
    private static final long GONE_POD_RETENTION_NS = 60 * SECOND_NS;

    /**
     * A pod that owes answers and gave none for so many mean times of the slowest route is silent.
     */
    private static final double UNRESPONSIVE_MEANS = 4;

    /**
     * What waits in line longer, in shares of its latency objective, would come late from a
     * strained pod.
     */
    private static final double MAX_QUEUE_WAIT_SHARE = 0.35;

    /**
     * How many times sooner than a usual req a cheap one is shed, by its earnings for the time
     * taken.
     */
    private static final double MAX_SHED_FACTOR = 4;

    private static final double CROSS_ZONE_LOAD_FACTOR = 1.5;

    /**
     * The part of the cap that keys which can't go back may take: their later reqs need room too.
     */
    private static final double MAX_ONE_WAY_KEY_SHARE = 0.7;

    /**
     * What the earlier build keeps to compare with, and what a trial in doubt gets: less delays
     * verdicts.
     */
    private static final double EARLIER_BUILD_SHARE = 0.08;

    private static final double SUSPECT_TRIAL_SHARE = 0.15;

    /**
     * Second copies: while this part of tries goes unanswered, after so many mean times, leaving so
     * many.
     */
    private static final double HEDGE_UNANSWERED_SHARE = 0.02;

    private static final double HEDGE_DELAY_MEANS = 1.5;
    private static final double HEDGE_REMAINING_MEANS = 2;
    private static final long TICK_NS = 50 * MILLISECOND_NS;

    /** The process may be held up for so long between reading its clock and writing. */
    private static final long MAX_SUSPENSION_NS = 150 * MILLISECOND_NS;

    /** What was remembered counts for so many outcomes at most: a few fresh ones prove it wrong. */
    private static final double MAX_RESTORED_WEIGHT = 4;

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

        void evaluate(double sample, double outcomeCount, boolean conclusive) {
            updateShortTerm(sample, SHORT_TERM_WEIGHT);
            double deviations =
                    deviationsAboveMean(
                            Math.max(
                                    MIN_DEVIATION,
                                    Math.sqrt(sample * (1 - sample) / outcomeCount)));
            boolean staysInAlarm =
                    state == DetectorState.ALARM && deviations >= ALARM_CLEAR_DEVIATIONS;
            DetectorState nonAlarmState =
                    deviations > SUSPECT_DEVIATIONS ? DetectorState.SUSPECT : DetectorState.NORMAL;
            state =
                    deviations > ALARM_DEVIATIONS && conclusive || staysInAlarm
                            ? DetectorState.ALARM
                            : nonAlarmState;
        }
    }

    private final Settings settings;
    private final Settings.RolloutSettings rollout;
    private final PolicyActions actions;
    private final SplittableRandom random;
    private final Map<String, RouteState> routes = new LinkedHashMap<>();

    /** By their place in the table; the last stands for all together. */
    private final List<String> routeNames = new ArrayList<>();

    private final Map<String, Pod> pods = new LinkedHashMap<>();
    private final Map<String, ZoneReachability> zones = new HashMap<>();
    private final PodListLease lease;
    private final PodStartEstimator startEstimator = new PodStartEstimator();
    // Surveyed at each change and tick, so that no req costs more on a larger fleet.
    private PodSet readyPods = new PodSet(List.of(), "");

    /** Those of the listed that may be sent to: all while discovery confirms the list. */
    private PodSet leasedPods = readyPods;

    private PodSet trialPods = leasedPods;
    private PodSet earlierPods = leasedPods;
    private int earlierPodCount;
    private double trialCapacityShare;
    private long latenessUnreliableUntilNs;
    private final OpenTryLatenessDetector openTryLateness =
            new OpenTryLatenessDetector(STATS_HALF_LIFE_NS);
    private double unresponsiveAfterNs;
    private boolean panicMode;
    private boolean connectionsScarce;
    private final DecayingMean unansweredShare = new DecayingMean(4 * STATS_HALF_LIFE_NS);
    private final DecayingMean refusedShare = new DecayingMean(2 * STATS_HALF_LIFE_NS);

    private final Map<String, ReqState> openReqs = new LinkedHashMap<>();
    private final ArrayDeque<ReqState> firstTryQueue = new ArrayDeque<>();
    private final ArrayDeque<ReqState> retryQueue = new ArrayDeque<>();
    private final ConcurrencyLimiter limiter;
    private final DecayingSum arrivals = new DecayingSum(STATS_HALF_LIFE_NS);
    private final DecayingSum completions = new DecayingSum(STATS_HALF_LIFE_NS);

    private boolean watchOpen;

    /**
     * Whether discovery was asked and has neither answered nor failed: asking again would give up
     * the place in line.
     */
    private boolean watchPending;

    private long watchRetryAtNs;
    private int watchFailureCount;

    private final ExposureBudget exposureBudget;
    private final BuildByKey buildByKey = new BuildByKey();

    private boolean statusReceived;
    private RolloutStatus rolloutStatus =
            new RolloutStatus(0, 0, RolloutStatus.Phase.RELEASED, 1, 0);
    private long stageStartedNs;
    private double outcomeCountAtStageStart;
    private BuildOutcomes earlierOutcomes;
    private BuildOutcomes trialOutcomes;
    private final DegradationDetector[] detectors;
    private DetectorState detectorState = DetectorState.NORMAL;

    private final VoteTracker voteTracker = new VoteTracker();

    public Policy(Settings settings, long seed, long nowNs, PolicyActions actions) {
        this.settings = settings;
        this.rollout = settings.rollout();
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.limiter = new ConcurrencyLimiter(settings.sidecarCount());
        this.lease =
                new PodListLease(
                        settings.contract().listRefreshWithinNs(),
                        settings.contract().drainGraceNs(),
                        settings.policyLimits().connectTimeoutNs());
        this.exposureBudget = new ExposureBudget(rollout, settings.routes().size());
        for (Settings.RouteSettings routeSettings : settings.routes()) {
            routes.put(
                    routeSettings.name(),
                    new RouteState(
                            routeSettings,
                            routes.size(),
                            2 * STATS_HALF_LIFE_NS,
                            INITIAL_TRY_TIME_SHARE));
        }
        routeNames.addAll(routes.keySet());
        routeNames.add("");
        earlierOutcomes =
                new BuildOutcomes(routes.size(), SAMPLE_HALF_LIFE_NS, COMPLAINT_HALF_LIFE_NS);
        trialOutcomes =
                new BuildOutcomes(routes.size(), SAMPLE_HALF_LIFE_NS, COMPLAINT_HALF_LIFE_NS);
        detectors = new DegradationDetector[2 * routes.size() + 2];
        // What is late is so defined that the earlier build's share is known before any is seen.
        Arrays.setAll(
                detectors,
                i ->
                        i % 2 == 0
                                ? new DegradationDetector(0, 0)
                                : new DegradationDetector(1 - LATE_QUANTILE, 1 / LONG_TERM_WEIGHT));
        actions.scheduleTimer(nowNs + SECOND_NS, "sample");
        actions.scheduleTimer(nowNs + TICK_NS, "tick");
        if (settings.requiresListWatch()) {
            watchPodList();
        }
    }

    // ---- The list of pods.

    public void onPodListReplaced(long nowNs, List<PodEntry> entries) {
        Map<String, Pod> missing = new HashMap<>(pods);
        entries.forEach(e -> missing.remove(e.id()));
        missing.values().forEach(p -> p.listEntry = p.listEntry.withStateGone());
        onPodListUpdated(nowNs, entries);
    }

    public void onPodListUpdated(long nowNs, List<PodEntry> entries) {
        long lastConfirmedNs = lease.lastConfirmedNs();
        onPodListConfirmed(nowNs);
        for (PodEntry entry : entries) {
            ZoneReachability zoneReachability =
                    zones.computeIfAbsent(entry.zone(), z -> new ZoneReachability());
            Pod pod = pods.computeIfAbsent(entry.id(), id -> new Pod(entry, STATS_HALF_LIFE_NS));
            pod.update(entry, zoneReachability, startEstimator, lastConfirmedNs, nowNs);
        }
        if (!statusReceived) {
            // Until there is news, all but the lowest build counts as on trial.
            int lowestBuild =
                    pods.values().stream().mapToInt(pod -> pod.listEntry.build()).min().orElse(0);
            rolloutStatus = new RolloutStatus(lowestBuild, 0, RolloutStatus.Phase.RELEASED, 1, 0);
        }
        updatePodSets(nowNs);
        serveQueues(nowNs);
    }

    /** A watch stands and has nothing new to tell. */
    public void onPodListConfirmed(long nowNs) {
        watchOpen = true;
        watchPending = false;
        watchFailureCount = 0;
        lease.onConfirmed(nowNs);
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
    public void onDiscoveryCallEnded(long nowNs, boolean reached) {
        lease.onDiscoveryCall(reached, nowNs);
    }

    /** Another discovery is being asked from now on. */
    public void onDiscoveryChanged() {
        watchOpen = false;
        watchPending = true;
        lease.onDiscoveryChanged();
    }

    /** The wall clock by which the list tells starts of servers was stepped. */
    public void onWallClockStepped() {
        startEstimator.onWallClockStepped();
    }

    private void updatePodSets(long nowNs) {
        pods.values().removeIf(p -> p.idleSinceGoneNs(nowNs) > GONE_POD_RETENTION_NS);
        readyPods =
                new PodSet(pods.values().stream().filter(Pod::isReady).toList(), settings.zone());
        leasedPods = readyPods.filter(p -> lease.allows(nowNs, p));
        trialPods = leasedPods.filter(p -> rolloutStatus.isBuildOnTrial(p.listEntry.build()));
        earlierPods = leasedPods.filter(p -> !rolloutStatus.isBuildOnTrial(p.listEntry.build()));
        trialPods.all().forEach(p -> exposureBudget.tokensOf(p.listEntry.build()));
        earlierPodCount =
                trialPods.all().isEmpty() ? 0 : Math.max(earlierPodCount, earlierPods.all().size());
        double slowestMeanNs =
                routes.values().stream().mapToDouble(r -> r.meanTryTimeNs(nowNs)).max().orElse(0);
        unresponsiveAfterNs = UNRESPONSIVE_MEANS * slowestMeanNs;
        limiter.initializeLimit(nowNs, readyPods.all().size());
        // Pods that take no more connections look like dead ones; either way what answered lately
        // serves.
        connectionsScarce =
                refusedShare.meanAt(nowNs, 0, 4) > MAX_REFUSED_SHARE
                        && leasedPods.count(p -> isConnected(nowNs, p)) > limiter.openTryCount();
        // Pods that can't be reached would not help those that can.
        long reachableCount = leasedPods.count(p -> !isUnreachable(p));
        panicMode =
                leasedPods.count(p -> isHealthy(nowNs, p)) < PANIC_HEALTHY_SHARE * reachableCount;
        trialCapacityShare =
                Math.min(
                        1,
                        trialPods.count(p -> !isInSlowStart(nowNs, p) && isHealthy(nowNs, p))
                                / Math.max(1.0, earlierPodCount));
        // What the loss of a major part did to the rest must have faded before it can tell of a
        // build.
        latenessUnreliableUntilNs =
                reachableCount < (1 - MAX_FAULTY_POD_SHARE) * leasedPods.all().size()
                        ? nowNs + 2 * SAMPLE_HALF_LIFE_NS
                        : latenessUnreliableUntilNs;
    }

    /**
     * Whether a watch still stands can't be told from this, so it is asked for again, ever more
     * rarely.
     */
    public void onPodListWatchFailed(long nowNs) {
        watchOpen = false;
        watchPending = false;
        long maxDelayNs = Math.max(SECOND_NS, settings.contract().listRefreshWithinNs() / 3);
        long delayNs = Math.min(SECOND_NS << Math.min(++watchFailureCount, 4), maxDelayNs);
        watchRetryAtNs = nowNs + delayNs / 2 + random.nextLong(delayNs / 2 + 1);
    }

    private void watchPodList() {
        watchPending = true;
        actions.watchPodList();
    }

    // ---- Reqs.

    public void onReq(long nowNs, Req req) {
        ReqState reqState = new ReqState(req, routes.get(req.route()), nowNs);
        openReqs.put(req.id(), reqState);
        arrivals.add(nowNs, 1);
        limiter.recordDemand(
                nowNs,
                reqState.route.meanTryTimeNs(nowNs),
                reqState.route.settings.latencyObjectiveNs());
        exposureBudget.accrue(rolloutStatus, reqState.route.index);
        if (random.nextDouble() < shedProbability(nowNs, reqState)) {
            shedOrFail(nowNs, reqState);
        } else {
            sendOrEnqueue(nowNs, reqState);
        }
    }

    /**
     * By chance, the cheaper the more often: a full line would turn away the dear ones just as
     * well.
     */
    private double shedProbability(long nowNs, ReqState reqState) {
        double queueWaitNs =
                limiter.estimatedQueueWaitNs(
                        firstTryQueue.size(),
                        completions.ratePerSecond(nowNs),
                        reqState.route.meanTryTimeNs(nowNs));
        double pressure =
                queueWaitNs / reqState.route.settings.latencyObjectiveNs() / MAX_QUEUE_WAIT_SHARE
                        - 0.25;
        double meanValuePerNs =
                routes.values().stream().mapToDouble(r -> r.valuePerNs(nowNs)).average().orElse(0);
        return Math.min(
                0.95,
                pressure
                        * Math.min(
                                MAX_SHED_FACTOR,
                                Math.pow(meanValuePerNs / reqState.route.valuePerNs(nowNs), 2)));
    }

    private void sendOrEnqueue(long nowNs, ReqState reqState) {
        if (nowNs >= queueDeadlineNs(nowNs, reqState) && !sendTry(nowNs, reqState)) {
            shedOrFail(nowNs, reqState);
        } else if (nowNs < queueDeadlineNs(nowNs, reqState) && !sendTry(nowNs, reqState)) {
            (reqState.tries.isEmpty() ? firstTryQueue : retryQueue).add(reqState);
        }
    }

    /**
     * When waiting stops making sense: the answer would come after the latency objective, or never.
     */
    private long queueDeadlineNs(long nowNs, ReqState reqState) {
        double objectiveNs = reqState.route.settings.latencyObjectiveNs();
        double maxWaitNs =
                reqState.tries.isEmpty()
                        ? MAX_QUEUE_WAIT_SHARE * objectiveNs
                        : objectiveNs - reqState.route.meanTryTimeNs(nowNs);
        return Math.min(
                reqState.arrivedNs + (long) maxWaitNs,
                reqState.lastSendNs() - TICK_NS - 2 * settings.clockStepNs());
    }

    private void serveQueues(long nowNs) {
        serveQueue(nowNs, firstTryQueue);
        serveQueue(nowNs, retryQueue);
    }

    private void serveQueue(long nowNs, ArrayDeque<ReqState> queue) {
        // What finds no pod for one first try finds none for the next of its route: a long line
        // costs little.
        boolean[] blockedRoutes = new boolean[routes.size()];
        for (ReqState reqState : List.copyOf(queue)) {
            if (nowNs >= queueDeadlineNs(nowNs, reqState) && !reqState.answered) {
                shedOrFail(nowNs, reqState);
            }
            if (reqState.answered
                    || !blockedRoutes[reqState.route.index] && sendTry(nowNs, reqState)) {
                queue.remove(reqState);
            } else {
                blockedRoutes[reqState.route.index] |= reqState.tries.isEmpty();
            }
        }
    }

    private boolean sendTry(long nowNs, ReqState reqState) {
        Pod pod = limiter.hasCapacity() ? pickPod(nowNs, reqState) : null;
        if (pod == null) {
            return false;
        }
        boolean warmingUp =
                nowNs
                        < pod.startedNs
                                + UNJUDGED_SLOW_START_SHARE * settings.contract().slowStartNs();
        Try sentTry =
                new Try(pod, nowNs, !warmingUp, pod.listEntry.build(), isConnected(nowNs, pod));
        // No time-out of our own: one that a busy pod misses is work done twice; silent pods show
        // sooner.
        long timeoutNs = reqState.deadlineNs - nowNs - settings.clockStepNs();
        long writeWithinNs =
                reqState.isRetryScopeBound()
                        ? reqState.lastSendNs() - nowNs - MAX_SUSPENSION_NS
                        : timeoutNs;
        reqState.addTry(sentTry);
        reqState.failoverPending = false;
        pod.unansweredSinceNs = pod.openTryCount++ == 0 ? nowNs : pod.unansweredSinceNs;
        limiter.onTryStarted();
        if (isInSlowStart(nowNs, pod)) {
            pod.slowStartTokens--;
        }
        if (isUnreachable(pod)) {
            pod.zoneReachability.scheduleNextProbe(
                    nowNs, BASE_EJECTION_NS, BASE_EJECTION_NS << ZONE_PROBE_DOUBLINGS, random);
        }
        if (rolloutStatus.isBuildOnTrial(sentTry.build())) {
            exposureBudget.consume(sentTry.build(), reqState.route.index);
        }
        actions.startTry(reqState.req.id(), pod.id, writeWithinNs, timeoutNs);
        return true;
    }

    public void onStreamStarted(long nowNs, String reqId) {
        ReqState reqState = openReqs.get(reqId);
        if (reqState != null) {
            reqState.streaming = true;
        }
    }

    public void onTryEnded(
            long nowNs,
            String reqId,
            int tryNumber,
            TryOutcome outcome,
            long durationNs,
            boolean complete) {
        ReqState reqState = openReqs.get(reqId);
        if (reqState == null || tryNumber < 0 || tryNumber >= reqState.tries.size()) {
            return;
        }
        Try t = reqState.tries.get(tryNumber);
        t.pod().openTryCount--;
        reqState.endTry(tryNumber, outcome);
        limiter.onTryEnded();
        if (outcome != TryOutcome.MOOT) {
            updateStats(nowNs, reqState.route, t, outcome, durationNs);
        }
        if (outcome == TryOutcome.OK) {
            lease.onServed(t.pod(), t.sentNs());
        } else if (outcome == TryOutcome.CONNECT_FAILED || outcome == TryOutcome.RESET) {
            lease.onConnectionFailed(t.pod(), nowNs);
        }
        // A try called back late was late: else a slow build would hide behind the rescue of its
        // reqs.
        if (outcome != TryOutcome.MOOT
                && (outcome != TryOutcome.CANCELLED
                        || durationNs > reqState.route.lateThresholdNs)) {
            recordEvidence(nowNs, reqState.route, t, outcome, durationNs);
        }
        if (outcome == TryOutcome.OK && rollout.keysAreOneWay() && reqState.req.key() >= 0) {
            buildByKey.recordAnswer(reqState.req.key(), t.build());
        }
        reqState.answered |= complete || reqState.streaming;
        if (!reqState.answered && reqState.openTryNumbers.isEmpty() && canRetry(nowNs, reqState)) {
            sendOrEnqueue(nowNs, reqState);
        } else if (!reqState.answered && reqState.openTryNumbers.isEmpty()) {
            shedOrFail(nowNs, reqState);
        }
        finishIfAnswered(reqState);
        serveQueues(nowNs);
    }

    private boolean canRetry(long nowNs, ReqState reqState) {
        return nowNs < queueDeadlineNs(nowNs, reqState)
                && reqState.tries.size() < settings.policyLimits().maxTries()
                && reqState.errorCount < MAX_ERRORS_PER_REQ
                && reqState.isRetryAllowed();
    }

    /**
     * The answer goes out at once: a shed reply where a repeat is harmless, so the client may
     * return.
     */
    private void shedOrFail(long nowNs, ReqState reqState) {
        reqState.answered = true;
        if (reqState.isSafeToShed()) {
            long backoffNs =
                    Math.min(
                            settings.policyLimits().maxRetryAfterNs(),
                            reqState.route.settings.latencyObjectiveNs() / 4);
            actions.shedReq(
                    reqState.req.id(),
                    settings.policyLimits().canAdviseRetryAfter() ? backoffNs : 0);
        } else {
            actions.failReq(reqState.req.id());
        }
        finishIfAnswered(reqState);
    }

    public void onClientDisconnected(long nowNs, String reqId) {
        ReqState reqState = openReqs.get(reqId);
        if (reqState != null) {
            reqState.answered = true;
            finishIfAnswered(reqState);
        }
    }

    private void finishIfAnswered(ReqState reqState) {
        if (reqState.answered && settings.policyLimits().canCancel() && !reqState.streaming) {
            reqState.openTryNumbers.stream()
                    .forEach(tryNumber -> actions.cancelTry(reqState.req.id(), tryNumber));
        }
        if (reqState.answered && reqState.openTryNumbers.isEmpty()) {
            openReqs.remove(reqState.req.id());
        }
    }

    /**
     * Two random choices by load among the pods the req may go to, the first a near one if there is
     * any.
     */
    private Pod pickPod(long nowNs, ReqState reqState) {
        double trialShare = trialShare(nowNs);
        Pod pod =
                trialShare == 0
                        ? null
                        : pickByTwoChoices(
                                nowNs,
                                reqState,
                                random.nextDouble() < trialShare ? trialPods : earlierPods);
        pod = pod == null ? pickByTwoChoices(nowNs, reqState, leasedPods) : pod;
        return pod == null
                ? PodSet.pickRandom(
                        leasedPods.all(),
                        random,
                        MAX_RANDOM_DRAWS,
                        p -> isAllowed(nowNs, reqState, p))
                : pod;
    }

    /**
     * The trial's pods carry what they will when released, as far as the rules leave room: that
     * proves the build under its load, and fewer wait for a good one. In doubt they get what
     * verdicts need. Cold pods and those out of reach don't count: the rest of the trial would
     * carry their load and look slow for it.
     */
    private double trialShare(long nowNs) {
        return rollout.keysAreOneWay() && !trialPods.all().isEmpty()
                ? 1
                : Math.min(
                        trialCapacityShare,
                        detectorState == DetectorState.NORMAL && !openTryLateness.isSuspected(nowNs)
                                ? 1 - EARLIER_BUILD_SHARE
                                : SUSPECT_TRIAL_SHARE);
    }

    private Pod pickByTwoChoices(long nowNs, ReqState reqState, PodSet candidates) {
        Predicate<Pod> isCandidate =
                p -> isPreferred(nowNs, reqState, p) && isAllowed(nowNs, reqState, p);
        Pod first = PodSet.pickRandom(candidates.local(), random, MAX_RANDOM_DRAWS, isCandidate);
        Pod second = PodSet.pickRandom(candidates.all(), random, MAX_RANDOM_DRAWS, isCandidate);
        return first == null
                        || second != null
                                && weightedLoad(nowNs, second) < weightedLoad(nowNs, first)
                ? second
                : first;
    }

    /**
     * Where most pods fail, resting them would jam the few: then they are no worse than the rest.
     */
    private boolean isPreferred(long nowNs, ReqState reqState, Pod pod) {
        return (panicMode || isHealthy(nowNs, pod))
                && (!connectionsScarce || isConnected(nowNs, pod))
                && reqState.tries.stream().noneMatch(t -> t.pod() == pod);
    }

    private boolean isConnected(long nowNs, Pod pod) {
        return pod.openTryCount > 0
                || nowNs < pod.lastAnswerNs + settings.policyLimits().connectionIdleTimeoutNs();
    }

    private double weightedLoad(long nowNs, Pod pod) {
        double zoneFactor =
                settings.prices().crossZone() > 0 && !pod.listEntry.zone().equals(settings.zone())
                        ? CROSS_ZONE_LOAD_FACTOR
                        : 1;
        return zoneFactor
                * (pod.openTryCount + 1)
                * pod.relativeLatency.meanAt(nowNs, 1, 2)
                / Math.max(0.01, pod.listEntry.weight());
    }

    private boolean isAllowed(long nowNs, ReqState reqState, Pod pod) {
        return pod.isReady()
                && lease.allows(nowNs, pod)
                && reqState.canSendTo(pod.listEntry)
                && isExposureAllowed(nowNs, reqState, pod)
                && hasSlowStartToken(nowNs, pod);
    }

    private void updateStats(
            long nowNs, RouteState route, Try sentTry, TryOutcome outcome, long durationNs) {
        Pod pod = sentTry.pod();
        boolean isUnanswered = outcome == TryOutcome.TIMEOUT || outcome == TryOutcome.CANCELLED;
        limiter.recordLatency(
                nowNs, durationNs / (double) route.settings.latencyObjectiveNs(), isUnanswered);
        unansweredShare.add(nowNs, isUnanswered && durationNs > unresponsiveAfterNs ? 1 : 0);
        if (outcome == TryOutcome.CANCELLED) {
            return;
        }
        if (!sentTry.wasConnected()) {
            refusedShare.add(nowNs, outcome == TryOutcome.CONNECT_FAILED ? 1 : 0);
        }
        pod.onTryEnded(nowNs, isUnanswered, outcome == TryOutcome.CONNECT_FAILED);
        if (isUnanswered || outcome == TryOutcome.CONNECT_FAILED) {
            pod.zoneReachability.onNoAnswer(nowNs, pod, UNREACHABLE_ZONE_POD_COUNT);
        } else {
            pod.zoneReachability.onAnswer();
        }
        if (outcome == TryOutcome.OK || isUnanswered) {
            pod.relativeLatency.add(nowNs, durationNs / route.meanTryTimeNs(nowNs));
            route.tryTimes.add(nowNs, durationNs);
        }
        if (outcome == TryOutcome.OK) {
            completions.add(nowNs, 1);
            // A pod that fails half of its tries must not be cleared by one lucky answer.
            pod.failureScore = Math.max(0, pod.failureScore - 1);
        } else if (outcome != TryOutcome.FULL) {
            pod.failureScore = Math.min(MAX_FAILURE_SCORE, pod.failureScore + 2);
            pod.ejectedUntilNs = nowNs + (BASE_EJECTION_NS << pod.failureScore - 2);
        }
    }

    /** A pod that failed lately rests; then one try at a time shows whether it is back. */
    private boolean isHealthy(long nowNs, Pod pod) {
        boolean admitted =
                pod.failureScore < EJECTION_SCORE
                        || nowNs >= pod.ejectedUntilNs && pod.openTryCount == 0;
        return admitted
                && !pod.isUnresponsive(nowNs, unresponsiveAfterNs)
                && (!isUnreachable(pod) || pod.zoneReachability.canProbe(nowNs));
    }

    /**
     * Against a zone that is lost or cut off: with the load spread over many sidecars and pods,
     * finding each pod out by its own tries takes far longer than the loss may last. Some pods of a
     * zone that gave nothing in a row stand for all; then a try now and then shows whether it is
     * back. What starts anew is left out.
     */
    private static boolean isUnreachable(Pod pod) {
        return pod.zoneReachability.isUnreachable(pod.startedNs);
    }

    /**
     * What lies at silent pods is called back, to go elsewhere; what may be lost on the way goes
     * twice.
     */
    private void failOverAndHedge(long nowNs) {
        for (ReqState reqState : openReqs.values()) {
            if (!reqState.isWaitingForSingleTry() || !canRetry(nowNs, reqState)) {
                continue;
            }
            int tryNumber = reqState.openTryNumbers.nextSetBit(0);
            Pod pod = reqState.tries.get(tryNumber).pod();
            double thresholdNs =
                    isUnreachable(pod)
                            ? unresponsiveAfterNs / UNRESPONSIVE_MEANS
                            : unresponsiveAfterNs;
            if (settings.policyLimits().canCancel() && pod.isUnresponsive(nowNs, thresholdNs)) {
                reqState.failoverPending = true;
                pod.failureScore = MAX_FAILURE_SCORE;
                pod.ejectedUntilNs = nowNs + BASE_EJECTION_NS;
                pod.zoneReachability.onNoAnswer(nowNs, pod, UNREACHABLE_ZONE_POD_COUNT);
                actions.cancelTry(reqState.req.id(), tryNumber);
            } else if (settings.policyLimits().canHedge() && nowNs >= hedgeAtNs(nowNs, reqState)) {
                sendTry(nowNs, reqState);
            }
        }
    }

    /**
     * When one more try would just come in time: against answers lost on the way and pods that
     * stall.
     */
    private long hedgeAtNs(long nowNs, ReqState reqState) {
        double meanNs = reqState.route.meanTryTimeNs(nowNs);
        double endNs =
                Math.min(
                        reqState.arrivedNs + reqState.route.settings.latencyObjectiveNs(),
                        reqState.deadlineNs);
        double hedgeNs =
                Math.max(
                        reqState.lastTry().sentNs() + HEDGE_DELAY_MEANS * meanNs,
                        endNs - HEDGE_REMAINING_MEANS * meanNs);
        boolean hedgingOff =
                limiter.isOverloaded(nowNs)
                        || unansweredShare.meanAt(nowNs, 2 * HEDGE_UNANSWERED_SHARE, 10)
                                < HEDGE_UNANSWERED_SHARE;
        return hedgingOff || hedgeNs + meanNs > endNs ? Long.MAX_VALUE : (long) hedgeNs;
    }

    private boolean isInSlowStart(long nowNs, Pod pod) {
        return pod.startedNs > 0 && nowNs < pod.startedNs + settings.contract().slowStartNs();
    }

    /**
     * Against a cold pod pushed over by all sidecars together: each keeps to its even share of the
     * load, cut to what the pod can do. It starts at random within its first turn: hundreds are
     * told of a pod at once.
     */
    private boolean hasSlowStartToken(long nowNs, Pod pod) {
        if (!isInSlowStart(nowNs, pod)) {
            return true;
        }
        double elapsedShare =
                Math.max(0, nowNs - pod.startedNs) / (double) settings.contract().slowStartNs();
        double capacityShare =
                settings.contract().coldCapacityShare()
                        + (1 - settings.contract().coldCapacityShare()) * elapsedShare;
        // What each pod would complete a second from here if all did alike; before any did, what
        // comes in.
        double totalPerSecond =
                completions.ratePerSecond(nowNs) > 0
                        ? completions.ratePerSecond(nowNs)
                        : arrivals.ratePerSecond(nowNs);
        double podPerSecond =
                capacityShare * totalPerSecond * pod.listEntry.weight() / readyPods.totalWeight();
        double maxTokens =
                Math.max(1, podPerSecond * settings.contract().overloadWindowNs() / SECOND_NS);
        return pod.refillSlowStartTokens(nowNs, podPerSecond, maxTokens, random) >= 1;
    }

    private boolean isExposureAllowed(long nowNs, ReqState reqState, Pod pod) {
        int build = pod.listEntry.build();
        if (rolloutStatus.isActive() && build < buildByKey.newestBuildOf(reqState.req.key())) {
            return false;
        }
        boolean shielded =
                rolloutStatus.stageOf(build) < rollout.shieldedStageCount()
                        && reqState.route.settings.retrySafety() != Settings.RetrySafety.IDEMPOTENT;
        return !rolloutStatus.isBuildOnTrial(build)
                || rolloutStatus.capOf(build, rollout) > 0
                        && !shielded
                        && (!rollout.keysAreOneWay() || isOneWayKeyAllowed(nowNs, reqState, build))
                        && exposureBudget.hasToken(build, reqState.route.index);
    }

    /**
     * Where a key can't go back, the trial keeps to a part of the keys: their later reqs need room
     * too.
     */
    private boolean isOneWayKeyAllowed(long nowNs, ReqState reqState, int build) {
        double keyShare =
                Math.min(
                        MAX_ONE_WAY_KEY_SHARE * rolloutStatus.capOf(build, rollout),
                        trialCapacityShare);
        return buildByKey.newestBuildOf(reqState.req.key()) == build
                || new SplittableRandom(reqState.req.key()).nextDouble() < keyShare;
    }

    // ---- Judging the build.

    /**
     * An outcome as evidence; pods not yet warm when it was sent, or out of reach, are left out.
     */
    private void recordEvidence(
            long nowNs, RouteState route, Try sentTry, TryOutcome outcome, long durationNs) {
        if (!sentTry.wasPodWarm()
                || sentTry.build() > rolloutStatus.build()
                || outcome == TryOutcome.CONNECT_FAILED
                || isUnreachable(sentTry.pod())) {
            return;
        }
        boolean isLate = durationNs > route.lateThresholdNs;
        boolean hasFailed = outcome == TryOutcome.ERROR || outcome == TryOutcome.RESET;
        sentTry.pod().lateShare.add(nowNs, isLate ? 1 : 0);
        outcomesOf(sentTry.build()).recordTry(nowNs, route.index, hasFailed, isLate);
        if (outcome == TryOutcome.OK) {
            updateLateThreshold(nowNs, route, sentTry.build(), durationNs, 1);
        }
    }

    /**
     * Not learned while a trial is on: a build that slows down its neighbours too would be
     * forgiven.
     */
    private void updateLateThreshold(
            long nowNs, RouteState route, int build, long durationNs, double weight) {
        if (!rolloutStatus.isOnTrial()
                && (build == rolloutStatus.build()) == rolloutStatus.isReleased()) {
            route.baselineTryTimes.add(nowNs, durationNs, weight);
            route.lateThresholdNs =
                    LATE_THRESHOLD_MEANS * route.baselineTryTimes.meanAt(nowNs, 0, 1e-9);
        }
    }

    /**
     * The platform's count of all sidecars' tries, where one sees too few for a verdict. Times tell
     * nothing while pods of the build may have been fresh; else the share late is what times of
     * such a mean have.
     */
    public void onPlatformTally(
            long nowNs,
            String routeName,
            int build,
            double tryCount,
            double failedCount,
            long meanNs,
            long ageNs) {
        RouteState route = routes.get(routeName);
        if (route == null || build > rolloutStatus.build() || !(tryCount > 0) || meanNs <= 0) {
            return;
        }
        double succeededCount = Math.max(0, tryCount - failedCount);
        long beganNs = nowNs - ageNs - rollout.tallyIntervalNs();
        boolean warmingUp =
                leasedPods.count(
                                p ->
                                        p.listEntry.build() == build
                                                && p.startedNs > 0
                                                && beganNs
                                                        < p.startedNs
                                                                + UNJUDGED_SLOW_START_SHARE
                                                                        * settings.contract()
                                                                                .slowStartNs())
                        > 0;
        if (!warmingUp) {
            updateLateThreshold(nowNs, route, build, meanNs, succeededCount);
        }
        double lateCount = succeededCount * Math.exp(-route.lateThresholdNs / meanNs);
        outcomesOf(build)
                .recordTally(
                        nowNs,
                        route.index,
                        tryCount,
                        failedCount,
                        warmingUp ? 0 : tryCount,
                        lateCount);
    }

    private BuildOutcomes outcomesOf(int build) {
        return build == rolloutStatus.build() ? trialOutcomes : earlierOutcomes;
    }

    /**
     * The trial's share, less what the earlier build's shifted by: a burst or lost zone is not its
     * doing. But where that is late beyond what a minor part of its pods, hung, slow or pausing,
     * can do, it slows all; unless so many pods are out that the rest must be late.
     */
    private double detectorSample(
            long nowNs, int routeIndex, boolean isLateness, DegradationDetector detector) {
        double trialBadShare = badShare(nowNs, trialOutcomes, routeIndex, isLateness);
        boolean hasReference =
                earlierOutcomes.totalOutcomeCount(routeIndex, isLateness) >= MIN_OUTCOME_COUNT;
        double shift =
                hasReference
                        ? badShare(nowNs, earlierOutcomes, routeIndex, isLateness)
                                - detector.longTermMean
                        : 0;
        double excess = Math.max(0, Math.min(1, trialBadShare - Math.max(0, shift)));
        if (!isLateness
                || routeIndex < routes.size()
                || !hasReference
                || nowNs < latenessUnreliableUntilNs) {
            return excess;
        }
        return Math.max(
                excess,
                Math.max(
                        medianPodLateShare(nowNs),
                        (earlierOutcomes.lateShare(nowNs, routeIndex) - MAX_FAULTY_POD_SHARE)
                                / (1 - MAX_FAULTY_POD_SHARE)));
    }

    /** Of the middle pod, which the lesser part can't tilt at all: where each is seen often. */
    private double medianPodLateShare(long nowNs) {
        double[] lateShares =
                leasedPods.all().stream()
                        .filter(p -> !isInSlowStart(nowNs, p))
                        .mapToDouble(p -> p.lateShare.meanAt(nowNs, 1 - LATE_QUANTILE, 2))
                        .sorted()
                        .toArray();
        return lateShares.length == 0 ? 0 : lateShares[(lateShares.length - 1) / 2];
    }

    public void onComplaint(long nowNs, String podId, String routeName) {
        Pod pod = pods.get(podId);
        RouteState route = routes.get(routeName);
        if (pod != null && route != null && pod.listEntry.build() <= rolloutStatus.build()) {
            outcomesOf(pod.listEntry.build()).recordComplaint(nowNs, route.index);
        }
    }

    private double badShare(
            long nowNs, BuildOutcomes outcomes, int routeIndex, boolean isLateness) {
        if (isLateness) {
            return outcomes.lateShare(nowNs, routeIndex);
        }
        // After a release nothing is left to compare with: what fails then may be the fleet's
        // doing.
        double failedShare =
                outcomes == earlierOutcomes || rolloutStatus.isOnTrial()
                        ? outcomes.failedShare(nowNs, routeIndex)
                        : 0;
        return Math.min(1, failedShare + estimatedWrongShare(nowNs, outcomes, routeIndex));
    }

    /** One report stands for all the wrong answers that nobody reported. */
    private double estimatedWrongShare(long nowNs, BuildOutcomes outcomes, int routeIndex) {
        double complaintCount = outcomes.complaintCount(nowNs, routeIndex);
        return complaintCount == 0
                ? 0
                : complaintCount
                        / rollout.complaintReportRate()
                        / Math.max(1, outcomes.tryCount(nowNs, routeIndex));
    }

    private void updateDetectors(long nowNs) {
        DetectorState worstState = DetectorState.NORMAL;
        String cause = "";
        // Below the outcome floor all looks normal, so no trial is learned from: a build that slows
        // its
        // neighbours would be forgiven. Nor a release's: its faults would be their own measure.
        BuildOutcomes baselineOutcomes =
                rolloutStatus.isReleased()
                                && earlierOutcomes.totalOutcomeCount(routes.size(), true) == 0
                        ? trialOutcomes
                        : earlierOutcomes;
        boolean learns =
                detectorState == DetectorState.NORMAL
                        && (baselineOutcomes == trialOutcomes
                                || !rolloutStatus.isOnTrial() && !rolloutStatus.isReleased());
        for (int i = 0; i < detectors.length; i++) {
            DegradationDetector detector = detectors[i];
            int routeIndex = i / 2;
            boolean isLateness = i % 2 == 1;
            if (learns
                    && baselineOutcomes.outcomeCount(nowNs, routeIndex, isLateness)
                            >= MIN_BASELINE_OUTCOME_COUNT) {
                detector.updateLongTerm(
                        badShare(nowNs, baselineOutcomes, routeIndex, isLateness),
                        LONG_TERM_WEIGHT);
            }
            double trialCount = trialOutcomes.outcomeCount(nowNs, routeIndex, isLateness);
            double earlierCount = earlierOutcomes.outcomeCount(nowNs, routeIndex, isLateness);
            boolean enough =
                    trialOutcomes.totalOutcomeCount(routeIndex, isLateness) >= MIN_OUTCOME_COUNT
                            && trialCount >= 1
                            && earlierCount >= 1;
            if (enough && (!isLateness || rolloutStatus.isOnTrial())) {
                boolean conclusive =
                        isLateness
                                ? nowNs >= latenessUnreliableUntilNs
                                : trialOutcomes.complaintCount(nowNs, routeIndex)
                                                > MAX_IGNORED_COMPLAINTS
                                        || trialOutcomes.failedShare(nowNs, routeIndex)
                                                >= estimatedWrongShare(
                                                        nowNs, trialOutcomes, routeIndex);
                // What it is compared with was seen in so many cases only: that widens the
                // deviation too.
                detector.evaluate(
                        detectorSample(nowNs, routeIndex, isLateness, detector),
                        trialCount * earlierCount / (trialCount + earlierCount),
                        conclusive);
            }
            if (detector.state.ordinal() > worstState.ordinal()) {
                worstState = detector.state;
                cause =
                        (isLateness ? ", late" : ", failed or flagged")
                                + String.format(
                                        " %.2f against %.2f",
                                        detector.shortTermMean, detector.longTermMean);
            }
        }
        if (worstState != detectorState) {
            actions.log(rolloutStatus.label() + ": " + detectorState + " to " + worstState + cause);
        }
        detectorState = worstState;
    }

    // ---- News and votes.

    public void onRolloutStatus(long nowNs, RolloutStatus newStatus) {
        boolean buildChanged = rolloutStatus.build() != newStatus.build();
        if (buildChanged) {
            earlierOutcomes = rolloutStatus.isReleased() ? trialOutcomes : earlierOutcomes;
            trialOutcomes =
                    new BuildOutcomes(routes.size(), SAMPLE_HALF_LIFE_NS, COMPLAINT_HALF_LIFE_NS);
            detectorState = DetectorState.NORMAL;
            for (DegradationDetector detector : detectors) {
                detector.state = DetectorState.NORMAL;
                detector.shortTermMean = detector.longTermMean;
            }
        }
        if (buildChanged
                || rolloutStatus.stage() != newStatus.stage()
                || rolloutStatus.phase() != newStatus.phase()) {
            actions.log(newStatus.label() + " " + newStatus.phase());
            voteTracker.reset();
            outcomeCountAtStageStart = trialOutcomes.totalOutcomeCount(routes.size(), true);
        }
        statusReceived = true;
        rolloutStatus = newStatus;
        stageStartedNs = nowNs - newStatus.ageNs();
        updatePodSets(nowNs);
        updateVote(nowNs);
        serveQueues(nowNs);
    }

    /**
     * A vote with no good answer may count: it is cast again, after a pause that differs by
     * sidecar.
     */
    public void onVoteAnswered(long nowNs, boolean counted) {
        voteTracker.onAnswer(
                counted,
                rollout.voteLifetimeNs(),
                nowNs + SECOND_NS / 2 + random.nextLong(SECOND_NS));
    }

    private RolloutVote desiredVote(long nowNs) {
        if (detectorState == DetectorState.ALARM
                && (rolloutStatus.isOnTrial() || rolloutStatus.isReleased())) {
            return RolloutVote.BACK;
        }
        if (!rolloutStatus.isOnTrial() || rollout.control() == Settings.VoteControl.CLOCKED) {
            return rolloutStatus.isOnTrial() && detectorState == DetectorState.SUSPECT
                    ? RolloutVote.HOLD
                    : RolloutVote.NONE;
        }
        long stageAgeNs = nowNs - stageStartedNs;
        // The last 'on' takes the earlier pods away: it waits for what the build shows under all
        // the load.
        boolean proven =
                rolloutStatus.stage() < rollout.stageShares().size() - 1
                        || stageAgeNs > rollout.bakeNs() + MAX_APPROVAL_DELAY_NS
                        || trialOutcomes.totalOutcomeCount(routes.size(), true)
                                >= outcomeCountAtStageStart + requiredOutcomeCount();
        return detectorState == DetectorState.NORMAL && stageAgeNs >= rollout.bakeNs() && proven
                ? RolloutVote.ON
                : RolloutVote.NONE;
    }

    private double requiredOutcomeCount() {
        return Math.max(
                MIN_OUTCOME_COUNT,
                APPROVAL_OUTCOME_COUNT
                        * Math.min(
                                1.0,
                                (double) APPROVAL_OUTCOME_VOTERS / rollout.approveVoteCount()));
    }

    private void updateVote(long nowNs) {
        RolloutVote vote = desiredVote(nowNs);
        voteTracker.setWanted(nowNs, vote);
        boolean isWaiting =
                voteTracker.pendingVote != null
                                && nowNs < voteTracker.sentNs + rollout.voteTimeoutNs() + SECOND_NS
                        || nowNs < voteTracker.retryAtNs;
        boolean isStanding =
                voteTracker.standingVoteAt(nowNs) == vote
                        && voteTracker.standingVoteAt(nowNs + rollout.voteLifetimeNs() / 4) == vote;
        if (!isWaiting
                && !isStanding
                && (vote == RolloutVote.NONE
                        || nowNs >= voteTracker.wantedSinceNs + standInDelayNs(nowNs, vote))) {
            voteTracker.markSent(nowNs);
            actions.castVote(rolloutStatus.build(), rolloutStatus.stage(), vote);
        }
    }

    /**
     * The voters are lowest under a hash of build and stage; each later one stands in after longer.
     * Where several must agree to send a build back, on a large fleet all the others together take
     * as long as a few would, but leave room in what the platform takes from all; where one is
     * enough, any one's mistake would count. For 'on' the many would outvote those who doubt: only
     * who saw the trial well comes sooner.
     */
    private long standInDelayNs(long nowNs, RolloutVote vote) {
        int neededVotes =
                vote == RolloutVote.ON
                        ? rollout.approveVoteCount()
                        : vote == RolloutVote.HOLD
                                ? rollout.holdVoteCount()
                                : rollout.rollbackVoteCount();
        int firstVoterCount =
                rollout.control() == Settings.VoteControl.SINGLE
                        ? SINGLE_CONTROL_VOTER_COUNT
                        : neededVotes;
        int voterRank = rolloutStatus.voterRank(settings.rank(), settings.sidecarCount());
        double trialTryCount = trialOutcomes.tryCount(nowNs, routes.size());
        double stepNs =
                vote == RolloutVote.BACK
                        ? ROLLBACK_STAND_IN_DELAY_NS
                        : APPROVE_STAND_IN_DELAY_NS
                                * APPROVAL_OUTCOME_COUNT
                                / Math.max(APPROVAL_OUTCOME_COUNT, trialTryCount);
        if (vote == RolloutVote.BACK && rollout.control() != Settings.VoteControl.SINGLE) {
            double minStepNs =
                    SECOND_NS / (STAND_IN_CALL_SHARE * Math.max(1, rollout.votesPerSecond()));
            stepNs =
                    Math.min(
                            stepNs,
                            Math.max(
                                    minStepNs,
                                    stepNs
                                            * MAX_ROLLBACK_STAND_IN_STEPS
                                            / (settings.sidecarCount() - firstVoterCount)));
        }
        return (long) (Math.max(0, voterRank - firstVoterCount + 1) * stepNs);
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

    public Stats stats(long nowNs) {
        return new Stats(
                limiter.limit(),
                limiter.openTryCount(),
                firstTryQueue.size(),
                retryQueue.size(),
                limiter.latencyRatio(nowNs),
                readyPods.all().size(),
                leasedPods.all().size(),
                leasedPods.count(p -> isHealthy(nowNs, p)),
                leasedPods.count(p -> isInSlowStart(nowNs, p)),
                leasedPods.count(Policy::isUnreachable));
    }

    // ---- What is remembered over a restart.

    /**
     * What it learned, piece by piece, so that the caller may pause in between. What a fresh start
     * must earn anew is not among it: saved exposure, what cold pods were sent, rates, votes,
     * evidence on the trial.
     */
    public Iterator<LearnedState> exportLearned(long nowNs) {
        List<LearnedState> learned = new ArrayList<>();
        learned.add(
                new LearnedState.ConnectionStats(
                        refusedShare.snapshot(nowNs), unansweredShare.snapshot(nowNs)));
        routes.values().forEach(r -> learned.add(r.toLearned(nowNs, rolloutStatus.build())));
        for (int i = 0; i < detectors.length; i++) {
            learned.add(
                    detectors[i].toBaseline(
                            rolloutStatus.build(), routeNames.get(i / 2), i % 2 == 1));
        }
        Stream<LearnedState> podStats =
                List.copyOf(pods.values()).stream().map(p -> p.toLearned(nowNs));
        return Stream.concat(learned.stream(), Stream.concat(podStats, buildByKey.toLearned()))
                .iterator();
    }

    /** Takes in, after list and news and before the first req, what an earlier start gave out. */
    public void restoreLearned(long nowNs, LearnedState learned) {
        if (learned instanceof LearnedState.ConnectionStats stats) {
            refusedShare.restore(nowNs, stats.refused(), MAX_RESTORED_WEIGHT);
            unansweredShare.restore(nowNs, stats.unanswered(), MAX_RESTORED_WEIGHT);
        } else if (learned instanceof LearnedState.PodStats stats) {
            Pod pod = pods.get(stats.is().id());
            if (pod != null && pod.restore(nowNs, stats, MAX_RESTORED_WEIGHT, EJECTION_SCORE)) {
                // The first tries of all the sidecars that started together must not meet at a sick
                // pod.
                pod.ejectedUntilNs = nowNs + random.nextLong(BASE_EJECTION_NS << pod.failureScore);
            }
        } else if (learned instanceof LearnedState.RouteStats stats
                && routes.containsKey(stats.route())) {
            RouteState route = routes.get(stats.route());
            route.restore(
                    nowNs,
                    stats,
                    MAX_RESTORED_WEIGHT,
                    isComparableBuild(stats.build()) ? LATE_THRESHOLD_MEANS : 0);
        } else if (learned instanceof LearnedState.DetectorBaseline stats
                && routeNames.contains(stats.route())
                && isComparableBuild(stats.build())) {
            detectors[2 * routeNames.indexOf(stats.route()) + (stats.ofLate() ? 1 : 0)].restore(
                    stats, MAX_RESTORED_WEIGHT);
        } else if (learned instanceof LearnedState.KeyBuild stats && rollout.keysAreOneWay()) {
            buildByKey.recordAnswer(stats.key(), stats.build());
        }
    }

    /**
     * Whether what was learned under that newest build is about what the trial is held against now.
     */
    private boolean isComparableBuild(int build) {
        return rolloutStatus.build() == build
                || earlierPods.all().stream().anyMatch(p -> p.listEntry.build() == build);
    }

    public void onTimer(long nowNs, String token) {
        switch (token) {
            case "sample" -> {
                actions.scheduleTimer(nowNs + SECOND_NS, token);
                updateDetectors(nowNs);
                updateVote(nowNs);
            }
            case "tick" -> {
                actions.scheduleTimer(nowNs + TICK_NS, token);
                updatePodSets(nowNs);
                limiter.adjustLimit(nowNs, readyPods.all().size());
                openTryLateness.evaluate(nowNs, openReqs.values(), rolloutStatus);
                failOverAndHedge(nowNs);
                if (!watchOpen
                        && !watchPending
                        && watchFailureCount > 0
                        && nowNs >= watchRetryAtNs) {
                    watchPodList();
                }
            }
        }
        serveQueues(nowNs);
    }
}
