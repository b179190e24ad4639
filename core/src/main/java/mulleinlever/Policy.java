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
 * Makes every decision of one sidecar: which pod a req is sent to, when it is retried, shed or
 * failed, and how the sidecar votes on the newest build.
 *
 * <p>The event loop calls one method for each event, with the time in nanoseconds. The policy acts
 * only through its {@link PolicyActions}: it does no I/O, reads no clock and starts no thread, and
 * all its random numbers come from one seed. It is not thread-safe. docs/design.md explains the
 * mechanism and the conditions of each exception.
 */
public final class Policy {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long SECOND_NS = 1_000 * MILLISECOND_NS;

    /**
     * The number of deviations of the short-term above the long-term average from which a detector
     * is suspicious.
     */
    private static final double SUSPECT_DEVIATIONS = 2.5;

    /** The number of deviations from which a detector raises an alarm. */
    private static final double ALARM_DEVIATIONS = 4.5;

    /** The number of deviations below which an alarm ends. */
    private static final double ALARM_CLEAR_DEVIATIONS = 0.5;

    /** The minimum deviation that a detector assumes, as a share of tries. */
    private static final double MIN_DEVIATION = 0.02;

    /** The minimum number of outcomes of a build for a judgement on it. */
    private static final int MIN_OUTCOME_COUNT = 20;

    /** The number of sidecars that vote without delay where a single vote decides. */
    private static final int SINGLE_CONTROL_VOTER_COUNT = 3;

    /**
     * The weight of a sample in the long-term average: low enough that the first seconds of a trial
     * hardly move it, high enough that the average is learned early in a day.
     */
    private static final double LONG_TERM_WEIGHT = 0.02;

    /** The weight of a sample in the short-term average. */
    private static final double SHORT_TERM_WEIGHT = 0.5;

    /**
     * The half-life of the outcome counts behind a sample. A sample covers several seconds, so that
     * one second with little traffic raises no alarm.
     */
    private static final long SAMPLE_HALF_LIFE_NS = 10 * SECOND_NS;

    /** A try is late if it takes longer than this quantile of the try times of the baseline. */
    private static final double LATE_QUANTILE = 0.8;

    /** The late quantile in multiples of the mean try time, for exponentially distributed times. */
    private static final double LATE_THRESHOLD_MEANS = -Math.log(1 - LATE_QUANTILE);

    /** The minimum decayed number of outcomes for a sample of the long-term average. */
    private static final double MIN_BASELINE_OUTCOME_COUNT = 5;

    /**
     * The maximum share of pods that may be late through faults of their own. A higher share would
     * hide builds that slow down all pods.
     */
    private static final double MAX_FAULTY_POD_SHARE = 0.25;

    /**
     * The share of the longest warm-up time during which the outcome of a try reflects the slow
     * start of the pod and not its build.
     */
    private static final double UNJUDGED_SLOW_START_SHARE = 0.7;

    /**
     * The number of outcomes of warm pods that the last approval waits for. A higher number finds
     * milder faults and delays the release.
     */
    private static final int APPROVAL_OUTCOME_COUNT = 80;

    /**
     * The number of needed votes up to which each voter waits for the full number of outcomes.
     * Where more sidecars have to agree, they see that many outcomes together, and each of them
     * needs fewer.
     */
    private static final int APPROVAL_OUTCOME_VOTERS = 2;

    /** How long the last approval waits for these outcomes after the bake time. */
    private static final long MAX_APPROVAL_DELAY_NS = 10 * SECOND_NS;

    /** The decayed number of complaints up to which they may be mistaken and raise no alarm. */
    private static final double MAX_IGNORED_COMPLAINTS = 2.5;

    /**
     * The half-life of complaint counts. Complaints are rare and arrive late, so they count for
     * longer than outcomes.
     */
    private static final long COMPLAINT_HALF_LIFE_NS = 30 * SECOND_NS;

    /**
     * How long a later-ranked sidecar waits for each voter before it, for an approval or a hold.
     * The wait is longer than for a rollback, since the harm of a bad build costs more than the
     * delay of a good one.
     */
    private static final long APPROVE_STAND_IN_DELAY_NS = 2 * SECOND_NS;

    /** How long a later-ranked sidecar waits for each voter before it, for a rollback. */
    private static final long ROLLBACK_STAND_IN_DELAY_NS = SECOND_NS / 2;

    /**
     * The maximum delay of the last stand-in for a rollback that needs several votes, in multiples
     * of {@link #ROLLBACK_STAND_IN_DELAY_NS}, where the call rate of the platform allows it.
     */
    private static final double MAX_ROLLBACK_STAND_IN_STEPS = 2;

    /**
     * The share for stand-ins of the calls per second that the platform accepts from all sidecars.
     */
    private static final double STAND_IN_CALL_SHARE = 0.5;

    /** The half-life of recent statistics. */
    private static final long STATS_HALF_LIFE_NS = 5 * SECOND_NS;

    /**
     * The assumed mean try time of a route before any try has ended, as a share of its latency
     * objective.
     */
    private static final double INITIAL_TRY_TIME_SHARE = 0.25;

    /**
     * The shortest ejection of a failing pod, and the first pause between probes of an unreachable
     * zone.
     */
    private static final long BASE_EJECTION_NS = 500 * MILLISECOND_NS;

    /**
     * The failure score from which a pod is ejected. A failed try adds 2, a successful try
     * subtracts 1.
     */
    private static final int EJECTION_SCORE = 3;

    /** The maximum failure score, which limits the ejection to 16 times the shortest. */
    private static final int MAX_FAILURE_SCORE = 6;

    /** The maximum number of random draws for a pod before all pods are tested in order. */
    private static final int MAX_RANDOM_DRAWS = 16;

    /**
     * The number of errors after which a req is not retried. A req that this many pods answer with
     * an error is likely to fail at others too, and its tries would take capacity from other reqs.
     */
    private static final int MAX_ERRORS_PER_REQ = 2;

    /** The share of new connections refused above which only connected pods are used. */
    private static final double MAX_REFUSED_SHARE = 0.25;

    /**
     * The share of healthy pods among the reachable ones below which the health of pods is ignored.
     */
    private static final double PANIC_HEALTHY_SHARE = 0.5;

    /**
     * A zone is unreachable after this many of its pods gave no answer and none of its pods
     * answered in between.
     */
    private static final int UNREACHABLE_ZONE_POD_COUNT = 3;

    /**
     * The maximum number of times that the pause between tries into an unreachable zone doubles.
     */
    private static final int ZONE_PROBE_DOUBLINGS = 3;

    /**
     * How long a pod that is gone is kept: long enough for every complaint about it. Without a
     * limit, the pods of earlier releases would accumulate.
     */
    private static final long GONE_POD_RETENTION_NS = 60 * SECOND_NS;

    /**
     * A pod that owes answers is unresponsive after this many mean try times of the slowest route
     * without an answer.
     */
    private static final double UNRESPONSIVE_MEANS = 4;

    /**
     * The maximum wait for a first try, as a share of the latency objective. After a longer wait
     * the answer of a loaded pod would be late.
     */
    private static final double MAX_QUEUE_WAIT_SHARE = 0.35;

    /**
     * The maximum factor by which a req is more likely to be shed for having a lower value per try
     * time than the mean of the routes.
     */
    private static final double MAX_SHED_FACTOR = 4;

    /** The factor on the load of pods in other zones, where cross-zone traffic has a price. */
    private static final double CROSS_ZONE_LOAD_FACTOR = 1.5;

    /**
     * The share of the exposure cap that one-way keys may use. The rest is for the later reqs of
     * keys that are bound to the build already.
     */
    private static final double MAX_ONE_WAY_KEY_SHARE = 0.7;

    /**
     * The share of reqs that stays with the earlier build for comparison. A smaller share delays
     * verdicts.
     */
    private static final double EARLIER_BUILD_SHARE = 0.08;

    /**
     * The share of reqs for a build on trial that is under suspicion. A smaller share delays
     * verdicts.
     */
    private static final double SUSPECT_TRIAL_SHARE = 0.15;

    /** Tries are hedged while at least this share of them goes unanswered. */
    private static final double HEDGE_UNANSWERED_SHARE = 0.02;

    /** The minimum time from a try to its hedge, in mean try times. */
    private static final double HEDGE_DELAY_MEANS = 1.5;

    /** The maximum time from a hedge to the latency objective or deadline, in mean try times. */
    private static final double HEDGE_REMAINING_MEANS = 2;

    /** The period of the timer that updates the pod sets and the concurrency limit. */
    private static final long TICK_NS = 50 * MILLISECOND_NS;

    /** How long the process may be suspended between reading its clock and writing. */
    private static final long MAX_SUSPENSION_NS = 150 * MILLISECOND_NS;

    /**
     * The maximum weight of restored statistics, in outcomes, so that a few fresh outcomes can
     * correct them.
     */
    private static final double MAX_RESTORED_WEIGHT = 4;

    /** The state of a detector, in order of severity. The names are logged. */
    enum DetectorState {
        NORMAL,
        SUSPECT,
        ALARM
    }

    /**
     * Detects a rise in the share of failed or of late tries of the build on trial, for one route
     * or for all routes together.
     */
    static final class DegradationDetector extends MovingAverages {
        DetectorState state = DetectorState.NORMAL;

        DegradationDetector(double mean, double samples) {
            super(mean, samples);
        }

        /**
         * Adds a sample to the short-term average and updates the state.
         *
         * @param sample the share of bad outcomes, from 0 to 1
         * @param outcomeCount the number of outcomes that the sample stands for; fewer outcomes
         *     widen the deviation
         * @param conclusive whether the sample may raise an alarm; otherwise the state is at most
         *     suspect
         */
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

    /**
     * The name of the route of each slot of {@link BuildOutcomes}; the last is empty, for all
     * routes together.
     */
    private final List<String> routeNames = new ArrayList<>();

    private final Map<String, Pod> pods = new LinkedHashMap<>();
    private final Map<String, ZoneReachability> zones = new HashMap<>();
    private final PodListLease lease;
    private final PodStartEstimator startEstimator = new PodStartEstimator();

    /**
     * The ready pods on the list. This set and the ones below are updated with the list and at each
     * tick, not by req, so that the cost of a req does not grow with the fleet.
     */
    private PodSet readyPods = new PodSet(List.of(), "");

    /** The ready pods that the lease allows: all of them while discovery confirms the list. */
    private PodSet leasedPods = readyPods;

    /** The leased pods of builds on trial. */
    private PodSet trialPods = leasedPods;

    /** The leased pods of builds that are not on trial. */
    private PodSet earlierPods = leasedPods;

    /**
     * The maximum number of earlier pods since the current trial has had pods; 0 without a trial.
     */
    private int earlierPodCount;

    /** The number of healthy warm pods on trial over the number of earlier pods, at most 1. */
    private double trialCapacityShare;

    /** Until then late tries are no evidence about the build, since many pods were unreachable. */
    private long latenessUnreliableUntilNs;

    private final OpenTryLatenessDetector openTryLateness =
            new OpenTryLatenessDetector(STATS_HALF_LIFE_NS);

    /** How long a pod may owe an answer before it is unresponsive. */
    private double unresponsiveAfterNs;

    /** Whether so few pods are healthy that all are used. */
    private boolean panicMode;

    /** Whether so many new connections are refused that only connected pods are used. */
    private boolean connectionsScarce;

    private final DecayingMean unansweredShare = new DecayingMean(4 * STATS_HALF_LIFE_NS);
    private final DecayingMean refusedShare = new DecayingMean(2 * STATS_HALF_LIFE_NS);

    /** The reqs that lack an answer or have an open try, by id, in the order of their arrival. */
    private final Map<String, ReqState> openReqs = new LinkedHashMap<>();

    private final ExecutionHistory executionHistory;

    /** The number of reqs that were shed because nothing more could be remembered of them. */
    private long shedWithoutPlaceCount;

    private final ArrayDeque<ReqState> firstTryQueue = new ArrayDeque<>();
    private final ArrayDeque<ReqState> retryQueue = new ArrayDeque<>();
    private final ConcurrencyLimiter limiter;
    private final DecayingSum arrivals = new DecayingSum(STATS_HALF_LIFE_NS);
    private final DecayingSum completions = new DecayingSum(STATS_HALF_LIFE_NS);

    private boolean watchOpen;

    /**
     * Whether a watch was requested from discovery and has neither opened nor failed yet. A second
     * request would lose the place of the first in the queue of discovery.
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

    /** The total outcome count of the trial when the stage began. */
    private double outcomeCountAtStageStart;

    private BuildOutcomes earlierOutcomes;

    /** The outcomes of the newest build, also after its release. */
    private BuildOutcomes trialOutcomes;

    /**
     * Two detectors for each slot of {@link BuildOutcomes}, in its order: that of failures and
     * wrong answers, then that of lateness.
     */
    private final DegradationDetector[] detectors;

    /** The most severe state of all detectors. */
    private DetectorState detectorState = DetectorState.NORMAL;

    private final VoteTracker voteTracker = new VoteTracker();

    /** Creates a policy and schedules its first timers. */
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
        this.executionHistory = ExecutionHistory.of(settings, seed);
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
        // The late threshold is a quantile, so the late share of the earlier build is known before
        // its first outcome.
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

    // ---- Pod list and discovery

    /** Handles a complete pod list. Pods that are not on it are gone. */
    public void onPodListReplaced(long nowNs, List<PodEntry> entries) {
        Map<String, Pod> missing = new HashMap<>(pods);
        entries.forEach(e -> missing.remove(e.id()));
        missing.values().forEach(p -> p.listEntry = p.listEntry.withStateGone());
        onPodListUpdated(nowNs, entries);
    }

    /** Handles new and changed entries of the pod list, which also confirms the list. */
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
            // Until the first rollout status, all builds but the lowest count as on trial.
            int lowestBuild =
                    pods.values().stream().mapToInt(pod -> pod.listEntry.build()).min().orElse(0);
            rolloutStatus = new RolloutStatus(lowestBuild, 0, RolloutStatus.Phase.RELEASED, 1, 0);
        }
        updatePodSets(nowNs);
        serveQueues(nowNs);
    }

    /** Handles the confirmation that a watch is open and the list has not changed. */
    public void onPodListConfirmed(long nowNs) {
        watchOpen = true;
        watchPending = false;
        watchFailureCount = 0;
        lease.onConfirmed(nowNs);
    }

    /**
     * Handles the loss of the confirmation of the list. Until the list is confirmed again, its pods
     * may be used for a limited time.
     *
     * @param sinceNs the time since which discovery has not confirmed the list
     */
    public void onPodListUnconfirmed(long sinceNs) {
        lease.onUnconfirmedSince(sinceNs);
    }

    /** Handles a list that discovery has not confirmed and that may be of any age. */
    public void onPodListNeverConfirmed() {
        lease.onNeverConfirmed();
    }

    /**
     * Handles the end of a call to discovery.
     *
     * @param reached whether the call reached discovery
     */
    public void onDiscoveryCallEnded(long nowNs, boolean reached) {
        lease.onDiscoveryCall(reached, nowNs);
    }

    /** Handles the switch to another discovery, from which a watch has been requested. */
    public void onDiscoverySwitched() {
        watchOpen = false;
        watchPending = true;
        lease.onDiscoverySwitched();
    }

    /** Handles a step of the wall clock by which the list states when pods started. */
    public void onWallClockStepped() {
        startEstimator.onWallClockStepped();
    }

    /**
     * Removes pods that are long gone, and updates the pod sets and all that is derived from them.
     */
    private void updatePodSets(long nowNs) {
        pods.values().removeIf(p -> p.idleSinceGoneNs(nowNs) > GONE_POD_RETENTION_NS);
        readyPods =
                new PodSet(pods.values().stream().filter(Pod::isReady).toList(), settings.zone());
        leasedPods = readyPods.filter(p -> lease.allows(nowNs, p));
        trialPods = leasedPods.filter(p -> rolloutStatus.isBuildOnTrial(p.listEntry.build()));
        earlierPods = leasedPods.filter(p -> !rolloutStatus.isBuildOnTrial(p.listEntry.build()));
        // Creates the token buckets of builds that are new on the list; they fill from now on.
        trialPods.all().forEach(p -> exposureBudget.tokensOf(p.listEntry.build()));
        earlierPodCount =
                trialPods.all().isEmpty() ? 0 : Math.max(earlierPodCount, earlierPods.all().size());
        double slowestMeanNs =
                routes.values().stream().mapToDouble(r -> r.meanTryTimeNs(nowNs)).max().orElse(0);
        unresponsiveAfterNs = UNRESPONSIVE_MEANS * slowestMeanNs;
        limiter.initializeLimit(nowNs, readyPods.all().size());
        // Pods that accept no more connections look like dead ones; in both cases the pods that
        // answered lately can serve.
        connectionsScarce =
                refusedShare.meanAt(nowNs, 0, 4) > MAX_REFUSED_SHARE
                        && leasedPods.count(p -> isConnected(nowNs, p)) > limiter.openTryCount();
        // Unreachable pods are left out: sending to them would not relieve the reachable ones.
        long reachableCount = leasedPods.count(p -> !isUnreachable(p));
        panicMode =
                leasedPods.count(p -> isHealthy(nowNs, p)) < PANIC_HEALTHY_SHARE * reachableCount;
        trialCapacityShare =
                Math.min(
                        1,
                        trialPods.count(p -> !isInSlowStart(nowNs, p) && isHealthy(nowNs, p))
                                / Math.max(1.0, earlierPodCount));
        // The loss of many pods makes the other pods late. This has to fade before lateness is
        // evidence about a build.
        latenessUnreliableUntilNs =
                reachableCount < (1 - MAX_FAULTY_POD_SHARE) * leasedPods.all().size()
                        ? nowNs + 2 * SAMPLE_HALF_LIFE_NS
                        : latenessUnreliableUntilNs;
    }

    /**
     * Handles the failure of a request for a watch. It does not show whether an earlier watch is
     * still open, so a new one is requested, with exponential backoff and jitter.
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

    // ---- Reqs

    /**
     * Handles the arrival of a req: sends its first try, queues it, sheds it or fails it. The route
     * must be one of the settings.
     */
    public void onReq(long nowNs, Req req) {
        RouteState route = routes.get(req.route());
        boolean needsPlace = ExecutionHistory.needsPlace(route.settings);
        ExecutionHistory.Place place = needsPlace ? executionHistory.take(nowNs, req) : null;
        ReqState reqState = new ReqState(req, route, nowNs, place);
        openReqs.put(req.id(), reqState);
        if (needsPlace && place == null) {
            shedWithoutPlaceCount++;
            shedOrFail(nowNs, reqState);
            return;
        }
        arrivals.add(nowNs, 1);
        limiter.recordDemand(
                nowNs,
                reqState.route.meanTryTimeNs(nowNs),
                reqState.route.settings.latencyObjectiveNs());
        exposureBudget.accrue(rolloutStatus, reqState.route.index);
        if (reqState.earlierTry != null) {
            sendAgain(nowNs, reqState);
        } else if (random.nextDouble() < shedProbability(nowNs, reqState)) {
            shedOrFail(nowNs, reqState);
        } else {
            sendOrEnqueue(nowNs, reqState);
        }
    }

    /**
     * Answers an arriving req without sending it: with a shed reply, unless an earlier one with its
     * id may have run. The route must be one of the settings.
     */
    public void rejectReq(long nowNs, Req req) {
        RouteState route = routes.get(req.route());
        ExecutionHistory.Place place =
                ExecutionHistory.needsPlace(route.settings)
                        ? executionHistory.takeEarlier(nowNs, req)
                        : null;
        ReqState reqState = new ReqState(req, route, nowNs, place);
        openReqs.put(req.id(), reqState);
        shedOrFail(nowNs, reqState);
    }

    /**
     * Sends a req that may have run under the same id before, where its first run is recognised;
     * else fails it.
     */
    private void sendAgain(long nowNs, ReqState reqState) {
        if (canRetry(nowNs, reqState)) {
            sendOrEnqueue(nowNs, reqState);
        } else {
            shedOrFail(nowNs, reqState);
        }
    }

    /**
     * Limits what is remembered by names that clients choose; called before the first req.
     *
     * @param maxHistoryBytes the memory, in bytes, in which ended reqs are remembered for the case
     *     that they come again
     * @param maxKeys the number of one-way keys
     */
    public void limitMemory(long maxHistoryBytes, int maxKeys) {
        executionHistory.limitMemory(maxHistoryBytes);
        buildByKey.limitKeys(maxKeys);
    }

    /**
     * Returns the probability that an arriving req is shed; 0 or less for never. Reqs are shed at
     * random, those of lower value more often; a bound on the queue would turn away valuable reqs
     * just as often.
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

    /**
     * Sends the next try of a req, or queues the req, or answers it if its time in the queue is
     * over.
     */
    private void sendOrEnqueue(long nowNs, ReqState reqState) {
        if (nowNs >= queueDeadlineNs(nowNs, reqState) && !sendTry(nowNs, reqState)) {
            shedOrFail(nowNs, reqState);
        } else if (nowNs < queueDeadlineNs(nowNs, reqState) && !sendTry(nowNs, reqState)) {
            (reqState.isUnsent() ? firstTryQueue : retryQueue).add(reqState);
        }
    }

    /**
     * Returns the time from which a req is no longer queued: its answer would come after the
     * latency objective, or a try would be too late for the deadline or the dedup window.
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

    /**
     * Sends the tries of queued reqs in order, and answers the reqs whose time in the queue is
     * over.
     */
    private void serveQueue(long nowNs, ArrayDeque<ReqState> queue) {
        // Where one first try finds no pod, the next first try of the same route finds none either.
        // Skipping it bounds the cost of a long queue.
        boolean[] blockedRoutes = new boolean[routes.size()];
        for (ReqState reqState : List.copyOf(queue)) {
            if (nowNs >= queueDeadlineNs(nowNs, reqState) && !reqState.answered) {
                shedOrFail(nowNs, reqState);
            }
            if (reqState.answered
                    || !blockedRoutes[reqState.route.index] && sendTry(nowNs, reqState)) {
                queue.remove(reqState);
            } else {
                blockedRoutes[reqState.route.index] |= reqState.isUnsent();
            }
        }
    }

    /**
     * Sends the next try of a req. Returns false if the concurrency limit is reached or no pod
     * fits.
     */
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
        // A try has no timeout of its own: a busy pod that misses one has its work done twice, and
        // unresponsive pods are detected sooner without.
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

    /** Handles the start of a streamed answer, after which the req is not retried. */
    public void onStreamStarted(long nowNs, String reqId) {
        ReqState reqState = openReqs.get(reqId);
        if (reqState != null) {
            reqState.streaming = true;
        }
    }

    /**
     * Handles the end of a try. Unknown reqs and tries are ignored.
     *
     * @param tryNumber the number of the try within its req, from 0
     * @param durationNs how long the try took
     * @param complete whether the client has received a complete answer
     */
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
        Try sentTry = reqState.tries.get(tryNumber);
        sentTry.pod().openTryCount--;
        reqState.endTry(tryNumber, outcome);
        limiter.onTryEnded();
        if (outcome != TryOutcome.MOOT) {
            updateStats(nowNs, reqState.route, sentTry, outcome, durationNs);
        }
        if (outcome == TryOutcome.OK) {
            lease.onServed(sentTry.pod(), sentTry.sentNs());
        } else if (outcome == TryOutcome.CONNECT_FAILED || outcome == TryOutcome.RESET) {
            lease.onConnectionFailed(sentTry.pod(), nowNs);
        }
        // A try that was cancelled after the late threshold is evidence of lateness. Otherwise the
        // failover of its reqs would hide a slow build.
        if (outcome != TryOutcome.MOOT
                && (outcome != TryOutcome.CANCELLED
                        || durationNs > reqState.route.lateThresholdNs)) {
            recordEvidence(nowNs, reqState.route, sentTry, outcome, durationNs);
        }
        if (outcome == TryOutcome.OK && rollout.keysAreOneWay() && reqState.req.key() >= 0) {
            buildByKey.recordAnswer(reqState.req.key(), sentTry.build());
        }
        reqState.answered |= complete || reqState.streaming;
        if (!reqState.answered && reqState.openTryNumbers.isEmpty() && canRetry(nowNs, reqState)) {
            sendOrEnqueue(nowNs, reqState);
        } else if (!reqState.answered && reqState.openTryNumbers.isEmpty()) {
            shedOrFail(nowNs, reqState);
        }
        finishIfAnswered(nowNs, reqState);
        serveQueues(nowNs);
    }

    /** Returns whether another try of a req is possible and allowed. */
    private boolean canRetry(long nowNs, ReqState reqState) {
        return nowNs < queueDeadlineNs(nowNs, reqState)
                && reqState.tries.size() < settings.policyLimits().maxTries()
                && reqState.errorCount < MAX_ERRORS_PER_REQ
                && reqState.isRetryAllowed();
    }

    /**
     * Answers a req at once: with a shed reply if a retry by the client is harmless, or else with
     * an error.
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
        finishIfAnswered(nowNs, reqState);
    }

    /** Handles the loss of the client of a req. Unknown reqs are ignored. */
    public void onClientDisconnected(long nowNs, String reqId) {
        ReqState reqState = openReqs.get(reqId);
        if (reqState != null) {
            reqState.answered = true;
            finishIfAnswered(nowNs, reqState);
        }
    }

    /** Answers all reqs that have no answer, since the process ends before they would. */
    public void answerOpenReqs(long nowNs) {
        for (ReqState reqState : List.copyOf(openReqs.values())) {
            if (!reqState.answered && !reqState.streaming) {
                shedOrFail(nowNs, reqState);
            }
        }
    }

    /**
     * Handles the end of a client's connection, after the loss of the client of each of its reqs.
     */
    public void onClientConnectionClosed(long clientId) {
        executionHistory.recordConnectionClosed(clientId);
    }

    /**
     * Cancels the open tries of an answered req where that is allowed, and removes the req once no
     * try is open.
     */
    private void finishIfAnswered(long nowNs, ReqState reqState) {
        if (reqState.answered && settings.policyLimits().canCancel() && !reqState.streaming) {
            reqState.openTryNumbers.stream()
                    .forEach(tryNumber -> actions.cancelTry(reqState.req.id(), tryNumber));
        }
        if (reqState.answered && reqState.openTryNumbers.isEmpty()) {
            openReqs.remove(reqState.req.id());
            if (reqState.place != null) {
                executionHistory.recordEnded(nowNs, reqState);
                reqState.place = null;
            }
        }
    }

    /**
     * Picks a pod for the next try of a req, or returns null. It first draws between the pods on
     * trial and the earlier pods. If none of these fits, it considers all pods, and then also pods
     * that {@link #isPreferred} excludes.
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
     * Returns the share of reqs that is sent to builds on trial. As far as the exposure rules
     * allow, the pods on trial take the load that they will have after the release: this tests the
     * build under that load, and more reqs benefit from a good build early. A build under suspicion
     * gets the share that a verdict needs. The share follows the number of warm and healthy pods on
     * trial, because the rest of them would otherwise take the load of all and look slow. Where
     * keys are one-way, the share of keys is limited instead.
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

    /**
     * Returns the less loaded of two random pods that a req may be sent to, the first of them from
     * the local zone if possible; null if there is none.
     */
    private Pod pickByTwoChoices(long nowNs, ReqState reqState, PodSet candidates) {
        Predicate<Pod> isCandidate =
                p -> isPreferred(nowNs, reqState, p) && isAllowed(nowNs, reqState, p);
        Pod first =
                PodSet.pickRandom(candidates.localZone(), random, MAX_RANDOM_DRAWS, isCandidate);
        Pod second = PodSet.pickRandom(candidates.all(), random, MAX_RANDOM_DRAWS, isCandidate);
        return first == null
                        || second != null
                                && weightedLoad(nowNs, second) < weightedLoad(nowNs, first)
                ? second
                : first;
    }

    /**
     * Returns whether a pod is a good choice for a req. If most pods fail, health is ignored:
     * without the ejected pods the few others would be overloaded, and the ejected are no worse
     * than the rest.
     */
    private boolean isPreferred(long nowNs, ReqState reqState, Pod pod) {
        return (panicMode || isHealthy(nowNs, pod))
                && (!connectionsScarce || isConnected(nowNs, pod))
                && reqState.tries.stream().noneMatch(t -> t.pod() == pod);
    }

    /** Returns whether an open connection to a pod is to be expected. */
    private boolean isConnected(long nowNs, Pod pod) {
        return pod.openTryCount > 0
                || nowNs < pod.lastAnswerNs + settings.policyLimits().connectionIdleTimeoutNs();
    }

    /**
     * Returns the load of a pod with one more try, weighted by zone, latency and weight of the pod.
     */
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

    /** Returns whether the rules allow the next try of a req at a pod. */
    private boolean isAllowed(long nowNs, ReqState reqState, Pod pod) {
        return pod.isReady()
                && lease.allows(nowNs, pod)
                && reqState.canSendTo(pod.listEntry)
                && isExposureAllowed(nowNs, reqState, pod)
                && hasSlowStartToken(nowNs, pod);
    }

    /** Adds the end of a try to the statistics for routing, health and the concurrency limit. */
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
            // A success subtracts less than a failure adds, so that one success does not clear a
            // pod that fails half of its tries.
            pod.failureScore = Math.max(0, pod.failureScore - 1);
        } else if (outcome != TryOutcome.FULL) {
            pod.failureScore = Math.min(MAX_FAILURE_SCORE, pod.failureScore + 2);
            pod.ejectedUntilNs = nowNs + (BASE_EJECTION_NS << pod.failureScore - 2);
        }
    }

    /**
     * Returns whether a pod is neither ejected nor unresponsive nor unreachable. After the ejection
     * of a failing pod, one try at a time shows whether it has recovered; an unreachable zone is
     * probed in intervals.
     */
    private boolean isHealthy(long nowNs, Pod pod) {
        boolean admitted =
                pod.failureScore < EJECTION_SCORE
                        || nowNs >= pod.ejectedUntilNs && pod.openTryCount == 0;
        return admitted
                && !pod.isUnresponsive(nowNs, unresponsiveAfterNs)
                && (!isUnreachable(pod) || pod.zoneReachability.canProbe(nowNs));
    }

    /**
     * Returns whether the zone of a pod is taken to be lost or cut off. The load is spread over
     * many sidecars and pods, so that detecting each pod by its own tries takes far longer than the
     * loss may last. Therefore several pods of a zone that gave no answer in a row stand for all of
     * its pods, and a try from time to time shows whether the zone is back. Pods that have started
     * since are not affected.
     */
    private static boolean isUnreachable(Pod pod) {
        return pod.zoneReachability.isUnreachable(pod.startedNs);
    }

    /**
     * Cancels tries at unresponsive pods, so that their reqs go elsewhere, and hedges tries whose
     * answers may be lost.
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
     * Returns when to hedge the latest try of a req, just in time for its latency objective or
     * deadline; {@code Long.MAX_VALUE} if it is not hedged. Hedges cover lost answers and pods that
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
     * Returns whether a pod may take another try during its slow start. Each sidecar limits itself
     * to its even share of the load, reduced to the present capacity of the pod; all sidecars
     * together would otherwise overload it. The tokens start at a random value below 1, because
     * hundreds of sidecars learn of a new pod at the same time.
     */
    private boolean hasSlowStartToken(long nowNs, Pod pod) {
        if (!isInSlowStart(nowNs, pod)) {
            return true;
        }
        double elapsedShare =
                Math.max(0, nowNs - pod.startedNs) / (double) settings.contract().slowStartNs();
        double capacityShare =
                settings.contract().initialCapacityShare()
                        + (1 - settings.contract().initialCapacityShare()) * elapsedShare;
        // The reqs per second that all pods complete for this sidecar or, before the first
        // completion, the reqs that arrive.
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

    /**
     * Returns whether the exposure rules allow a try of a req at a pod: one-way keys do not go back
     * to an older build, shielded stages take idempotent routes only, and the exposure budget of a
     * build on trial has a token.
     */
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
     * Returns whether a one-way key may go to a build on trial. The trial takes only a share of the
     * keys, so that the budget covers their later reqs too.
     */
    private boolean isOneWayKeyAllowed(long nowNs, ReqState reqState, int build) {
        double keyShare =
                Math.min(
                        MAX_ONE_WAY_KEY_SHARE * rolloutStatus.capOf(build, rollout),
                        trialCapacityShare);
        return buildByKey.newestBuildOf(reqState.req.key()) == build
                || new SplittableRandom(reqState.req.key()).nextDouble() < keyShare;
    }

    // ---- Evidence on builds

    /**
     * Records the outcome of a try as evidence on its build, unless the pod was not warm when the
     * try was sent, or is unreachable.
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
     * Adds try times of the build that is not on trial to the baseline of a route and updates its
     * late threshold. A trial pauses this: the times of a build that slows down its neighbours
     * would raise the threshold and hide the fault.
     *
     * @param weight the number of tries that the time stands for
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
     * Handles the platform's tally of the tries of all sidecars, which allows a verdict where one
     * sidecar sees too few tries. The try times are not used if pods of the build may have been in
     * their slow start; otherwise the late share is estimated from the mean, for exponentially
     * distributed times. Tallies of unknown routes and builds are ignored.
     *
     * @param tryCount the number of tries, including failed ones
     * @param meanNs the mean try time
     * @param ageNs the time since the end of the counted interval
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

    /** Returns the outcomes that a build counts towards. */
    private BuildOutcomes outcomesOf(int build) {
        return build == rolloutStatus.build() ? trialOutcomes : earlierOutcomes;
    }

    /**
     * Returns the sample of a detector: the share of bad outcomes on trial, less the shift of the
     * earlier build's share from its long-term average. A burst or a lost zone shifts both builds
     * and is not the fault of the trial.
     *
     * <p>For lateness over all routes, the sample is also raised by lateness of the earlier build
     * and of the median pod: if more pods are late than the minority that may hang, be slow or
     * pause by faults of their own, the trial slows down all pods. This does not hold while so many
     * pods are unreachable that the rest are late for that reason.
     */
    private double detectorSample(
            long nowNs, int slot, boolean isLateness, DegradationDetector detector) {
        double trialBadShare = badShare(nowNs, trialOutcomes, slot, isLateness);
        boolean hasReference =
                earlierOutcomes.totalOutcomeCount(slot, isLateness) >= MIN_OUTCOME_COUNT;
        double earlierShift =
                hasReference
                        ? badShare(nowNs, earlierOutcomes, slot, isLateness) - detector.longTermMean
                        : 0;
        double excess = Math.max(0, Math.min(1, trialBadShare - Math.max(0, earlierShift)));
        if (!isLateness
                || slot < routes.size()
                || !hasReference
                || nowNs < latenessUnreliableUntilNs) {
            return excess;
        }
        return Math.max(
                excess,
                Math.max(
                        medianPodLateShare(nowNs),
                        (earlierOutcomes.lateShare(nowNs, slot) - MAX_FAULTY_POD_SHARE)
                                / (1 - MAX_FAULTY_POD_SHARE)));
    }

    /**
     * Returns the late share of the median pod, which a minority of pods cannot shift at all. It is
     * significant where each pod gets tries often.
     */
    private double medianPodLateShare(long nowNs) {
        double[] lateShares =
                leasedPods.all().stream()
                        .filter(p -> !isInSlowStart(nowNs, p))
                        .mapToDouble(p -> p.lateShare.meanAt(nowNs, 1 - LATE_QUANTILE, 2))
                        .sorted()
                        .toArray();
        return lateShares.length == 0 ? 0 : lateShares[(lateShares.length - 1) / 2];
    }

    /**
     * Handles a complaint: a client reported a wrong answer of a pod. Unknown pods and routes are
     * ignored.
     */
    public void onComplaint(long nowNs, String podId, String routeName) {
        Pod pod = pods.get(podId);
        RouteState route = routes.get(routeName);
        if (pod != null && route != null && pod.listEntry.build() <= rolloutStatus.build()) {
            outcomesOf(pod.listEntry.build()).recordComplaint(nowNs, route.index);
        }
    }

    /** Returns the share of late outcomes, or of failed and wrong ones, from 0 to 1. */
    private double badShare(long nowNs, BuildOutcomes outcomes, int slot, boolean isLateness) {
        if (isLateness) {
            return outcomes.lateShare(nowNs, slot);
        }
        // After a release there is no earlier build to compare with, and failures may have other
        // causes than the build.
        double failedShare =
                outcomes == earlierOutcomes || rolloutStatus.isOnTrial()
                        ? outcomes.failedShare(nowNs, slot)
                        : 0;
        return Math.min(1, failedShare + estimatedWrongShare(nowNs, outcomes, slot));
    }

    /**
     * Returns the estimated share of wrong answers. Each complaint stands for the wrong answers
     * that were not reported as well.
     */
    private double estimatedWrongShare(long nowNs, BuildOutcomes outcomes, int slot) {
        double complaintCount = outcomes.complaintCount(nowNs, slot);
        return complaintCount == 0
                ? 0
                : complaintCount
                        / rollout.complaintReportRate()
                        / Math.max(1, outcomes.tryCount(nowNs, slot));
    }

    /** Adds a sample to each detector, and logs a change of the overall state. */
    private void updateDetectors(long nowNs) {
        DetectorState worstState = DetectorState.NORMAL;
        String cause = "";
        // The baseline does not learn during a trial: below the minimum number of outcomes every
        // trial looks normal, and a build that slows down its neighbours would raise the baseline.
        // It does not learn from a released build either, whose faults would become its own
        // baseline, unless no outcome of an earlier build is known.
        BuildOutcomes baselineOutcomes =
                rolloutStatus.isReleased()
                                && earlierOutcomes.totalOutcomeCount(routes.size(), true) == 0
                        ? trialOutcomes
                        : earlierOutcomes;
        boolean canLearn =
                detectorState == DetectorState.NORMAL
                        && (baselineOutcomes == trialOutcomes
                                || !rolloutStatus.isOnTrial() && !rolloutStatus.isReleased());
        for (int i = 0; i < detectors.length; i++) {
            DegradationDetector detector = detectors[i];
            int slot = i / 2;
            boolean isLateness = i % 2 == 1;
            if (canLearn
                    && baselineOutcomes.outcomeCount(nowNs, slot, isLateness)
                            >= MIN_BASELINE_OUTCOME_COUNT) {
                detector.updateLongTerm(
                        badShare(nowNs, baselineOutcomes, slot, isLateness), LONG_TERM_WEIGHT);
            }
            double trialCount = trialOutcomes.outcomeCount(nowNs, slot, isLateness);
            double earlierCount = earlierOutcomes.outcomeCount(nowNs, slot, isLateness);
            boolean hasEnoughOutcomes =
                    trialOutcomes.totalOutcomeCount(slot, isLateness) >= MIN_OUTCOME_COUNT
                            && trialCount >= 1
                            && earlierCount >= 1;
            if (hasEnoughOutcomes && (!isLateness || rolloutStatus.isOnTrial())) {
                boolean conclusive =
                        isLateness
                                ? nowNs >= latenessUnreliableUntilNs
                                : trialOutcomes.complaintCount(nowNs, slot) > MAX_IGNORED_COMPLAINTS
                                        || trialOutcomes.failedShare(nowNs, slot)
                                                >= estimatedWrongShare(nowNs, trialOutcomes, slot);
                // The number of earlier outcomes is limited too, which widens the deviation.
                detector.evaluate(
                        detectorSample(nowNs, slot, isLateness, detector),
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

    // ---- Rollout status and votes

    /** Handles the rollout status of the newest build, and votes. */
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
     * Handles the answer to a vote. A vote without a positive answer may have been counted all the
     * same; it is cast again after a pause with jitter.
     *
     * @param counted whether the platform has counted the vote
     */
    public void onVoteAnswered(long nowNs, boolean counted) {
        voteTracker.onAnswer(
                counted,
                rollout.voteLifetimeNs(),
                nowNs + SECOND_NS / 2 + random.nextLong(SECOND_NS));
    }

    /** Returns the vote that the evidence calls for. */
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
        // The last approval removes the pods of the earlier build, so it waits for outcomes of the
        // build under the full load.
        boolean approvalReady =
                rolloutStatus.stage() < rollout.stageShares().size() - 1
                        || stageAgeNs > rollout.bakeNs() + MAX_APPROVAL_DELAY_NS
                        || trialOutcomes.totalOutcomeCount(routes.size(), true)
                                >= outcomeCountAtStageStart + requiredOutcomeCount();
        return detectorState == DetectorState.NORMAL
                        && stageAgeNs >= rollout.bakeNs()
                        && approvalReady
                ? RolloutVote.ON
                : RolloutVote.NONE;
    }

    /** Returns the number of outcomes in the last stage that an approval by this sidecar needs. */
    private double requiredOutcomeCount() {
        return Math.max(
                MIN_OUTCOME_COUNT,
                APPROVAL_OUTCOME_COUNT
                        * Math.min(
                                1.0,
                                (double) APPROVAL_OUTCOME_VOTERS / rollout.approveVoteCount()));
    }

    /**
     * Casts the desired vote if it does not stand already, no answer is awaited and the stand-in
     * delay is over. A vote is renewed in the last quarter of its lifetime.
     */
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
     * Returns how long this sidecar waits before it casts a vote. The first voters are the sidecars
     * that rank lowest by a hash of build and stage; they do not wait. Each later sidecar stands in
     * for them after a longer delay.
     *
     * <p>Where a rollback needs several votes, the delays on a large fleet are shortened so that
     * all stand-ins have voted after a few steps, within a share of the calls that the platform
     * accepts from all sidecars. Where a single vote is enough, they are not shortened, because the
     * mistake of any one sidecar would decide. Approvals are not shortened by the size of the fleet
     * either, since the many would outvote the sidecars that are suspicious: only a sidecar that
     * has seen many tries of the trial approves sooner.
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

    /**
     * Current figures of a policy, for the log.
     *
     * @param tryLimit the concurrency limit, in open tries
     * @param queuedFirstTryCount the number of reqs that wait for their first try
     * @param queuedRetryCount the number of reqs that wait for another try
     * @param meanLatencyRatio the mean try time as a share of the latency objective
     * @param readyPodCount the number of ready pods on the list
     * @param leasedPodCount the number of ready pods that the lease allows
     * @param slowStartPodCount the number of pods in slow start
     * @param unreachablePodCount the number of pods in unreachable zones
     * @param rememberedReqCount the number of ended reqs that are remembered since they may have
     *     run
     * @param shedWithoutPlaceCount the number of reqs since the start that were shed because no
     *     more could be remembered
     */
    public record Stats(
            double tryLimit,
            int openTryCount,
            int queuedFirstTryCount,
            int queuedRetryCount,
            double meanLatencyRatio,
            int readyPodCount,
            int leasedPodCount,
            long healthyPodCount,
            long slowStartPodCount,
            long unreachablePodCount,
            int rememberedReqCount,
            long shedWithoutPlaceCount) {}

    /** Returns the current figures for the log. */
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
                leasedPods.count(Policy::isUnreachable),
                executionHistory.size(),
                shedWithoutPlaceCount);
    }

    // ---- Learned state across restarts

    /**
     * Returns the learned state piece by piece; the caller may handle other events between two
     * pieces. State that a new start has to earn again is left out: exposure budget, slow start
     * tokens, rates, votes and evidence on the trial.
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

    /**
     * Restores one piece of state that an earlier start exported. To be called after the first pod
     * list and rollout status and before the first req. Pieces about unknown pods, routes and
     * builds are ignored.
     */
    public void restoreLearned(long nowNs, LearnedState learned) {
        if (learned instanceof LearnedState.ConnectionStats stats) {
            refusedShare.restore(nowNs, stats.refused(), MAX_RESTORED_WEIGHT);
            unansweredShare.restore(nowNs, stats.unanswered(), MAX_RESTORED_WEIGHT);
        } else if (learned instanceof LearnedState.PodStats stats) {
            Pod pod = pods.get(stats.is().id());
            if (pod != null && pod.restore(nowNs, stats, MAX_RESTORED_WEIGHT, EJECTION_SCORE)) {
                // Sidecars that start together must not all send their first tries to a failing pod
                // at the same time.
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
        } else if (learned instanceof LearnedState.DetectorBaseline baseline
                && routeNames.contains(baseline.route())
                && isComparableBuild(baseline.build())) {
            detectors[2 * routeNames.indexOf(baseline.route()) + (baseline.ofLate() ? 1 : 0)]
                    .restore(baseline, MAX_RESTORED_WEIGHT);
        } else if (learned instanceof LearnedState.KeyBuild keyBuild && rollout.keysAreOneWay()) {
            buildByKey.recordAnswer(keyBuild.key(), keyBuild.build());
        }
    }

    /**
     * Returns whether state that was learned while a build was the newest is about the build that
     * the trial is compared with now.
     */
    private boolean isComparableBuild(int build) {
        return rolloutStatus.build() == build
                || earlierPods.all().stream().anyMatch(p -> p.listEntry.build() == build);
    }

    /**
     * Handles a timer.
     *
     * @param token the token that the timer was scheduled with; unknown tokens are ignored
     */
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
