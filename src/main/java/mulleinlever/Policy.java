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
import mulleinlever.Settings.Control;
import mulleinlever.Settings.Repeat;
import mulleinlever.Settings.Rollout;
import mulleinlever.Settings.Scope;

/**
 * Every decision of one sidecar: where a req goes, when it is tried again or given up, and how this sidecar votes.
 * Whoever hosts it calls one method for each thing that happens, with the time; it acts only by calling the
 * {@link Host} it was handed. Host and the plain value types beside it are the whole interface. The mechanism and
 * its exceptions are explained in docs/design.md.
 */
public final class Policy {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    /** The detector's thresholds, floors and number of voters are the design's. */
    private static final double SUSPECT_AT = 2.5;
    private static final double ALARM_AT = 4.5;
    private static final double ALARM_CLEARS_AT = 0.5;
    private static final double DEVIATION_FLOOR = 0.02;
    private static final int OUTCOME_FLOOR = 20;
    private static final int VOTERS = 3;
    /** Slow enough that a trial's first seconds hardly move it, quick enough to be learned within a day's start. */
    private static final double LONG_WEIGHT = 0.05;
    /** The sample is itself a sum over some seconds, so that one second of thin traffic can't raise an alarm. */
    private static final double SHORT_WEIGHT = 0.5;
    private static final long SAMPLE_HALF_LIFE = 6 * SECOND;
    /** A try is late above this quantile of what the earlier build takes: lower drowns in noise, higher is rare. */
    private static final double LATE_QUANTILE = 0.8;
    private static final double LATE_STEP = 0.04;
    /** Outcomes that an earlier build must show lately before anything is called late against it. */
    private static final double REFERENCE_FLOOR = 5;
    private static final int PROOF = 80;
    private static final long PROOF_WAIT = 10 * SECOND;
    /** How long a lower-ranked sidecar waits for each voter before it. */
    private static final long STAND_IN_AFTER = 2 * SECOND;

    private static final long MEASURE_HALF_LIFE = 5 * SECOND;
    private static final long SICK_FOR = 500 * MS;
    private static final long SICK_FOR_MOST = 8 * SECOND;
    /** Answers are wanted at this share of their latency objective; more tries are held at the pods below it. */
    private static final double AT_EASE = 0.45;
    private static final double ROOM_FIRST = 60;
    /** A far pod must be this much less loaded: tries that cross zones cost. */
    private static final double FAR_LOAD = 1.5;
    private static final double ONE_WAY_PART = 0.7;
    /** A pod that answered nothing for this many mean times of its dearest route, while it owes, is silent. */
    private static final double SILENCE_MEANS = 4;
    private static final long RESCUE_TICK = 100 * MS;
    /** What waits here longer, in shares of its latency objective, would come late from a strained pod. */
    private static final double LINE_WAIT = 0.35;
    private static final long LINE_TICK = 25 * MS;

    enum State { NORMAL, SUSPECT, ALARM }

    /** The design's detector for one route and one symptom. */
    static final class Detector {
        double mean;
        double deviation;
        double recent;
        int samples;
        State state = State.NORMAL;

        void learn(double sample) {
            double w = Math.max(LONG_WEIGHT, 1.0 / ++samples);
            mean = w * sample + (1 - w) * mean;
            double off = sample - mean;
            deviation = Math.sqrt(w * off * off + (1 - w) * deviation * deviation);
        }

        void judge(double sample, double n) {
            recent = SHORT_WEIGHT * sample + (1 - SHORT_WEIGHT) * recent;
            double floor = Math.max(DEVIATION_FLOOR, Math.sqrt(sample * (1 - sample) / n));
            double above = (recent - mean) / Math.max(deviation, floor);
            if (above > ALARM_AT) {
                state = State.ALARM;
            } else if (state == State.ALARM) {
                state = above < ALARM_CLEARS_AT ? State.NORMAL : State.ALARM;
            } else {
                state = above > SUSPECT_AT ? State.SUSPECT : State.NORMAL;
            }
        }
    }

    private final Settings set;
    private final Rollout rollout;
    private final Host host;
    private final SplittableRandom random;
    private final Map<String, Row> rows = new HashMap<>();
    private final Map<String, Pod> pods = new LinkedHashMap<>();
    private final Map<String, Rq> held = new LinkedHashMap<>();
    private final ArrayDeque<Rq> firstTries = new ArrayDeque<>();
    private final ArrayDeque<Rq> furtherTries = new ArrayDeque<>();
    private final Map<Integer, double[]> exposure = new HashMap<>();
    private final Map<Long, Integer> answeredBy = new HashMap<>();
    private final Decay completed = new Decay(MEASURE_HALF_LIFE);
    private final Decay ease = new Decay(SECOND);
    private final Decay easeOf = new Decay(SECOND);
    private final Map<String, Double> warmRates = new HashMap<>();
    private double room = ROOM_FIRST;
    private int open;
    private boolean strained;
    private long wakeNs;

    private boolean watching;
    private long askAgainNs;
    private long askedNs;
    private int asksFailed;

    private News news;
    private long stageSinceNs;
    private long referenceNs = Long.MIN_VALUE / 2;
    private Shown[] earlier;
    private Shown[] trial;
    private final Detector[] detectors;
    private State state = State.NORMAL;
    private Verdict standing = Verdict.NONE;
    private int standingStage;
    private long standingUntilNs;
    private Verdict asked;
    private long votedNs;
    private long voteAgainNs;
    private Verdict wanted = Verdict.NONE;
    private long wantedSinceNs;

    public Policy(Settings set, long seed, long now, Host host) {
        this.set = set;
        this.rollout = set.rollout();
        this.host = host;
        this.random = new SplittableRandom(seed);
        for (Settings.Route r : set.routes()) {
            Row row = new Row(r, rows.size(), 2 * MEASURE_HALF_LIFE);
            row.lateNs = r.objectiveNs() / 2.0;
            rows.put(r.name(), row);
        }
        this.earlier = shown();
        this.trial = shown();
        this.detectors = new Detector[2 * (rows.size() + 1)];
        Arrays.setAll(detectors, i -> new Detector());
        host.timer(now + SECOND, "sample");
        host.timer(now + RESCUE_TICK, "rescue");
        if (set.listMustBeAsked()) {
            askForList(now);
        }
    }

    // ---- The list of pods.

    public void listRemembered(long now, List<PodEntry> entries) {
        listChanged(now, entries);
    }

    public void listWhole(long now, List<PodEntry> entries) {
        Map<String, Pod> missing = new LinkedHashMap<>(pods);
        entries.forEach(e -> missing.remove(e.id()));
        missing.values().forEach(p -> p.is = gone(p.is));
        watching = true;
        asksFailed = 0;
        listChanged(now, entries);
    }

    public void listChanged(long now, List<PodEntry> entries) {
        for (PodEntry e : entries) {
            Pod pod = pods.get(e.id());
            if (pod == null) {
                pods.put(e.id(), new Pod(e, MEASURE_HALF_LIFE));
            } else {
                // An id may come back as another machine: nothing that its forerunner did counts for it.
                if (pod.is.startedNs() != e.startedNs() || pod.is.build() != e.build()) {
                    pod.strikes = 0;
                    pod.sickUntilNs = 0;
                    pod.sentCold.clear();
                }
                pod.is = e;
            }
        }
        watching = true;
        asksFailed = 0;
        serveLines(now);
    }

    /** Whether a watch still stands can't be told from the notice, so it is asked for again, ever more rarely. */
    public void listFailed(long now) {
        watching = false;
        asksFailed++;
        long wait = Math.min(SECOND << Math.min(asksFailed, 4), Math.max(SECOND, set.rules().askWithinNs() / 3));
        askAgainNs = now + wait / 2 + random.nextLong(wait / 2 + 1);
    }

    private static PodEntry gone(PodEntry e) {
        return new PodEntry(e.id(), e.zone(), e.kind(), e.cell(), e.build(), PodEntry.State.GONE, e.weight(),
                e.startedNs());
    }

    private void askForList(long now) {
        host.watchList();
        askedNs = now;
        askAgainNs = now + Math.min(4 * SECOND, Math.max(SECOND, set.rules().askWithinNs() / 2));
    }

    // ---- Reqs.

    public void req(long now, Req req) {
        Row row = rows.get(req.route());
        Rq rq = new Rq(req, row, now);
        held.put(req.id(), rq);
        earnExposure(row);
        if (random.nextDouble() < shedChance(now, rq)) {
            giveUp(now, rq);
            return;
        }
        join(now, rq);
    }

    /** By chance, the cheaper the more often: a full line would turn away the dear ones just as well. */
    private double shedChance(long now, Rq rq) {
        double perSecond = Math.max(1, completed.read(now) / completed.secondsHeld());
        double waitNs = firstTries.size() / perSecond * SECOND;
        double pressure = waitNs / rq.row.is.objectiveNs() - LINE_WAIT / 4;
        return pressure <= 0 ? 0 : Math.min(0.95, pressure / LINE_WAIT * cheapness(now, rq.row));
    }

    private double cheapness(long now, Row row) {
        double mean = 0;
        for (Row r : rows.values()) {
            mean += r.is.earnings() / meanNs(now, r) / rows.size();
        }
        return Math.min(2, mean / (row.is.earnings() / meanNs(now, row)));
    }

    private void join(long now, Rq rq) {
        if (!send(now, rq)) {
            (rq.tries.isEmpty() ? firstTries : furtherTries).add(rq);
            wake(Math.min(now + LINE_TICK, lastChance(now, rq)));
        }
    }

    /** When waiting for a pod stops making sense: the answer would come after the latency objective, or never. */
    private long lastChance(long now, Rq rq) {
        long wait = rq.tries.isEmpty() ? (long) (LINE_WAIT * rq.row.is.objectiveNs())
                : rq.row.is.objectiveNs() - (long) meanNs(now, rq.row);
        return Math.min(rq.arrivedNs + wait, rq.dueNs - 2 * set.stepNs());
    }

    private void serveLines(long now) {
        serve(now, firstTries);
        serve(now, furtherTries);
        if (!firstTries.isEmpty() || !furtherTries.isEmpty()) {
            wake(now + LINE_TICK);
        }
    }

    private void serve(long now, ArrayDeque<Rq> line) {
        int misses = 0;
        for (Iterator<Rq> it = line.iterator(); it.hasNext();) {
            Rq rq = it.next();
            if (rq.answered) {
                it.remove();
            } else if (now >= lastChance(now, rq)) {
                it.remove();
                giveUp(now, rq);
            } else if (misses < 8 && send(now, rq)) {
                it.remove();
            } else {
                misses++;
            }
        }
    }

    private boolean send(long now, Rq rq) {
        Pod pod = open < room ? pick(now, rq) : null;
        if (pod == null) {
            return false;
        }
        long left = rq.dueNs - now - set.stepNs();
        // Under strain nothing is worth working on past its latency objective: a jam would feed on it.
        long patience = strained && mayRepeat(rq.row)
                ? Math.max(rq.row.is.objectiveNs() / 4, rq.arrivedNs + rq.row.is.objectiveNs() - now) : left;
        boolean cold = cold(now, pod);
        Try t = new Try(pod, now, !cold, pod.is.build());
        rq.tries.add(t);
        rq.out++;
        open++;
        rq.calledBack = false;
        if (rq.mayHaveRun == null) {
            rq.mayHaveRun = t;
        }
        pod.owesSinceNs = pod.open++ == 0 ? now : pod.owesSinceNs;
        if (cold) {
            pod.sentCold.add(now);
        }
        if (onTrial(pod.is.build())) {
            bucket(pod.is.build())[rollout.countedByRoute() ? rq.row.at : 0] -= 1;
        }
        host.relay(rq.is.id(), pod.id, Math.min(left, patience));
        return true;
    }

    private static boolean mayRepeat(Row row) {
        return row.is.repeat() != Repeat.NON_RETRIABLE;
    }

    public void streamBegan(long now, String id, int tryNo, String podId) {
        Rq rq = held.get(id);
        if (rq != null) {
            rq.streaming = true;
        }
    }

    public void tryEnded(long now, String id, int tryNo, String podId, Ending ending, long tookNs, boolean complete,
            LoadReport report) {
        Rq rq = held.get(id);
        if (rq == null || tryNo < 0 || tryNo >= rq.tries.size()) {
            return;
        }
        Try t = rq.tries.get(tryNo);
        t.pod().open--;
        open--;
        if (ending != Ending.CANCELLED && ending != Ending.TIMEOUT) {
            t.pod().owesSinceNs = now;
        }
        rq.out--;
        if (ending.neverRan()) {
            rq.neverRan++;
            rq.mayHaveRun = rq.mayHaveRun == t ? null : rq.mayHaveRun;
        }
        if (ending != Ending.MOOT && ending != Ending.CANCELLED) {
            measure(now, rq.row, t, ending, tookNs);
            weigh(now, rq.row, t, ending, tookNs);
        }
        if (ending == Ending.OK && rollout.oneWay() && rq.is.key() >= 0) {
            answeredBy.merge(rq.is.key(), t.build(), Math::max);
        }
        rq.answered |= complete || rq.streaming;
        if (!rq.answered && rq.out == 0) {
            tryAgain(now, rq);
        }
        forgetIfDone(rq);
        serveLines(now);
    }

    private void tryAgain(long now, Rq rq) {
        boolean again = rq.tries.size() < set.limits().maxTries() && now < lastChance(now, rq) && mayGoAgain(now, rq);
        if (again) {
            join(now, rq);
        } else {
            giveUp(now, rq);
        }
    }

    private boolean mayGoAgain(long now, Rq rq) {
        return switch (rq.row.is.repeat()) {
            case RETRIABLE -> true;
            case DEDUPED -> !rq.ran() || now < rq.mayHaveRun.sentNs() + rq.row.is.dedupNs() - 2 * set.stepNs();
            case NON_RETRIABLE -> !rq.ran();
        };
    }

    /** The answer goes out at once; a shed reply where a repeat is harmless, so that the client may come back. */
    private void giveUp(long now, Rq rq) {
        boolean harmless = rq.row.is.repeat() == Repeat.RETRIABLE || !rq.ran()
                || rq.row.is.repeat() == Repeat.DEDUPED && rq.row.is.scope() == Scope.ALL;
        rq.answered = true;
        if (harmless) {
            host.shed(rq.is.id(), set.limits().retryAfter()
                    ? Math.min(set.limits().maxRetryAfterNs(), rq.row.is.objectiveNs() / 4) : 0);
        } else {
            host.error(rq.is.id());
        }
        forgetIfDone(rq);
    }

    public void clientGone(long now, String id) {
        Rq rq = held.get(id);
        if (rq == null) {
            return;
        }
        rq.answered = true;
        if (set.limits().cancel() && !rq.streaming) {
            for (int i = 0; i < rq.tries.size() && rq.out > 0; i++) {
                host.cancel(id, i);
            }
        }
        forgetIfDone(rq);
    }

    private void forgetIfDone(Rq rq) {
        if (rq.answered && rq.out == 0) {
            held.remove(rq.is.id());
        }
    }

    // ---- Choosing a pod.

    /** Two random choices by load among the pods the req may go to; the first from its own zone where there is one. */
    private Pod pick(long now, Rq rq) {
        List<Pod> may = new ArrayList<>();
        List<Pod> near = new ArrayList<>();
        for (int pass = 0; pass < 2 && may.isEmpty(); pass++) {
            for (Pod p : pods.values()) {
                if (allowed(now, rq, p) && (pass == 1 || fit(now, p) && !triedBefore(rq, p))) {
                    may.add(p);
                    if (p.is.zone().equals(set.zone())) {
                        near.add(p);
                    }
                }
            }
        }
        if (may.isEmpty()) {
            return null;
        }
        if (rollout.oneWay() && may.stream().anyMatch(p -> onTrial(p.is.build()))) {
            may.removeIf(p -> !onTrial(p.is.build()));
            near.removeIf(p -> !onTrial(p.is.build()));
        }
        List<Pod> from = near.isEmpty() ? may : near;
        Pod a = from.get(random.nextInt(from.size()));
        Pod b = may.get(random.nextInt(may.size()));
        return weighed(now, b) < weighed(now, a) ? b : a;
    }

    private double weighed(long now, Pod p) {
        double load = (p.open + 1) * (p.slowness.read(now) + 2) / (p.ended.read(now) + 2);
        return load / Math.max(0.01, p.is.weight()) * (set.prices().crossZone() > 0 && !p.is.zone().equals(set.zone()) ? FAR_LOAD : 1);
    }

    private boolean triedBefore(Rq rq, Pod p) {
        return rq.tries.stream().anyMatch(t -> t.pod() == p);
    }

    /** What no rule forbids. */
    private boolean allowed(long now, Rq rq, Pod p) {
        if (p.is.state() != PodEntry.State.READY || !coldRoom(now, p) || !exposureRoom(rq, p)) {
            return false;
        }
        if (rq.mayHaveRun == null || rq.row.is.repeat() != Repeat.DEDUPED) {
            return true;
        }
        PodEntry ran = rq.mayHaveRun.pod().is;
        return switch (rq.row.is.scope()) {
            case ALL -> true;
            case ZONE -> p.is.zone().equals(ran.zone());
            case CELL -> p.is.cell() == ran.cell();
        };
    }

    private double meanNs(long now, Row row) {
        return (row.times.read(now) + row.is.objectiveNs() / 4.0) / (row.ended.read(now) + 1);
    }

    /** A pod that failed lately rests; then one try at a time shows whether it is back. */
    private boolean fit(long now, Pod p) {
        return !silent(now, p) && (p.strikes < 3 || now >= p.sickUntilNs && p.open == 0);
    }

    /** Fewer tries lie at the pods the longer answers take: what waits here can still be shed, or go elsewhere. */
    private void makeRoom(long now) {
        double at = easeOf.read(now) < 1 ? 0 : ease.read(now) / easeOf.read(now);
        strained = at > AT_EASE;
        long ready = pods.values().stream().filter(p -> p.is.state() == PodEntry.State.READY).count();
        if (strained) {
            room = Math.max(ready, room * (1 - 0.1 * Math.min(1, at / AT_EASE - 1)));
        } else if (open > 0.8 * room) {
            room *= 1.02;
        }
    }

    /** Hung, cut off, paused or jammed: whatever the cause, it owes answers and has given none for long. */
    private boolean silent(long now, Pod p) {
        return p.open > 0 && now - p.owesSinceNs > silenceNs(now);
    }

    private double silenceNs(long now) {
        double dearest = 0;
        for (Row r : rows.values()) {
            dearest = Math.max(dearest, meanNs(now, r));
        }
        return SILENCE_MEANS * dearest;
    }

    /** Calls back what lies at silent pods, where it may still go elsewhere in time. */
    private void rescue(long now) {
        if (!set.limits().cancel()) {
            return;
        }
        for (Rq rq : held.values()) {
            if (rq.out == 0 || rq.answered || rq.streaming || now >= lastChance(now, rq) || !mayRunAgain(now, rq)) {
                continue;
            }
            Try t = rq.tries.get(rq.tries.size() - 1);
            if (silent(now, t.pod()) && now - t.sentNs() > silenceNs(now) && !rq.calledBack) {
                rq.calledBack = true;
                t.pod().strikes = 6;
                t.pod().sickUntilNs = now + SICK_FOR;
                host.cancel(rq.is.id(), rq.tries.size() - 1);
            }
        }
    }

    private boolean mayRunAgain(long now, Rq rq) {
        return rq.tries.size() < set.limits().maxTries() && (rq.row.is.repeat() == Repeat.RETRIABLE
                || rq.row.is.repeat() == Repeat.DEDUPED
                && now < rq.mayHaveRun.sentNs() + rq.row.is.dedupNs() - 2 * set.stepNs());
    }

    private void measure(long now, Row row, Try t, Ending ending, long tookNs) {
        Pod p = t.pod();
        double mean = meanNs(now, row);
        boolean ok = ending == Ending.OK;
        if (ok || ending == Ending.TIMEOUT) {
            p.slowness.add(now, tookNs / mean);
            p.ended.add(now, 1);
            row.times.add(now, tookNs);
            row.ended.add(now, 1);
            ease.add(now, tookNs / (double) row.is.objectiveNs());
            easeOf.add(now, 1);
        }
        if (ok) {
            completed.add(now, 1);
            p.completed.add(now, 1);
            p.strikes = Math.max(0, p.strikes - 1);
            p.sickForNs = p.strikes == 0 ? SICK_FOR : p.sickForNs;
        } else if (ending != Ending.FULL) {
            // A pod that fails half of its tries must not be cleared by each lucky one.
            p.strikes = Math.min(6, p.strikes + 2);
            p.sickForNs = Math.min(SICK_FOR_MOST, Math.max(SICK_FOR, 2 * p.sickForNs));
            p.sickUntilNs = now + p.sickForNs;
        }
    }

    // ---- Cold pods.

    private boolean cold(long now, Pod p) {
        return p.is.startedNs() > 0 && now < p.is.startedNs() + set.rules().warmAfterNs();
    }

    /**
     * What a warm pod of the same kind completes for this sidecar; the last known where none is left, since a release
     * may leave only cold pods.
     */
    private double warmRate(long now, Pod cold) {
        double rate = 0;
        int n = 0;
        for (Pod p : pods.values()) {
            if (p.is.state() == PodEntry.State.READY && !cold(now, p) && p.is.kind().equals(cold.is.kind())) {
                rate += p.completed.read(now) / p.completed.secondsHeld();
                n++;
            }
        }
        if (n > 0) {
            warmRates.put(cold.is.kind(), rate / n);
        }
        return warmRates.getOrDefault(cold.is.kind(), 0.0);
    }

    /** Against pushing a cold pod over: what a warm pod gets from here, cut to the share the cold one can do. */
    private boolean coldRoom(long now, Pod p) {
        if (!cold(now, p)) {
            return true;
        }
        long window = set.rules().fallNs();
        while (!p.sentCold.isEmpty() && p.sentCold.peek() <= now - window) {
            p.sentCold.poll();
        }
        double rate = warmRate(now, p);
        double age = Math.max(0, now - p.is.startedNs()) / (double) set.rules().warmAfterNs();
        double can = set.rules().coldShare() + (1 - set.rules().coldShare()) * age;
        return p.sentCold.size() + 1 <= Math.max(1, can * rate * window / SECOND);
    }

    // ---- Exposure.

    private boolean onTrial(int build) {
        return news == null ? build > lowestBuild()
                : build > news.build() || build == news.build() && news.phase() != News.Phase.RELEASED;
    }

    private int lowestBuild() {
        return pods.values().stream().filter(p -> p.is.state() != PodEntry.State.GONE)
                .mapToInt(p -> p.is.build()).min().orElse(Integer.MAX_VALUE);
    }

    /** Whether the newest build is neither going back nor gone. */
    private boolean stands() {
        return news.phase() == News.Phase.ON_TRIAL || news.phase() == News.Phase.RELEASED;
    }

    private double oneWayPart(int build) {
        long ready = pods.values().stream().filter(p -> p.is.state() == PodEntry.State.READY).count();
        long own = pods.values().stream()
                .filter(p -> p.is.state() == PodEntry.State.READY && p.is.build() == build).count();
        return Math.min(ONE_WAY_PART * capOf(build), own / (double) ready);
    }

    private static double keyPart(long key) {
        return new SplittableRandom(key).nextDouble();
    }

    private boolean announced(int build) {
        return news != null && build == news.build();
    }

    private double capOf(int build) {
        return announced(build) ? news.cap() : rollout.caps().get(0);
    }

    /**
     * What may still be sent to a build: each req taken earns its capped share, and no more than the free number is
     * ever saved up, so no window of any length can hold more than the rule allows. It starts empty, since a
     * forerunner of this sidecar may just have spent it.
     */
    private double[] bucket(int build) {
        return exposure.computeIfAbsent(build, b -> new double[rollout.countedByRoute() ? rows.size() : 1]) ;
    }

    private void earnExposure(Row row) {
        for (Pod p : pods.values()) {
            if (onTrial(p.is.build())) {
                bucket(p.is.build());
            }
        }
        for (Map.Entry<Integer, double[]> e : exposure.entrySet()) {
            int at = rollout.countedByRoute() ? row.at : 0;
            e.getValue()[at] = Math.min(rollout.uncounted(), e.getValue()[at] + capOf(e.getKey()));
        }
    }

    private boolean exposureRoom(Rq rq, Pod p) {
        int build = p.is.build();
        if (news != null && stands() && build < answeredBy.getOrDefault(rq.is.key(), 0)) {
            return false;
        }
        if (!onTrial(build)) {
            return true;
        }
        // Where a key can't go back, the trial keeps to a part of the keys, so that their later reqs still have room.
        if (rollout.oneWay() && keyPart(rq.is.key()) >= oneWayPart(build)) {
            return false;
        }
        int stage = announced(build) ? news.stage() : 0;
        boolean shielded = stage < rollout.shieldedStages() && rq.row.is.repeat() != Repeat.RETRIABLE;
        if (shielded || capOf(build) <= 0) {
            return false;
        }
        return bucket(build)[rollout.countedByRoute() ? rq.row.at : 0] >= 1;
    }

    // ---- Judging the build.

    private Shown[] shown() {
        Shown[] all = new Shown[rows.size() + 1];
        Arrays.setAll(all, i -> new Shown(SAMPLE_HALF_LIFE));
        return all;
    }

    /** An outcome as evidence; pods not yet warm when it was sent are left out. */
    private void weigh(long now, Row row, Try t, Ending ending, long tookNs) {
        if (news == null || !t.warm() || t.build() > news.build() || ending == Ending.CONNECT_FAILED) {
            return;
        }
        boolean judged = t.build() == news.build();
        if (!judged) {
            referenceNs = now;
        }
        // Once the earlier pods have gone, the load on the rest has changed and there is no telling what is late.
        boolean noReference = now - referenceNs > SECOND;
        boolean late = tookNs > row.lateNs && !(judged && noReference);
        boolean failed = ending == Ending.ERROR || ending == Ending.RESET;
        for (int i : new int[] {row.at, rows.size()}) {
            Shown s = (judged ? trial : earlier)[i];
            s.ended.add(now, 1);
            s.failed.add(now, failed ? 1 : 0);
            s.late.add(now, late ? 1 : 0);
            s.all++;
        }
        if (ending == Ending.OK && (!judged || noReference && news.phase() == News.Phase.RELEASED)) {
            row.lateNs *= tookNs > row.lateNs ? 1 + LATE_STEP * LATE_QUANTILE : 1 - LATE_STEP * (1 - LATE_QUANTILE);
        }
    }

    public void flagged(long now, String podId, String route, long ageNs) {
        Pod p = pods.get(podId);
        if (p == null || news == null || p.is.build() > news.build()) {
            return;
        }
        for (int i : new int[] {rows.get(route).at, rows.size()}) {
            // One report stands for all the wrong answers that nobody reported.
            (p.is.build() == news.build() ? trial : earlier)[i].failed.add(now, 1 / rollout.complaintShare());
        }
    }

    public void tally(long now, Tally t) {
    }

    private void judge(long now) {
        State worst = State.NORMAL;
        for (int i = 0; i < detectors.length; i++) {
            Detector d = detectors[i];
            Shown was = earlier[i / 2];
            Shown is = trial[i / 2];
            boolean ofLate = i % 2 == 1;
            if (state == State.NORMAL && was.ended.read(now) >= REFERENCE_FLOOR) {
                d.learn(was.share(now, ofLate));
            }
            double n = is.ended.read(now);
            if (is.all >= OUTCOME_FLOOR && n >= 1 && d.samples > 0) {
                d.judge(is.share(now, ofLate), n);
            }
            worst = d.state.ordinal() > worst.ordinal() ? d.state : worst;
        }
        if (worst != state) {
            host.log("build " + news.build() + " stage " + news.stage() + ": " + state + " to " + worst + why(now));
        }
        state = worst;
    }

    private String why(long now) {
        StringBuilder b = new StringBuilder();
        for (int i = 0; i < detectors.length; i++) {
            if (detectors[i].state != State.NORMAL) {
                b.append(i % 2 == 1 ? ", late" : ", failed").append(i / 2 < rows.size() ? " on one route" : " overall")
                        .append(String.format(" %.2f against %.2f of %d", detectors[i].recent, detectors[i].mean,
                                trial[i / 2].all));
            }
        }
        return b.toString();
    }

    // ---- News and votes.

    public void news(long now, News.Answer answer, News told) {
        if (told != null) {
            boolean otherBuild = news == null || news.build() != told.build();
            if (otherBuild && news != null) {
                // What was released is the earlier build from now on; what was taken off never was.
                earlier = news.phase() == News.Phase.RELEASED ? trial : earlier;
                trial = shown();
                state = State.NORMAL;
                for (Detector d : detectors) {
                    d.state = State.NORMAL;
                    d.recent = d.mean;
                }
            }
            if (otherBuild || news.stage() != told.stage() || news.phase() != told.phase()) {
                host.log("build " + told.build() + " stage " + told.stage() + " " + told.phase());
                standing = Verdict.NONE;
                wanted = Verdict.NONE;
            }
            news = told;
            stageSinceNs = now - told.ageNs();
        }
        if (answer != News.Answer.NEWS) {
            if (answer == News.Answer.OK && asked != null) {
                standing = asked;
                standingStage = news.stage();
                standingUntilNs = votedNs + rollout.voteStandsNs();
            } else {
                long wait = answer == News.Answer.MOOT ? SECOND : 400 * MS;
                voteAgainNs = now + wait + random.nextLong(wait);
            }
            asked = null;
        }
        vote(now);
        serveLines(now);
    }

    private Verdict verdict(long now) {
        boolean trialNow = news.phase() == News.Phase.ON_TRIAL;
        if (!trialNow && news.phase() != News.Phase.RELEASED) {
            return Verdict.NONE;
        }
        if (state == State.ALARM) {
            return Verdict.BACK;
        }
        if (!trialNow) {
            return Verdict.NONE;
        }
        if (rollout.control() == Control.CLOCKED) {
            return state == State.SUSPECT ? Verdict.HOLD : Verdict.NONE;
        }
        long age = now - stageSinceNs;
        boolean last = news.stage() == rollout.shares().size() - 1;
        // The last 'on' takes the earlier pods away: it waits for proof, though not for ever.
        boolean proven = !last || trial[rows.size()].all >= PROOF || age > PROOF_WAIT;
        return state == State.NORMAL && age >= rollout.bakeNs() && proven ? Verdict.ON : Verdict.NONE;
    }

    private void vote(long now) {
        if (news == null) {
            return;
        }
        Verdict v = verdict(now);
        if (v != wanted) {
            wanted = v;
            wantedSinceNs = now;
        }
        if (asked != null && now < votedNs + rollout.voteWaitNs() + SECOND || now < voteAgainNs) {
            return;
        }
        boolean stands = standing == v && standingStage == news.stage();
        if (stands && (v == Verdict.NONE || now < standingUntilNs - rollout.voteStandsNs() / 4)) {
            return;
        }
        if (v == Verdict.NONE && now >= standingUntilNs) {
            standing = Verdict.NONE;
            return;
        }
        if (v != Verdict.NONE && now < wantedSinceNs + standInAfter(v)) {
            return;
        }
        asked = v;
        votedNs = now;
        host.vote(news.build(), news.stage(), v);
    }

    /** The voters are the lowest under a hash of build and stage; each later one stands in after a further wait. */
    private long standInAfter(Verdict v) {
        int voters = switch (rollout.control()) {
            case SINGLE -> VOTERS;
            case MAJORITY -> v == Verdict.ON ? rollout.onVotes() : rollout.backVotes();
            case CLOCKED -> v == Verdict.HOLD ? rollout.holdVotes() : rollout.backVotes();
        };
        long mine = hash(set.rank());
        int before = 0;
        for (int i = 0; i < set.sidecars(); i++) {
            before += hash(i) < mine ? 1 : 0;
        }
        return Math.max(0, before - voters + 1) * STAND_IN_AFTER;
    }

    private long hash(int rank) {
        return new SplittableRandom((news.build() * 1000L + news.stage()) * 100_003L + rank).nextLong();
    }

    // ---- Time.

    public void timer(long now, String token) {
        if (token.equals("sample")) {
            host.timer(now + SECOND, "sample");
            if (news != null) {
                judge(now);
                vote(now);
            }
            if (set.listMustBeAsked() && now >= askAgainNs && (!watching || askedNs == 0)) {
                askForList(now);
            }
        } else if (token.equals("rescue")) {
            host.timer(now + RESCUE_TICK, "rescue");
            rescue(now);
            makeRoom(now);
        } else if (now >= wakeNs) {
            wakeNs = 0;
        }
        serveLines(now);
    }

    private void wake(long atNs) {
        if (wakeNs == 0 || atNs < wakeNs) {
            wakeNs = atNs;
            host.timer(atNs, "wake");
        }
    }

    public void probed(long now, String podId, Ending ending, long tookNs, LoadReport report) {
    }
}
