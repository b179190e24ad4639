package mulleinlever;

/** One route: its settings, its place in the table and what its tries take. */
final class RouteState {
    final Settings.RouteSettings is;
    final int at;
    final DecayingMean times;
    final DecayingMean usual;
    double lateNs;

    private double firstNs;

    RouteState(Settings.RouteSettings is, int at, long halfLifeNs, double firstMean) {
        this.is = is;
        this.at = at;
        this.lateNs = is.objectiveNs();
        this.times = new DecayingMean(halfLifeNs);
        this.usual = new DecayingMean(2 * halfLifeNs);
        this.firstNs = firstMean * is.objectiveNs();
    }

    LearnedState.RouteStats learned(long nowNs, int build) {
        return new LearnedState.RouteStats(
                is.name(), build, times.figure(nowNs), usual.figure(nowNs));
    }

    /**
     * What was remembered stands in for the settings' guess, so that the first answer counts as
     * much. The mark of lateness, so many times the usual mean, is taken where that is above 0.
     */
    void recall(long nowNs, LearnedState.RouteStats was, double most, double lateMeans) {
        firstNs =
                (firstNs + was.times().mean() * was.times().weight()) / (1 + was.times().weight());
        if (lateMeans > 0 && was.usual().weight() > 0) {
            usual.recall(nowNs, was.usual(), most);
            lateNs = lateMeans * was.usual().mean();
        }
    }

    double meanNs(long nowNs) {
        return times.read(nowNs, firstNs, 1);
    }

    double earningsPerNs(long nowNs) {
        return is.earnings() / meanNs(nowNs);
    }
}
