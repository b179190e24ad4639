package mulleinlever.lab.emu;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mulleinlever.PodEntry;
import mulleinlever.TryOutcome;

/**
 * An emulated pod, whose cores serve one queue in the order of arrival. It can be slow or hung, and
 * a pod that has just started has a lower speed.
 */
public final class EmulatedPod {
    /** A try at the pod, which is handed out so that it can be cancelled. */
    public static final class PodTry {
        private final long workNs;
        private final Consumer<TryOutcome> onEnded;
        private boolean cancelled;
        private boolean running;

        PodTry(long workNs, Consumer<TryOutcome> onEnded) {
            this.workNs = workNs;
            this.onEnded = onEnded;
        }
    }

    private final VirtualTimeScheduler scheduler;
    private final int cores;
    private final int maxQueueLength;
    private final ArrayDeque<PodTry> queue = new ArrayDeque<>();

    /** Tries whose work is done while the pod hangs. */
    private final List<PodTry> hungTries = new ArrayList<>();

    private PodEntry entry;
    private double speed = 1;
    private boolean hung;
    private int busyCoreCount;
    private long arrivedTryCount;
    private int startCount;

    EmulatedPod(VirtualTimeScheduler scheduler, PodEntry entry, int cores, int maxQueueLength) {
        this.scheduler = scheduler;
        this.entry = entry;
        this.cores = cores;
        this.maxQueueLength = maxQueueLength;
    }

    public PodEntry entry() {
        return entry;
    }

    /** Restarts the pod. Tries at the instance before are lost without an answer. */
    void restart(PodEntry newEntry) {
        entry = newEntry;
        queue.clear();
        hungTries.clear();
        busyCoreCount = 0;
        startCount++;
    }

    /** Returns the speed as a share of the usual one; below 1 during slow start. */
    private double slowStartFactor() {
        double ageShare =
                (scheduler.nowNs() - entry.startedNs()) / (double) EmulationSettings.SLOW_START_NS;
        return entry.startedNs() == 0 || ageShare >= 1
                ? 1
                : EmulationSettings.INITIAL_CAPACITY_SHARE
                        + (1 - EmulationSettings.INITIAL_CAPACITY_SHARE) * Math.max(0, ageShare);
    }

    /** Sets the speed as a multiple of the usual one; at 0.2 tries take five times as long. */
    public void setSpeed(double factor) {
        speed = factor;
    }

    /**
     * Sets whether the pod hangs: it then accepts tries, and answers none until it stops hanging.
     */
    public void setHung(boolean hangs) {
        hung = hangs;
        if (!hung) {
            List<PodTry> ended = List.copyOf(hungTries);
            hungTries.clear();
            ended.forEach(podTry -> finish(podTry, TryOutcome.OK));
            startQueuedTries();
        }
    }

    /** Returns the number of tries that have arrived. */
    public long arrivedTryCount() {
        return arrivedTryCount;
    }

    /**
     * Adds a try to the queue; it is rejected at once with {@link TryOutcome#FULL} if the queue is
     * full.
     *
     * @param workNs the core time that it needs
     * @param onEnded called with the outcome, unless the try is cancelled
     */
    PodTry submit(long workNs, Consumer<TryOutcome> onEnded) {
        PodTry podTry = new PodTry(workNs, onEnded);
        arrivedTryCount++;
        if (queue.size() >= maxQueueLength) {
            onEnded.accept(TryOutcome.FULL);
            return podTry;
        }
        queue.add(podTry);
        startQueuedTries();
        return podTry;
    }

    /** Cancels a try: a queued one is removed, a running one occupies its core to the end. */
    void cancel(PodTry podTry) {
        podTry.cancelled = true;
        if (!podTry.running) {
            queue.remove(podTry);
        }
    }

    private void startQueuedTries() {
        while (!hung && busyCoreCount < cores && !queue.isEmpty()) {
            PodTry podTry = queue.poll();
            podTry.running = true;
            busyCoreCount++;
            int startNumber = startCount;
            scheduler.scheduleAfter(
                    (long) (podTry.workNs / speed / slowStartFactor()),
                    () -> {
                        if (startNumber == startCount) {
                            onWorkDone(podTry);
                        }
                    });
        }
    }

    private void onWorkDone(PodTry podTry) {
        if (hung) {
            // The try keeps its core while the pod hangs.
            hungTries.add(podTry);
            return;
        }
        finish(podTry, TryOutcome.OK);
        startQueuedTries();
    }

    private void finish(PodTry podTry, TryOutcome outcome) {
        busyCoreCount--;
        if (!podTry.cancelled) {
            podTry.onEnded.accept(outcome);
        }
    }
}
