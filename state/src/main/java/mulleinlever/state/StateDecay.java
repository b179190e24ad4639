package mulleinlever.state;

import mulleinlever.LearnedState;

/**
 * Reduces the weight of restored state according to its age, and drops state that is too old. It
 * reads no clock: callers pass the age in nanoseconds, or {@link #UNKNOWN_AGE_NS} where the clock
 * was set back or the snapshot was captured by another clock.
 */
public final class StateDecay {
    /**
     * Stands for an age that can't be determined. State that changes within minutes is dropped
     * then, and the weight of the rest is halved.
     */
    public static final long UNKNOWN_AGE_NS = -1;

    private static final long SECOND_NS = 1_000_000_000L;
    private static final long MINUTE_NS = 60 * SECOND_NS;
    private static final long HOUR_NS = 60 * MINUTE_NS;
    private static final long DAY_NS = 24 * HOUR_NS;

    /** The minimum weight, in outcomes, below which a mean carries no information. */
    private static final double MIN_WEIGHT = 0.1;

    /** The categories of state, each with its half-life and its maximum age. */
    public enum Category {
        /**
         * Statistics of pods. A slow or hung pod is restarted or recovers within minutes, and
         * avoiding a healthy pod wastes capacity.
         */
        PODS(MINUTE_NS, 15 * MINUTE_NS, false),
        /**
         * Statistics of connections. Connections are refused only while some cause lasts, and since
         * then other clients may hold the connections in question.
         */
        CONNECTIONS(15 * SECOND_NS, 2 * MINUTE_NS, false),
        /**
         * Statistics of routes. The duration of a route's tries changes with builds and the time of
         * day.
         */
        ROUTES(10 * MINUTE_NS, DAY_NS, true),
        /**
         * Baselines of the detectors: the share of failures of the earlier build, which holds as
         * long as that build remains the earlier one.
         */
        BASELINES(HOUR_NS, DAY_NS, true),
        /**
         * One-way keys. Which builds may answer a key is a rule and not an estimate, so it does not
         * decay, but long after its build it no longer constrains anything.
         */
        KEYS(Long.MAX_VALUE, DAY_NS, true),
        /**
         * The pod list. Discovery provides a newer list at once; if it is unavailable, an old list
         * may contain addresses that now belong to other processes.
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
     * Returns the age of state captured at a Unix time in milliseconds, in nanoseconds. Returns
     * {@link #UNKNOWN_AGE_NS} if that time is not positive, or is in the future because the clock
     * was set.
     *
     * @param nowNs the current Unix time in nanoseconds
     */
    public static long computeAgeNs(long capturedUnixMs, long nowNs) {
        long capturedNs = Math.multiplyExact(capturedUnixMs, 1_000_000L);
        return capturedNs > nowNs || capturedNs <= 0 ? UNKNOWN_AGE_NS : nowNs - capturedNs;
    }

    /** Returns the fraction of the weight that remains at an age; 0 if the category is dropped. */
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
                        ? Category.CONNECTIONS
                        : value instanceof LearnedState.RouteStats
                                ? Category.ROUTES
                                : value instanceof LearnedState.DetectorBaseline
                                        ? Category.BASELINES
                                        : Category.KEYS;
    }

    /**
     * Returns a learned value with its weights reduced by age. A mean whose weight falls below 0.1
     * outcomes, or a baseline of less than one sample, is dropped. Returns null if nothing remains.
     */
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
