package mulleinlever.lab.emu;

import java.util.PriorityQueue;

/**
 * Runs actions in virtual time, ordered by time and then by the order in which they were scheduled,
 * so that a run is the same on every machine. Not thread-safe.
 */
public final class VirtualTimeScheduler {
    /** An action with its due time. */
    private static final class ScheduledTask implements Comparable<ScheduledTask> {
        private final long atNs;
        private final long sequenceNumber;
        private final Runnable action;

        ScheduledTask(long atNs, long sequenceNumber, Runnable action) {
            this.atNs = atNs;
            this.sequenceNumber = sequenceNumber;
            this.action = action;
        }

        @Override
        public int compareTo(ScheduledTask other) {
            return atNs != other.atNs
                    ? Long.compare(atNs, other.atNs)
                    : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(1024);
    private long nowNs;
    private long nextSequenceNumber;

    public VirtualTimeScheduler(long startNs) {
        this.nowNs = startNs;
    }

    /** Returns the virtual time. */
    public long nowNs() {
        return nowNs;
    }

    /** Schedules an action; if {@code atNs} is in the past, it is due now. */
    public void scheduleAt(long atNs, Runnable action) {
        tasks.add(new ScheduledTask(Math.max(atNs, nowNs), nextSequenceNumber++, action));
    }

    public void scheduleAfter(long delayNs, Runnable action) {
        scheduleAt(nowNs + delayNs, action);
    }

    /** Runs all actions that are due up to a time, and advances the virtual time to it. */
    public void runUntil(long untilNs) {
        while (!tasks.isEmpty() && tasks.peek().atNs <= untilNs) {
            ScheduledTask task = tasks.poll();
            nowNs = task.atNs;
            task.action.run();
        }
        nowNs = Math.max(nowNs, untilNs);
    }
}
