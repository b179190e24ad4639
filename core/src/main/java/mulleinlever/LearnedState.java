package mulleinlever;

/**
 * A piece of what a {@link Policy} has learned, as plain values: {@link Policy#exportLearned}
 * returns the pieces, {@link Policy#restoreLearned} takes them. Times are in nanoseconds. The names
 * of the components are stored.
 */
public sealed interface LearnedState {
    /**
     * A mean with its weight.
     *
     * @param weight the decayed number of outcomes that it stands for
     */
    record WeightedMean(double mean, double weight) {}

    /**
     * The statistics of a pod.
     *
     * @param is its entry on the list; another start or build under the same id is another pod
     * @param slowness its try times as a multiple of the mean of their route
     * @param late the share that was late of its tries that count as evidence on its build
     * @param strikes its failure score; 0 without recent failures
     */
    record PodStats(PodEntry is, WeightedMean slowness, WeightedMean late, int strikes)
            implements LearnedState {}

    /**
     * The try times of a route.
     *
     * @param build the newest build at the time of the export
     * @param times the recent try times, in nanoseconds
     * @param usual the try times of the baseline, from which the late threshold follows, in
     *     nanoseconds
     */
    record RouteStats(String route, int build, WeightedMean times, WeightedMean usual)
            implements LearnedState {}

    /** The share of new connections that were refused, and of tries that were never answered. */
    record ConnectionStats(WeightedMean refused, WeightedMean unanswered) implements LearnedState {}

    /**
     * The long-term mean of a detector, with its deviation.
     *
     * @param build the newest build at the time of the export
     * @param route the name of the route; empty for all routes together
     * @param ofLate whether the detector is about lateness and not about failures
     * @param samples the number of samples that it was learned from, one per second
     */
    record DetectorBaseline(
            int build, String route, boolean ofLate, double mean, double deviation, double samples)
            implements LearnedState {}

    /** The newest build that has answered a one-way key. */
    record KeyBuild(long key, int build) implements LearnedState {}
}
