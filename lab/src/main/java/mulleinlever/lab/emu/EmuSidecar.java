package mulleinlever.lab.emu;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mulleinlever.Ending;
import mulleinlever.Host;
import mulleinlever.News;
import mulleinlever.PodEntry;
import mulleinlever.Policy;
import mulleinlever.Req;
import mulleinlever.Settings;
import mulleinlever.Verdict;

/** One start of a sidecar: a policy of the real program, with a network that only delays. */
public final class EmuSidecar implements Host {
    /** A req in hand, from its client's view. */
    private static final class Held {
        private final Settings.Route route;
        private final long workNs;
        private final long takenNs;
        private final Consumer<Answer> answered;
        private final List<Sent> tries = new ArrayList<>(1);
        private boolean done;

        Held(Settings.Route route, long workNs, long takenNs, Consumer<Answer> answered) {
            this.route = route;
            this.workNs = workNs;
            this.takenNs = takenNs;
            this.answered = answered;
        }
    }

    private static final class Sent {
        private final int no;
        private final EmuPod pod;
        private final long sentNs;
        private EmuPod.Job job;
        private boolean ended;

        Sent(int no, EmuPod pod, long sentNs) {
            this.no = no;
            this.pod = pod;
            this.sentNs = sentNs;
        }
    }

    /** The one final answer to a req, as its sidecar gave it. */
    public enum Answer {
        COMPLETED,
        SHED,
        ERRORED
    }

    private final World world;
    private final Agenda agenda;
    private final Settings settings;
    private final Policy policy;
    private final Map<String, Held> held = new HashMap<>();
    private boolean gone;
    private long reqs;

    EmuSidecar(World world, Settings settings, long seed) {
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

    void news(News news) {
        if (!gone) {
            policy.news(agenda.now(), news);
        }
    }

    /** The process ends: what it had in hand gets no answer, its tries are cut off. */
    void kill() {
        gone = true;
        for (Held h : held.values()) {
            for (Sent s : h.tries) {
                cutOff(s);
            }
        }
        held.clear();
    }

    void take(Settings.Route route, long workNs, long key, Consumer<Answer> answered) {
        String id = Long.toString(reqs++);
        held.put(id, new Held(route, workNs, agenda.now(), answered));
        policy.req(
                agenda.now(),
                new Req(id, route.name(), false, false, route.timeoutNs(), 0, key, null));
    }

    @Override
    public void relay(String rq, String pod, long writeWithinNs, long limitNs) {
        Held h = held.get(rq);
        EmuPod at = world.pod(pod);
        Sent s = new Sent(h.tries.size(), at, agenda.now());
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
        agenda.after(limitNs, () -> ended(rq, h, s, Ending.TIMEOUT));
    }

    private void ended(String rq, Held h, Sent s, Ending ending) {
        if (s.ended || gone) {
            return;
        }
        if (ending == Ending.TIMEOUT) {
            cutOff(s);
        }
        s.ended = true;
        if (ending == Ending.OK) {
            answer(h, Answer.COMPLETED);
        }
        policy.tryEnded(agenda.now(), rq, s.no, ending, agenda.now() - s.sentNs, h.done);
        settle(rq, h);
    }

    private void cutOff(Sent s) {
        s.ended = true;
        if (s.job != null) {
            s.pod.cancel(s.job);
        }
    }

    private void settle(String rq, Held h) {
        if (h.done && h.tries.stream().allMatch(s -> s.ended)) {
            held.remove(rq, h);
        }
    }

    private void answer(Held h, Answer how) {
        if (!h.done) {
            h.done = true;
            h.answered.accept(how);
        }
    }

    @Override
    public void shed(String rq, long backoffNs) {
        answered(rq, Answer.SHED);
    }

    @Override
    public void error(String rq) {
        answered(rq, Answer.ERRORED);
    }

    private void answered(String rq, Answer how) {
        Held h = held.get(rq);
        answer(h, how);
        agenda.after(0, () -> settle(rq, h));
    }

    @Override
    public void cancel(String rq, int tryNo) {
        Held h = held.get(rq);
        Sent s = h.tries.get(tryNo);
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
                                Ending.CANCELLED,
                                agenda.now() - s.sentNs,
                                h.done);
                        settle(rq, h);
                    }
                });
    }

    @Override
    public void vote(int build, int stage, Verdict verdict) {}

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
