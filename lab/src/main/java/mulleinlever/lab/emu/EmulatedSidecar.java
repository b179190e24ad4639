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

/** One start of a sidecar: a policy of the real program, with a network that only delays. */
public final class EmulatedSidecar implements PolicyActions {
    /** A req in hand, from its client's view. */
    private static final class PendingReq {
        private final Settings.RouteSettings route;
        private final long workNs;
        private final long takenNs;
        private final Consumer<ReqOutcome> answered;
        private final List<SentTry> tries = new ArrayList<>(1);
        private boolean done;

        PendingReq(
                Settings.RouteSettings route,
                long workNs,
                long takenNs,
                Consumer<ReqOutcome> answered) {
            this.route = route;
            this.workNs = workNs;
            this.takenNs = takenNs;
            this.answered = answered;
        }
    }

    private static final class SentTry {
        private final int no;
        private final EmulatedPod pod;
        private final long sentNs;
        private EmulatedPod.PodTry job;
        private boolean ended;

        SentTry(int no, EmulatedPod pod, long sentNs) {
            this.no = no;
            this.pod = pod;
            this.sentNs = sentNs;
        }
    }

    /** The one final answer to a req, as its sidecar gave it. */
    public enum ReqOutcome {
        COMPLETED,
        SHED,
        ERRORED
    }

    private final EmulatedFleet world;
    private final VirtualTimeScheduler agenda;
    private final Settings settings;
    private final Policy policy;
    private final Map<String, PendingReq> held = new HashMap<>();
    private boolean gone;
    private long reqs;

    EmulatedSidecar(EmulatedFleet world, Settings settings, long seed) {
        this.world = world;
        this.agenda = world.scheduler();
        this.settings = settings;
        this.policy = new Policy(settings, seed, agenda.nowNs(), this);
    }

    public Policy policy() {
        return policy;
    }

    void replacePodList(List<PodEntry> entries) {
        if (!gone) {
            policy.onPodListReplaced(agenda.nowNs(), entries);
        }
    }

    void updatePod(PodEntry entry) {
        if (!gone) {
            policy.onPodListUpdated(agenda.nowNs(), List.of(entry));
        }
    }

    void updateRolloutStatus(RolloutStatus news) {
        if (!gone) {
            policy.onRolloutStatus(agenda.nowNs(), news);
        }
    }

    /** The process ends: what it had in hand gets no answer, its tries are cut off. */
    void kill() {
        gone = true;
        for (PendingReq h : held.values()) {
            for (SentTry s : h.tries) {
                cutOff(s);
            }
        }
        held.clear();
    }

    void submit(
            Settings.RouteSettings route, long workNs, long key, Consumer<ReqOutcome> answered) {
        String id = Long.toString(reqs++);
        held.put(id, new PendingReq(route, workNs, agenda.nowNs(), answered));
        policy.onReq(
                agenda.nowNs(),
                new Req(id, route.name(), false, false, route.timeoutNs(), 0, key, null));
    }

    @Override
    public void startTry(String rq, String pod, long writeWithinNs, long limitNs) {
        PendingReq h = held.get(rq);
        EmulatedPod at = world.pod(pod);
        SentTry s = new SentTry(h.tries.size(), at, agenda.nowNs());
        h.tries.add(s);
        long oneWayNs = world.oneWayLatencyNs(settings.zone(), at.entry().zone());
        agenda.scheduleAfter(
                oneWayNs,
                () -> {
                    if (!s.ended) {
                        s.job =
                                at.submit(
                                        h.workNs,
                                        ending ->
                                                agenda.scheduleAfter(
                                                        oneWayNs, () -> ended(rq, h, s, ending)));
                    }
                });
        agenda.scheduleAfter(limitNs, () -> ended(rq, h, s, TryOutcome.TIMEOUT));
    }

    private void ended(String rq, PendingReq h, SentTry s, TryOutcome ending) {
        if (s.ended || gone) {
            return;
        }
        if (ending == TryOutcome.TIMEOUT) {
            cutOff(s);
        }
        s.ended = true;
        if (ending == TryOutcome.OK) {
            answer(h, ReqOutcome.COMPLETED);
        }
        policy.onTryEnded(agenda.nowNs(), rq, s.no, ending, agenda.nowNs() - s.sentNs, h.done);
        settle(rq, h);
    }

    private void cutOff(SentTry s) {
        s.ended = true;
        if (s.job != null) {
            s.pod.cancel(s.job);
        }
    }

    private void settle(String rq, PendingReq h) {
        if (h.done && h.tries.stream().allMatch(s -> s.ended)) {
            held.remove(rq, h);
        }
    }

    private void answer(PendingReq h, ReqOutcome how) {
        if (!h.done) {
            h.done = true;
            h.answered.accept(how);
        }
    }

    @Override
    public void shedReq(String rq, long backoffNs) {
        answered(rq, ReqOutcome.SHED);
    }

    @Override
    public void failReq(String rq) {
        answered(rq, ReqOutcome.ERRORED);
    }

    private void answered(String rq, ReqOutcome how) {
        PendingReq h = held.get(rq);
        answer(h, how);
        agenda.scheduleAfter(0, () -> settle(rq, h));
    }

    @Override
    public void cancelTry(String rq, int tryNo) {
        PendingReq h = held.get(rq);
        SentTry s = h.tries.get(tryNo);
        if (s.ended) {
            return;
        }
        // Told after the call that asked for it, as on sockets.
        cutOff(s);
        agenda.scheduleAfter(
                0,
                () -> {
                    if (!gone) {
                        policy.onTryEnded(
                                agenda.nowNs(),
                                rq,
                                s.no,
                                TryOutcome.CANCELLED,
                                agenda.nowNs() - s.sentNs,
                                h.done);
                        settle(rq, h);
                    }
                });
    }

    @Override
    public void castVote(int build, int stage, RolloutVote verdict) {}

    @Override
    public void watchPodList() {}

    @Override
    public void scheduleTimer(long atNs, String token) {
        agenda.scheduleAt(
                atNs,
                () -> {
                    if (!gone) {
                        policy.onTimer(agenda.nowNs(), token);
                    }
                });
    }

    @Override
    public void log(String line) {}
}
