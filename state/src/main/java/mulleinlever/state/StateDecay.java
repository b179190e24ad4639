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

    private static final long SECOND = 1_000_000_000L;
    private static final long MINUTE = 60 * SECOND;
    private static final long HOUR = 60 * MINUTE;
    private static final long DAY = 24 * HOUR;

    /** Below so many outcomes a figure says nothing. */
    private static final double LEAST = 0.1;

    /** What fades alike: its half-life, and the age beyond which nothing of it is taken. */
    public enum Category {
        /**
         * A slow or hung pod is restarted or recovers within minutes; wrong suspicion of it costs
         * room.
         */
        PODS(MINUTE, 15 * MINUTE, false),
        /** Connections are refused while something lasts, and others hold on to them since. */
        LINKS(15 * SECOND, 2 * MINUTE, false),
        /** What a route's work takes changes with builds and the hour of the day. */
        ROUTES(10 * MINUTE, DAY, true),
        /** The earlier build's share of failures, as long as it is the earlier build. */
        BASELINES(HOUR, DAY, true),
        /** A rule, not an estimate: it does not fade, but long after its build it binds nothing. */
        KEYS(Long.MAX_VALUE, DAY, true),
        /**
         * Discovery tells better at once; where it can't, an old list may name addresses that are
         * others' now.
         */
        POD_LIST(Long.MAX_VALUE, HOUR, false);

        final long halfLifeNs;
        final long maxAgeNs;
        final boolean isUsedAtUnknownAge;

        Category(long halfLifeNs, long mostNs, boolean agelessToo) {
            this.halfLifeNs = halfLifeNs;
            this.maxAgeNs = mostNs;
            this.isUsedAtUnknownAge = agelessToo;
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
    public static double remainingFraction(Category group, long ageNs) {
        if (ageNs == UNKNOWN_AGE_NS) {
            return group.isUsedAtUnknownAge ? 0.5 : 0;
        }
        return ageNs > group.maxAgeNs ? 0 : Math.pow(0.5, (double) ageNs / group.halfLifeNs);
    }

    static Category categoryOf(LearnedState one) {
        return one instanceof LearnedState.PodStats
                ? Category.PODS
                : one instanceof LearnedState.ConnectionStats
                        ? Category.LINKS
                        : one instanceof LearnedState.RouteStats
                                ? Category.ROUTES
                                : one instanceof LearnedState.DetectorBaseline
                                        ? Category.BASELINES
                                        : Category.KEYS;
    }

    /** What is left of one thing learned; null where nothing is. */
    public static LearnedState decay(LearnedState one, long ageNs) {
        double left = remainingFraction(categoryOf(one), ageNs);
        if (left == 0) {
            return null;
        }
        if (one instanceof LearnedState.PodStats p) {
            LearnedState.PodStats aged =
                    new LearnedState.PodStats(
                            p.is(),
                            faded(p.slowness(), left),
                            faded(p.late(), left),
                            (int) Math.round(p.strikes() * left));
            return aged.slowness().weight() + aged.late().weight() + aged.strikes() > 0
                    ? aged
                    : null;
        }
        if (one instanceof LearnedState.ConnectionStats l) {
            LearnedState.ConnectionStats aged =
                    new LearnedState.ConnectionStats(
                            faded(l.refused(), left), faded(l.unanswered(), left));
            return aged.refused().weight() + aged.unanswered().weight() > 0 ? aged : null;
        }
        if (one instanceof LearnedState.RouteStats r) {
            LearnedState.RouteStats aged =
                    new LearnedState.RouteStats(
                            r.route(), r.build(), faded(r.times(), left), faded(r.usual(), left));
            return aged.times().weight() + aged.usual().weight() > 0 ? aged : null;
        }
        if (one instanceof LearnedState.DetectorBaseline b) {
            double samples = b.samples() * left;
            return samples < 1
                    ? null
                    : new LearnedState.DetectorBaseline(
                            b.build(), b.route(), b.ofLate(), b.mean(), b.deviation(), samples);
        }
        return one;
    }

    private static LearnedState.WeightedMean faded(LearnedState.WeightedMean f, double left) {
        double weight = f.weight() * left;
        return weight < LEAST
                ? new LearnedState.WeightedMean(0, 0)
                : new LearnedState.WeightedMean(f.mean(), weight);
    }
}
