package mulleinlever;

/** One route: its settings, its place in the table and what its tries take. */
final class RouteState {
    final Settings.RouteSettings settings;
    final int index;
    final DecayingMean tryTimes;
    final DecayingMean baselineTryTimes;
    double lateThresholdNs;

    private double firstNs;

    RouteState(Settings.RouteSettings is, int at, long halfLifeNs, double firstMean) {
        this.settings = is;
        this.index = at;
        this.lateThresholdNs = is.latencyObjectiveNs();
        this.tryTimes = new DecayingMean(halfLifeNs);
        this.baselineTryTimes = new DecayingMean(2 * halfLifeNs);
        this.firstNs = firstMean * is.latencyObjectiveNs();
    }

    LearnedState.RouteStats toLearned(long nowNs, int build) {
        return new LearnedState.RouteStats(
                settings.name(), build, tryTimes.snapshot(nowNs), baselineTryTimes.snapshot(nowNs));
    }

    /**
     * What was remembered stands in for the settings' guess, so that the first answer counts as
     * much. The mark of lateness, so many times the usual mean, is taken where that is above 0.
     */
    void restore(long nowNs, LearnedState.RouteStats was, double most, double lateMeans) {
        firstNs =
                (firstNs + was.times().mean() * was.times().weight()) / (1 + was.times().weight());
        if (lateMeans > 0 && was.usual().weight() > 0) {
            baselineTryTimes.restore(nowNs, was.usual(), most);
            lateThresholdNs = lateMeans * was.usual().mean();
        }
    }

    double meanTryTimeNs(long nowNs) {
        return tryTimes.meanAt(nowNs, firstNs, 1);
    }

    double valuePerNs(long nowNs) {
        return settings.value() / meanTryTimeNs(nowNs);
    }
}
