package mulleinlever;

import java.util.ArrayDeque;

/** A pod as this sidecar knows it: its line of the list, and what its tries have shown. */
final class Pod {
    final String id;
    PodEntry is;
    int open;
    long owesSinceNs;
    int strikes;
    long sickForNs;
    long sickUntilNs;
    final Mean slowness;
    final Mean failures;
    final Mean late;
    final Decay completed;
    final ArrayDeque<Long> sentCold = new ArrayDeque<>();

    Pod(PodEntry is, long halfLifeNs) {
        this.id = is.id();
        this.is = is;
        this.slowness = new Mean(halfLifeNs);
        this.failures = new Mean(halfLifeNs);
        this.late = new Mean(2 * halfLifeNs);
        this.completed = new Decay(halfLifeNs);
    }
}
