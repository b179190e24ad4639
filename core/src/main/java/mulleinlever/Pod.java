package mulleinlever;

import java.util.SplittableRandom;

/**
 * A pod as this sidecar knows it: its entry in the pod list and what tries have shown of it.
 * Changed by {@link Policy} on the event loop. Times are nanoseconds.
 */
final class Pod {
    final String id;
    PodEntry listEntry;

    /** When the pod started, by the clock of this sidecar; 0 for long ago. */
    long startedNs;

    /** Shared by all pods of the zone; null until the first {@link #update}. */
    ZoneReachability zoneReachability;

    int openTryCount;

    /**
     * Since when the pod has given no answer to any of its open tries; meaningless while none is
     * open.
     */
    long unansweredSinceNs;

    /** When the pod last answered; long ago if a connection attempt has failed since. */
    long lastAnswerNs = Long.MIN_VALUE / 2;

    /** When the latest of the tries that the pod has served was sent. */
    long lastServedSentNs = Long.MIN_VALUE / 2;

    /** When a connection to the pod last failed. */
    long lastConnectionFailureNs = Long.MIN_VALUE / 2;

    /** Raised by failed tries and lowered by successful ones; a high score ejects the pod. */
    int failureScore;

    long ejectedUntilNs;

    /** The mean of try time divided by the mean try time of the route. */
    final DecayingMean relativeLatency;

    /** The share that was late of the tries that count as evidence on the build of the pod. */
    final DecayingMean lateShare;

    /** The number of tries that may be sent at this moment during slow start. */
    double slowStartTokens;

    /** When {@link #slowStartTokens} was last refilled; 0 before the first time. */
    private long lastRefillNs;

    /** When the time that {@link #idleSinceGoneNs} returns began; 0 before its first call. */
    private long goneSinceNs;

    Pod(PodEntry entry, long halfLifeNs) {
        this.id = entry.id();
        this.listEntry = entry;
        this.startedNs = entry.startedNs();
        this.relativeLatency = new DecayingMean(halfLifeNs);
        this.lateShare = new DecayingMean(2 * halfLifeNs);
    }

    /** Returns whether the pod has open tries and has answered none for {@code thresholdNs}. */
    boolean isUnresponsive(long nowNs, double thresholdNs) {
        return openTryCount > 0 && nowNs - unansweredSinceNs > thresholdNs;
    }

    /**
     * Called when a try at the pod has ended.
     *
     * @param unanswered whether it timed out or was cancelled
     * @param connectFailed whether no connection could be opened
     */
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

    /**
     * Restores what an earlier process learned of the pod, unless that is about another instance
     * under the same id.
     *
     * @param maxWeight the maximum weight that a remembered mean gets
     * @param maxFailureScore the maximum failure score after the restore
     * @return false if it is about another instance
     */
    boolean restore(
            long nowNs, LearnedState.PodStats learned, double maxWeight, int maxFailureScore) {
        if (isSameInstance(learned.is())) {
            relativeLatency.restore(nowNs, learned.slowness(), maxWeight);
            lateShare.restore(nowNs, learned.late(), maxWeight);
            failureScore = Math.min(maxFailureScore, learned.strikes());
        }
        return isSameInstance(learned.is());
    }

    /** Returns whether the entry describes the same start and build of the pod. */
    boolean isSameInstance(PodEntry entry) {
        return listEntry.startedNs() == entry.startedNs() && listEntry.build() == entry.build();
    }

    boolean isReady() {
        return listEntry.state() == PodEntry.State.READY;
    }

    /**
     * Returns for how long the pod has been gone without open tries, counted from the first call
     * that found it so; 0 while it is not.
     */
    long idleSinceGoneNs(long nowNs) {
        boolean gone = listEntry.state() == PodEntry.State.GONE && openTryCount == 0;
        goneSinceNs = gone && goneSinceNs > 0 ? goneSinceNs : nowNs;
        return nowNs - goneSinceNs;
    }

    /**
     * Refills the slow-start tokens and returns their number. They start at a random number below
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
     * Takes over a new list entry. The same id may come back as another machine: the failure score,
     * the slow-start tokens and the latest served try then start afresh.
     *
     * @param reachability the reachability of the zone in the entry
     * @param listConfirmedNs when the list was last known to be correct without this entry
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
