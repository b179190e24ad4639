package mulleinlever;

import java.util.SplittableRandom;

/** A pod as this sidecar knows it: its line of the list, and what its tries have shown. */
final class Pod {
    final String id;
    PodEntry listEntry;

    /** When it started, by our own clock; 0 for long ago. */
    long startedNs;

    /** One for all pods that lie there. */
    ZoneReachability zoneReachability;

    int openTryCount;
    long unansweredSinceNs;
    long lastAnswerNs = Long.MIN_VALUE / 2;

    /**
     * When the last request that it has served was sent, and when a connection to it last failed.
     */
    long lastServedSentNs = Long.MIN_VALUE / 2;

    long lastConnectionFailureNs = Long.MIN_VALUE / 2;
    int failureScore;
    long ejectedUntilNs;
    final DecayingMean relativeLatency;
    final DecayingMean lateShare;
    double slowStartTokens;
    private long coldAtNs;
    private long goneSinceNs;

    Pod(PodEntry is, long halfLifeNs) {
        this.id = is.id();
        this.listEntry = is;
        this.startedNs = is.startedNs();
        this.relativeLatency = new DecayingMean(halfLifeNs);
        this.lateShare = new DecayingMean(2 * halfLifeNs);
    }

    /** It owes answers and has given none for long. */
    boolean isUnresponsive(long nowNs, double afterNs) {
        return openTryCount > 0 && nowNs - unansweredSinceNs > afterNs;
    }

    void onTryEnded(long nowNs, boolean unanswered, boolean unreached) {
        if (!unanswered) {
            unansweredSinceNs = nowNs;
            lastAnswerNs = unreached ? Long.MIN_VALUE / 2 : nowNs;
        }
    }

    LearnedState.PodStats toLearned(long nowNs) {
        return new LearnedState.PodStats(
                listEntry,
                relativeLatency.snapshot(nowNs),
                lateShare.snapshot(nowNs),
                failureScore);
    }

    /** Takes what was remembered of it; false where that was of another machine under its id. */
    boolean restore(long nowNs, LearnedState.PodStats was, double most, int mostStrikes) {
        if (isSameInstance(was.is())) {
            relativeLatency.restore(nowNs, was.slowness(), most);
            lateShare.restore(nowNs, was.late(), most);
            failureScore = Math.min(mostStrikes, was.strikes());
        }
        return isSameInstance(was.is());
    }

    /** Whether this still is the pod of which that was learned. */
    boolean isSameInstance(PodEntry then) {
        return listEntry.startedNs() == then.startedNs() && listEntry.build() == then.build();
    }

    boolean isReady() {
        return listEntry.state() == PodEntry.State.READY;
    }

    /**
     * How long it has been gone with nothing left open, as far as it was asked; 0 while it is not.
     */
    long idleSinceGoneNs(long nowNs) {
        boolean gone = listEntry.state() == PodEntry.State.GONE && openTryCount == 0;
        goneSinceNs = gone && goneSinceNs > 0 ? goneSinceNs : nowNs;
        return nowNs - goneSinceNs;
    }

    /**
     * What is saved up for a cold pod at a rate a second, up to a limit, from a random start below
     * 1.
     */
    double refillSlowStartTokens(long nowNs, double rate, double most, SplittableRandom random) {
        slowStartTokens =
                coldAtNs == 0
                        ? random.nextDouble()
                        : Math.min(most, slowStartTokens + rate * (nowNs - coldAtNs) / 1e9);
        coldAtNs = nowNs;
        return slowStartTokens;
    }

    /**
     * Takes a new line of the list. An id may come back as another machine: its past counts for
     * nothing.
     */
    void update(
            PodEntry entry,
            ZoneReachability in,
            PodStartEstimator starts,
            long listTrueNs,
            long nowNs) {
        if (zoneReachability == null || !isSameInstance(entry)) {
            startedNs = starts.estimateStartNs(entry.startedNs(), listTrueNs, nowNs);
        }
        if (!isSameInstance(entry)) {
            lastServedSentNs = Long.MIN_VALUE / 2;
            failureScore = 0;
            coldAtNs = 0;
        }
        listEntry = entry;
        zoneReachability = in;
    }
}
