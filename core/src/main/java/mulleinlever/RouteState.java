package mulleinlever;

/** One route: its settings, its place in the table and what its tries take. */
final class RouteState {
    final Settings.RouteSettings settings;
    final int index;
    final DecayingMean tryTimes;
    final DecayingMean baselineTryTimes;
    double lateThresholdNs;

    private double initialMeanNs;

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
     * What was remembered stands in for the settings' guess, so that the first answer counts as
     * much. The mark of lateness, so many times the usual mean, is taken where that is above 0.
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

    double valuePerNs(long nowNs) {
        return settings.value() / meanTryTimeNs(nowNs);
    }
}
