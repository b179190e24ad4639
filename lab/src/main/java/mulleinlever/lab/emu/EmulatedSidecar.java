package mulleinlever.lab.emu;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mulleinlever.PodEntry;
import mulleinlever.Policy;
import mulleinlever.PolicyActions;
import mulleinlever.Req;
import mulleinlever.RolloutStatus;
import mulleinlever.RolloutVote;
import mulleinlever.Settings;
import mulleinlever.TryOutcome;

/**
 * An emulated sidecar from its start to its end: a {@link Policy} with a network that delays
 * messages and loses none.
 */
public final class EmulatedSidecar implements PolicyActions {
    /** A req that has not been answered or has open tries. */
    private static final class PendingReq {
        private final Settings.RouteSettings route;
        private final long workNs;
        private final long arrivedNs;
        private final Consumer<ReqOutcome> onAnswer;
        private final List<SentTry> tries = new ArrayList<>(1);
        private boolean answered;

        PendingReq(
                Settings.RouteSettings route,
                long workNs,
                long arrivedNs,
                Consumer<ReqOutcome> onAnswer) {
            this.route = route;
            this.workNs = workNs;
            this.arrivedNs = arrivedNs;
            this.onAnswer = onAnswer;
        }
    }

    /** A try that was sent to a pod, which it reaches after the network's delay. */
    private static final class SentTry {
        private final int tryNumber;
        private final EmulatedPod pod;
        private final long sentNs;

        /** Null until the try has reached the pod. */
        private EmulatedPod.PodTry podTry;

        private boolean ended;

        SentTry(int tryNumber, EmulatedPod pod, long sentNs) {
            this.tryNumber = tryNumber;
            this.pod = pod;
            this.sentNs = sentNs;
        }
    }

    /** The sidecar's answer to a req. */
    public enum ReqOutcome {
        COMPLETED,
        SHED,
        ERRORED
    }

    private final EmulatedFleet fleet;
    private final VirtualTimeScheduler scheduler;
    private final Settings settings;
    private final Policy policy;
    private final Map<String, PendingReq> pendingReqs = new HashMap<>();
    private boolean killed;
    private long nextReqNumber;

    EmulatedSidecar(EmulatedFleet fleet, Settings settings, long seed) {
        this.fleet = fleet;
        this.scheduler = fleet.scheduler();
        this.settings = settings;
        this.policy = new Policy(settings, seed, scheduler.nowNs(), this);
    }

    public Policy policy() {
        return policy;
    }

    void replacePodList(List<PodEntry> entries) {
        if (!killed) {
            policy.onPodListReplaced(scheduler.nowNs(), entries);
        }
    }

    void updatePod(PodEntry entry) {
        if (!killed) {
            policy.onPodListUpdated(scheduler.nowNs(), List.of(entry));
        }
    }

    void updateRolloutStatus(RolloutStatus status) {
        if (!killed) {
            policy.onRolloutStatus(scheduler.nowNs(), status);
        }
    }

    /** Ends the process: pending reqs get no answer, and their tries are cancelled at the pods. */
    void kill() {
        killed = true;
        for (PendingReq req : pendingReqs.values()) {
            for (SentTry sentTry : req.tries) {
                abandonTry(sentTry);
            }
        }
        pendingReqs.clear();
    }

    /**
     * Takes a req of a client.
     *
     * @param workNs the core time that each of its tries needs
     * @param onAnswer called with the answer, if there is any
     */
    void submit(
            Settings.RouteSettings route, long workNs, long key, Consumer<ReqOutcome> onAnswer) {
        String id = Long.toString(nextReqNumber++);
        pendingReqs.put(id, new PendingReq(route, workNs, scheduler.nowNs(), onAnswer));
        policy.onReq(
                scheduler.nowNs(),
                new Req(id, route.name(), false, false, route.timeoutNs(), 0, key, null, 0));
    }

    @Override
    public void startTry(String reqId, String podId, long writeWithinNs, long timeoutNs) {
        PendingReq req = pendingReqs.get(reqId);
        EmulatedPod pod = fleet.pod(podId);
        SentTry sentTry = new SentTry(req.tries.size(), pod, scheduler.nowNs());
        req.tries.add(sentTry);
        long oneWayNs = fleet.oneWayLatencyNs(settings.zone(), pod.entry().zone());
        scheduler.scheduleAfter(
                oneWayNs,
                () -> {
                    if (!sentTry.ended) {
                        sentTry.podTry =
                                pod.submit(
                                        req.workNs,
                                        outcome ->
                                                scheduler.scheduleAfter(
                                                        oneWayNs,
                                                        () ->
                                                                endTry(
                                                                        reqId, req, sentTry,
                                                                        outcome)));
                    }
                });
        scheduler.scheduleAfter(timeoutNs, () -> endTry(reqId, req, sentTry, TryOutcome.TIMEOUT));
    }

    private void endTry(String reqId, PendingReq req, SentTry sentTry, TryOutcome outcome) {
        if (sentTry.ended || killed) {
            return;
        }
        if (outcome == TryOutcome.TIMEOUT) {
            abandonTry(sentTry);
        }
        sentTry.ended = true;
        if (outcome == TryOutcome.OK) {
            answer(req, ReqOutcome.COMPLETED);
        }
        policy.onTryEnded(
                scheduler.nowNs(),
                reqId,
                sentTry.tryNumber,
                outcome,
                scheduler.nowNs() - sentTry.sentNs,
                req.answered);
        removeIfEnded(reqId, req);
    }

    /** Marks a try as ended, and cancels it at its pod if it has arrived there. */
    private void abandonTry(SentTry sentTry) {
        sentTry.ended = true;
        if (sentTry.podTry != null) {
            sentTry.pod.cancel(sentTry.podTry);
        }
    }

    /** Removes the req once it has been answered and all its tries have ended. */
    private void removeIfEnded(String reqId, PendingReq req) {
        if (req.answered && req.tries.stream().allMatch(s -> s.ended)) {
            pendingReqs.remove(reqId, req);
        }
    }

    private void answer(PendingReq req, ReqOutcome outcome) {
        if (!req.answered) {
            req.answered = true;
            req.onAnswer.accept(outcome);
        }
    }

    @Override
    public void shedReq(String reqId, long backoffNs) {
        answerFromPolicy(reqId, ReqOutcome.SHED);
    }

    @Override
    public void failReq(String reqId) {
        answerFromPolicy(reqId, ReqOutcome.ERRORED);
    }

    private void answerFromPolicy(String reqId, ReqOutcome outcome) {
        PendingReq req = pendingReqs.get(reqId);
        answer(req, outcome);
        scheduler.scheduleAfter(0, () -> removeIfEnded(reqId, req));
    }

    @Override
    public void cancelTry(String reqId, int tryNumber) {
        PendingReq req = pendingReqs.get(reqId);
        SentTry sentTry = req.tries.get(tryNumber);
        if (sentTry.ended) {
            return;
        }
        // The policy learns the outcome after this call has returned, as it does with sockets.
        abandonTry(sentTry);
        scheduler.scheduleAfter(
                0,
                () -> {
                    if (!killed) {
                        policy.onTryEnded(
                                scheduler.nowNs(),
                                reqId,
                                sentTry.tryNumber,
                                TryOutcome.CANCELLED,
                                scheduler.nowNs() - sentTry.sentNs,
                                req.answered);
                        removeIfEnded(reqId, req);
                    }
                });
    }

    @Override
    public void castVote(int build, int stage, RolloutVote vote) {}

    @Override
    public void watchPodList() {}

    @Override
    public void scheduleTimer(long atNs, String token) {
        scheduler.scheduleAt(
                atNs,
                () -> {
                    if (!killed) {
                        policy.onTimer(scheduler.nowNs(), token);
                    }
                });
    }

    @Override
    public void log(String message) {}
}
