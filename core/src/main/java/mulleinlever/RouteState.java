package mulleinlever;

/**
 * A route: its settings, its index among the routes and the times of its tries. Changed by {@link
 * Policy} on the event loop. Times are nanoseconds.
 */
final class RouteState {
    final Settings.RouteSettings settings;
    final int index;
    final DecayingMean tryTimes;

    /** The times of tries outside trials, from which the late threshold is derived. */
    final DecayingMean baselineTryTimes;

    /** The time above which a try counts as late. */
    double lateThresholdNs;

    /** The mean try time that is assumed before any try has been seen. */
    private double initialMeanNs;

    /**
     * @param initialMeanRatio the mean try time that is assumed at first, divided by the latency
     *     objective
     */
    RouteState(
            Settings.RouteSettings settings, int index, long halfLifeNs, double initialMeanRatio) {
        this.settings = settings;
        this.index = index;
        this.lateThresholdNs = settings.latencyObjectiveNs();
        this.tryTimes = new DecayingMean(halfLifeNs);
        this.baselineTryTimes = new DecayingMean(2 * halfLifeNs);
        this.initialMeanNs = initialMeanRatio * settings.latencyObjectiveNs();
    }

    LearnedState.RouteStats toLearned(long nowNs, int build) {
        return new LearnedState.RouteStats(
                settings.name(), build, tryTimes.snapshot(nowNs), baselineTryTimes.snapshot(nowNs));
    }

    /**
     * Restores what an earlier process learned of the route. The remembered mean is merged into the
     * initial mean, which keeps its weight, so that the first answers count as much as without it.
     *
     * @param maxWeight the maximum weight that the remembered baseline gets
     * @param lateMeanMultiple the late threshold as a multiple of the baseline's mean; 0 to leave
     *     baseline and threshold as they are
     */
    void restore(
            long nowNs,
            LearnedState.RouteStats learned,
            double maxWeight,
            double lateMeanMultiple) {
        initialMeanNs =
                (initialMeanNs + learned.times().mean() * learned.times().weight())
                        / (1 + learned.times().weight());
        if (lateMeanMultiple > 0 && learned.usual().weight() > 0) {
            baselineTryTimes.restore(nowNs, learned.usual(), maxWeight);
            lateThresholdNs = lateMeanMultiple * learned.usual().mean();
        }
    }

    double meanTryTimeNs(long nowNs) {
        return tryTimes.meanAt(nowNs, initialMeanNs, 1);
    }

    /** Returns the value of a completed req per nanosecond of mean try time. */
    double valuePerNs(long nowNs) {
        return settings.value() / meanTryTimeNs(nowNs);
    }
}
