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
    private long lastRefillNs;
    private long goneSinceNs;

    Pod(PodEntry entry, long halfLifeNs) {
        this.id = entry.id();
        this.listEntry = entry;
        this.startedNs = entry.startedNs();
        this.relativeLatency = new DecayingMean(halfLifeNs);
        this.lateShare = new DecayingMean(2 * halfLifeNs);
    }

    /** It owes answers and has given none for long. */
    boolean isUnresponsive(long nowNs, double thresholdNs) {
        return openTryCount > 0 && nowNs - unansweredSinceNs > thresholdNs;
    }

    void onTryEnded(long nowNs, boolean unanswered, boolean connectFailed) {
        if (!unanswered) {
            unansweredSinceNs = nowNs;
            lastAnswerNs = connectFailed ? Long.MIN_VALUE / 2 : nowNs;
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
    boolean restore(
            long nowNs, LearnedState.PodStats learned, double maxWeight, int maxFailureScore) {
        if (isSameInstance(learned.is())) {
            relativeLatency.restore(nowNs, learned.slowness(), maxWeight);
            lateShare.restore(nowNs, learned.late(), maxWeight);
            failureScore = Math.min(maxFailureScore, learned.strikes());
        }
        return isSameInstance(learned.is());
    }

    /** Whether this still is the pod of which that was learned. */
    boolean isSameInstance(PodEntry entry) {
        return listEntry.startedNs() == entry.startedNs() && listEntry.build() == entry.build();
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
    double refillSlowStartTokens(
            long nowNs, double tokensPerSecond, double maxTokens, SplittableRandom random) {
        slowStartTokens =
                lastRefillNs == 0
                        ? random.nextDouble()
                        : Math.min(
                                maxTokens,
                                slowStartTokens + tokensPerSecond * (nowNs - lastRefillNs) / 1e9);
        lastRefillNs = nowNs;
        return slowStartTokens;
    }

    /**
     * Takes a new line of the list. An id may come back as another machine: its past counts for
     * nothing.
     */
    void update(
            PodEntry entry,
            ZoneReachability reachability,
            PodStartEstimator startEstimator,
            long listConfirmedNs,
            long nowNs) {
        if (zoneReachability == null || !isSameInstance(entry)) {
            startedNs = startEstimator.estimateStartNs(entry.startedNs(), listConfirmedNs, nowNs);
        }
        if (!isSameInstance(entry)) {
            lastServedSentNs = Long.MIN_VALUE / 2;
            failureScore = 0;
            lastRefillNs = 0;
        }
        listEntry = entry;
        zoneReachability = reachability;
    }
}
