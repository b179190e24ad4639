package mulleinlever.state;

import mulleinlever.LearnedState;

/**
 * How what was remembered fades by the time that passed, and when a whole group of it is dropped.
 * It knows no clock: the age is told, in nanoseconds, or {@link #UNKNOWN_AGE_NS} where the clock
 * was set back or the file comes from another.
 */
public final class StateDecay {
    /**
     * No age that can be believed. What changes within minutes is dropped then, the rest counts
     * half.
     */
    public static final long UNKNOWN_AGE_NS = -1;

    private static final long SECOND_NS = 1_000_000_000L;
    private static final long MINUTE_NS = 60 * SECOND_NS;
    private static final long HOUR_NS = 60 * MINUTE_NS;
    private static final long DAY_NS = 24 * HOUR_NS;

    /** Below so many outcomes a figure says nothing. */
    private static final double MIN_WEIGHT = 0.1;

    /** What fades alike: its half-life, and the age beyond which nothing of it is taken. */
    public enum Category {
        /**
         * A slow or hung pod is restarted or recovers within minutes; wrong suspicion of it costs
         * room.
         */
        PODS(MINUTE_NS, 15 * MINUTE_NS, false),
        /** Connections are refused while something lasts, and others hold on to them since. */
        LINKS(15 * SECOND_NS, 2 * MINUTE_NS, false),
        /** What a route's work takes changes with builds and the hour of the day. */
        ROUTES(10 * MINUTE_NS, DAY_NS, true),
        /** The earlier build's share of failures, as long as it is the earlier build. */
        BASELINES(HOUR_NS, DAY_NS, true),
        /** A rule, not an estimate: it does not fade, but long after its build it binds nothing. */
        KEYS(Long.MAX_VALUE, DAY_NS, true),
        /**
         * Discovery tells better at once; where it can't, an old list may name addresses that are
         * others' now.
         */
        POD_LIST(Long.MAX_VALUE, HOUR_NS, false);

        final long halfLifeNs;
        final long maxAgeNs;
        final boolean isUsedAtUnknownAge;

        Category(long halfLifeNs, long maxAgeNs, boolean isUsedAtUnknownAge) {
            this.halfLifeNs = halfLifeNs;
            this.maxAgeNs = maxAgeNs;
            this.isUsedAtUnknownAge = isUsedAtUnknownAge;
        }
    }

    private StateDecay() {}

    /**
     * The age of what was captured at a Unix time in milliseconds, by a clock that may have been
     * set.
     */
    public static long computeAgeNs(long capturedUnixMs, long nowNs) {
        long capturedNs = Math.multiplyExact(capturedUnixMs, 1_000_000L);
        return capturedNs > nowNs || capturedNs <= 0 ? UNKNOWN_AGE_NS : nowNs - capturedNs;
    }

    /** The part of a figure's weight that is left; 0 where the group is dropped. */
    public static double remainingFraction(Category category, long ageNs) {
        if (ageNs == UNKNOWN_AGE_NS) {
            return category.isUsedAtUnknownAge ? 0.5 : 0;
        }
        return ageNs > category.maxAgeNs ? 0 : Math.pow(0.5, (double) ageNs / category.halfLifeNs);
    }

    static Category categoryOf(LearnedState value) {
        return value instanceof LearnedState.PodStats
                ? Category.PODS
                : value instanceof LearnedState.ConnectionStats
                        ? Category.LINKS
                        : value instanceof LearnedState.RouteStats
                                ? Category.ROUTES
                                : value instanceof LearnedState.DetectorBaseline
                                        ? Category.BASELINES
                                        : Category.KEYS;
    }

    /** What is left of one thing learned; null where nothing is. */
    public static LearnedState decay(LearnedState value, long ageNs) {
        double remaining = remainingFraction(categoryOf(value), ageNs);
        if (remaining == 0) {
            return null;
        }
        if (value instanceof LearnedState.PodStats pod) {
            LearnedState.PodStats decayed =
                    new LearnedState.PodStats(
                            pod.is(),
                            decayMean(pod.slowness(), remaining),
                            decayMean(pod.late(), remaining),
                            (int) Math.round(pod.strikes() * remaining));
            return decayed.slowness().weight() + decayed.late().weight() + decayed.strikes() > 0
                    ? decayed
                    : null;
        }
        if (value instanceof LearnedState.ConnectionStats connections) {
            LearnedState.ConnectionStats decayed =
                    new LearnedState.ConnectionStats(
                            decayMean(connections.refused(), remaining),
                            decayMean(connections.unanswered(), remaining));
            return decayed.refused().weight() + decayed.unanswered().weight() > 0 ? decayed : null;
        }
        if (value instanceof LearnedState.RouteStats route) {
            LearnedState.RouteStats decayed =
                    new LearnedState.RouteStats(
                            route.route(),
                            route.build(),
                            decayMean(route.times(), remaining),
                            decayMean(route.usual(), remaining));
            return decayed.times().weight() + decayed.usual().weight() > 0 ? decayed : null;
        }
        if (value instanceof LearnedState.DetectorBaseline baseline) {
            double samples = baseline.samples() * remaining;
            return samples < 1
                    ? null
                    : new LearnedState.DetectorBaseline(
                            baseline.build(),
                            baseline.route(),
                            baseline.ofLate(),
                            baseline.mean(),
                            baseline.deviation(),
                            samples);
        }
        return value;
    }

    private static LearnedState.WeightedMean decayMean(
            LearnedState.WeightedMean mean, double remaining) {
        double weight = mean.weight() * remaining;
        return weight < MIN_WEIGHT
                ? new LearnedState.WeightedMean(0, 0)
                : new LearnedState.WeightedMean(mean.mean(), weight);
    }
}
