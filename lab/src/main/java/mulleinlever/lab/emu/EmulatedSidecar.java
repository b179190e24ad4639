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
        this.agenda = world.agenda();
        this.settings = settings;
        this.policy = new Policy(settings, seed, agenda.now(), this);
    }

    public Policy policy() {
        return policy;
    }

    void list(List<PodEntry> entries) {
        if (!gone) {
            policy.listWhole(agenda.now(), entries);
        }
    }

    void changed(PodEntry entry) {
        if (!gone) {
            policy.listChanged(agenda.now(), List.of(entry));
        }
    }

    void news(RolloutStatus news) {
        if (!gone) {
            policy.news(agenda.now(), news);
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

    void take(Settings.RouteSettings route, long workNs, long key, Consumer<ReqOutcome> answered) {
        String id = Long.toString(reqs++);
        held.put(id, new PendingReq(route, workNs, agenda.now(), answered));
        policy.req(
                agenda.now(),
                new Req(id, route.name(), false, false, route.timeoutNs(), 0, key, null));
    }

    @Override
    public void relay(String rq, String pod, long writeWithinNs, long limitNs) {
        PendingReq h = held.get(rq);
        EmulatedPod at = world.pod(pod);
        SentTry s = new SentTry(h.tries.size(), at, agenda.now());
        h.tries.add(s);
        long oneWayNs = world.oneWayNs(settings.zone(), at.entry().zone());
        agenda.after(
                oneWayNs,
                () -> {
                    if (!s.ended) {
                        s.job =
                                at.arrive(
                                        h.workNs,
                                        ending ->
                                                agenda.after(
                                                        oneWayNs, () -> ended(rq, h, s, ending)));
                    }
                });
        agenda.after(limitNs, () -> ended(rq, h, s, TryOutcome.TIMEOUT));
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
        policy.tryEnded(agenda.now(), rq, s.no, ending, agenda.now() - s.sentNs, h.done);
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
    public void shed(String rq, long backoffNs) {
        answered(rq, ReqOutcome.SHED);
    }

    @Override
    public void error(String rq) {
        answered(rq, ReqOutcome.ERRORED);
    }

    private void answered(String rq, ReqOutcome how) {
        PendingReq h = held.get(rq);
        answer(h, how);
        agenda.after(0, () -> settle(rq, h));
    }

    @Override
    public void cancel(String rq, int tryNo) {
        PendingReq h = held.get(rq);
        SentTry s = h.tries.get(tryNo);
        if (s.ended) {
            return;
        }
        // Told after the call that asked for it, as on sockets.
        cutOff(s);
        agenda.after(
                0,
                () -> {
                    if (!gone) {
                        policy.tryEnded(
                                agenda.now(),
                                rq,
                                s.no,
                                TryOutcome.CANCELLED,
                                agenda.now() - s.sentNs,
                                h.done);
                        settle(rq, h);
                    }
                });
    }

    @Override
    public void vote(int build, int stage, RolloutVote verdict) {}

    @Override
    public void watchList() {}

    @Override
    public void timer(long atNs, String token) {
        agenda.at(
                atNs,
                () -> {
                    if (!gone) {
                        policy.timer(agenda.now(), token);
                    }
                });
    }

    @Override
    public void log(String line) {}
}
