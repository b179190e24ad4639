package mulleinlever.lab.emu;

import java.util.PriorityQueue;

/**
 * What happens in virtual time, in the order of the time and then of the asking: the same on every
 * machine.
 */
public final class VirtualTimeScheduler {
    private static final class ScheduledTask implements Comparable<ScheduledTask> {
        private final long atNs;
        private final long no;
        private final Runnable what;

        ScheduledTask(long atNs, long no, Runnable what) {
            this.atNs = atNs;
            this.no = no;
            this.what = what;
        }

        @Override
        public int compareTo(ScheduledTask other) {
            return atNs != other.atNs ? Long.compare(atNs, other.atNs) : Long.compare(no, other.no);
        }
    }

    private final PriorityQueue<ScheduledTask> entries = new PriorityQueue<>(1024);
    private long nowNs;
    private long asked;

    public VirtualTimeScheduler(long startNs) {
        this.nowNs = startNs;
    }

    /** Virtual time, in nanoseconds. */
    public long nowNs() {
        return nowNs;
    }

    /** What is asked for in the past happens now. */
    public void scheduleAt(long ns, Runnable what) {
        entries.add(new ScheduledTask(Math.max(ns, nowNs), asked++, what));
    }

    public void scheduleAfter(long ns, Runnable what) {
        scheduleAt(nowNs + ns, what);
    }

    /** Lets happen all that is due until a time, and goes to that time. */
    public void runUntil(long ns) {
        while (!entries.isEmpty() && entries.peek().atNs <= ns) {
            ScheduledTask e = entries.poll();
            nowNs = e.atNs;
            e.what.run();
        }
        nowNs = Math.max(nowNs, ns);
    }
}
