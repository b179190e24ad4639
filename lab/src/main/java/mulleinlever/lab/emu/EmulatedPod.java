package mulleinlever.lab.emu;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mulleinlever.PodEntry;
import mulleinlever.TryOutcome;

/**
 * A pod: some cores that serve one line, first come first served. It can be slow, hung, or fail a
 * share of what it is sent; a pod that was started lately does less.
 */
public final class EmulatedPod {
    /** One try at the pod, until it is told how that ended. */
    public static final class PodTry {
        private final long workNs;
        private final Consumer<TryOutcome> done;
        private boolean cancelled;
        private boolean runs;

        PodTry(long workNs, Consumer<TryOutcome> done) {
            this.workNs = workNs;
            this.done = done;
        }
    }

    private final VirtualTimeScheduler agenda;
    private final int cores;
    private final int mostWaiting;
    private final ArrayDeque<PodTry> line = new ArrayDeque<>();
    private final List<PodTry> atHang = new ArrayList<>();
    private PodEntry entry;
    private double speed = 1;
    private boolean hung;
    private int busy;
    private long arrived;
    private int start;

    EmulatedPod(VirtualTimeScheduler agenda, PodEntry entry, int cores, int mostWaiting) {
        this.agenda = agenda;
        this.entry = entry;
        this.cores = cores;
        this.mostWaiting = mostWaiting;
    }

    public PodEntry entry() {
        return entry;
    }

    /** Another start of the pod, from now on: what lay at the one before is lost without a sign. */
    void restart(PodEntry next) {
        entry = next;
        line.clear();
        atHang.clear();
        busy = 0;
        start++;
    }

    /** The part of its usual speed that a pod has which was started lately. */
    private double warmth() {
        double age =
                (agenda.nowNs() - entry.startedNs()) / (double) EmulationSettings.SLOW_START_NS;
        return entry.startedNs() == 0 || age >= 1
                ? 1
                : EmulationSettings.COLD_CAPACITY_SHARE
                        + (1 - EmulationSettings.COLD_CAPACITY_SHARE) * Math.max(0, age);
    }

    /** 1 is usual; 0.2 takes five times as long. */
    public void setSpeed(double of) {
        speed = of;
    }

    /** Takes what is sent and answers nothing, until it hangs no more. */
    public void setHung(boolean from) {
        hung = from;
        if (!hung) {
            List<PodTry> held = List.copyOf(atHang);
            atHang.clear();
            held.forEach(j -> finish(j, TryOutcome.OK));
            serve();
        }
    }

    /** How many tries have come. */
    public long arrivedTryCount() {
        return arrived;
    }

    PodTry submit(long workNs, Consumer<TryOutcome> done) {
        PodTry job = new PodTry(workNs, done);
        arrived++;
        if (line.size() >= mostWaiting) {
            done.accept(TryOutcome.FULL);
            return job;
        }
        line.add(job);
        serve();
        return job;
    }

    /** What waits is dropped, what is at work goes on to its end for nothing. */
    void cancel(PodTry job) {
        job.cancelled = true;
        if (!job.runs) {
            line.remove(job);
        }
    }

    private void serve() {
        while (!hung && busy < cores && !line.isEmpty()) {
            PodTry job = line.poll();
            job.runs = true;
            busy++;
            int in = start;
            agenda.scheduleAfter(
                    (long) (job.workNs / speed / warmth()),
                    () -> {
                        if (in == start) {
                            ends(job);
                        }
                    });
        }
    }

    private void ends(PodTry job) {
        if (hung) {
            // Its core hangs with it.
            atHang.add(job);
            return;
        }
        finish(job, TryOutcome.OK);
        serve();
    }

    private void finish(PodTry job, TryOutcome ending) {
        busy--;
        if (!job.cancelled) {
            job.done.accept(ending);
        }
    }
}
