package mulleinlever;

import java.util.SplittableRandom;

/** A pod as this sidecar knows it: its line of the list, and what its tries have shown. */
final class Pod {
    final String id;
    PodEntry is;

    /** When it started, by our own clock; 0 for long ago. */
    long startedNs;

    /** One for all pods that lie there. */
    ZoneReachability zone;

    int open;
    long owesSinceNs;
    long heardNs = Long.MIN_VALUE / 2;

    /**
     * When the last request that it has served was sent, and when a connection to it last failed.
     */
    long servedSentNs = Long.MIN_VALUE / 2;

    long brokeNs = Long.MIN_VALUE / 2;
    int strikes;
    long sickUntilNs;
    final DecayingMean slowness;
    final DecayingMean late;
    double coldLeft;
    private long coldAtNs;
    private long goneSinceNs;

    Pod(PodEntry is, long halfLifeNs) {
        this.id = is.id();
        this.is = is;
        this.startedNs = is.startedNs();
        this.slowness = new DecayingMean(halfLifeNs);
        this.late = new DecayingMean(2 * halfLifeNs);
    }

    /** It owes answers and has given none for long. */
    boolean silent(long nowNs, double afterNs) {
        return open > 0 && nowNs - owesSinceNs > afterNs;
    }

    void hear(long nowNs, boolean unanswered, boolean unreached) {
        if (!unanswered) {
            owesSinceNs = nowNs;
            heardNs = unreached ? Long.MIN_VALUE / 2 : nowNs;
        }
    }

    LearnedState.PodStats learned(long nowNs) {
        return new LearnedState.PodStats(is, slowness.figure(nowNs), late.figure(nowNs), strikes);
    }

    /** Takes what was remembered of it; false where that was of another machine under its id. */
    boolean recall(long nowNs, LearnedState.PodStats was, double most, int mostStrikes) {
        if (isThatOf(was.is())) {
            slowness.recall(nowNs, was.slowness(), most);
            late.recall(nowNs, was.late(), most);
            strikes = Math.min(mostStrikes, was.strikes());
        }
        return isThatOf(was.is());
    }

    /** Whether this still is the pod of which that was learned. */
    boolean isThatOf(PodEntry then) {
        return is.startedNs() == then.startedNs() && is.build() == then.build();
    }

    boolean ready() {
        return is.state() == PodEntry.State.READY;
    }

    /**
     * How long it has been gone with nothing left open, as far as it was asked; 0 while it is not.
     */
    long goneFor(long nowNs) {
        boolean gone = is.state() == PodEntry.State.GONE && open == 0;
        goneSinceNs = gone && goneSinceNs > 0 ? goneSinceNs : nowNs;
        return nowNs - goneSinceNs;
    }

    /**
     * What is saved up for a cold pod at a rate a second, up to a limit, from a random start below
     * 1.
     */
    double saveCold(long nowNs, double rate, double most, SplittableRandom random) {
        coldLeft =
                coldAtNs == 0
                        ? random.nextDouble()
                        : Math.min(most, coldLeft + rate * (nowNs - coldAtNs) / 1e9);
        coldAtNs = nowNs;
        return coldLeft;
    }

    /**
     * Takes a new line of the list. An id may come back as another machine: its past counts for
     * nothing.
     */
    void take(
            PodEntry entry,
            ZoneReachability in,
            PodStartEstimator starts,
            long listTrueNs,
            long nowNs) {
        if (zone == null || !isThatOf(entry)) {
            startedNs = starts.startedNs(entry.startedNs(), listTrueNs, nowNs);
        }
        if (!isThatOf(entry)) {
            servedSentNs = Long.MIN_VALUE / 2;
            strikes = 0;
            coldAtNs = 0;
        }
        is = entry;
        zone = in;
    }
}
