package mulleinlever;

/**
 * One thing that a {@link Policy} learned, as plain values: {@link Policy#exportLearned} gives them
 * out, {@link Policy#restoreLearned} takes them in. Times are nanoseconds.
 */
public sealed interface LearnedState {
    /** A mean and the number of outcomes, faded, that it stands for. */
    record WeightedMean(double mean, double weight) {}

    /**
     * What a pod's tries have shown.
     *
     * @param is its line of the list; another start or build under the same id is another pod
     * @param slowness how long its answers take against their route's mean
     * @param late the share of its tries that were late, as evidence on builds counts it
     * @param strikes how badly it failed of late; 0 where it did not
     */
    record PodStats(PodEntry is, WeightedMean slowness, WeightedMean late, int strikes)
            implements LearnedState {}

    /**
     * What a route's tries take.
     *
     * @param build the newest build at that time
     * @param times its tries of late, in nanoseconds
     * @param usual its tries before the trial, by which a try counts as late, in nanoseconds
     */
    record RouteStats(String route, int build, WeightedMean times, WeightedMean usual)
            implements LearnedState {}

    /** The share of new connections refused, and of tries never answered. */
    record ConnectionStats(WeightedMean refused, WeightedMean unanswered) implements LearnedState {}

    /**
     * The long-term pair of one detector.
     *
     * @param build the newest build at that time
     * @param route empty for all routes together
     * @param samples how many seconds it was learned from
     */
    record DetectorBaseline(
            int build, String route, boolean ofLate, double mean, double deviation, double samples)
            implements LearnedState {}

    /** The newest build that has answered a key which can't go back. */
    record KeyBuild(long key, int build) implements LearnedState {}
}
