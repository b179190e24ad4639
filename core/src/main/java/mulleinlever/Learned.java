package mulleinlever;

/**
 * One thing that a {@link Policy} learned, as plain values: {@link Policy#learned} gives them out,
 * {@link Policy#recall} takes them in. Times are nanoseconds.
 */
public sealed interface Learned {
    /** A mean and the number of outcomes, faded, that it stands for. */
    record Figure(double mean, double weight) {}

    /**
     * What a pod's tries have shown.
     *
     * @param is its line of the list; another start or build under the same id is another pod
     * @param slowness how long its answers take against their route's mean
     * @param late the share of its tries that were late, as evidence on builds counts it
     * @param strikes how badly it failed of late; 0 where it did not
     */
    record OfPod(PodEntry is, Figure slowness, Figure late, int strikes) implements Learned {}

    /**
     * What a route's tries take.
     *
     * @param build the newest build at that time
     * @param times its tries of late, in nanoseconds
     * @param usual its tries before the trial, by which a try counts as late, in nanoseconds
     */
    record OfRoute(String route, int build, Figure times, Figure usual) implements Learned {}

    /** The share of new connections refused, and of tries never answered. */
    record OfLinks(Figure refused, Figure unanswered) implements Learned {}

    /**
     * The long-term pair of one detector.
     *
     * @param build the newest build at that time
     * @param route empty for all routes together
     * @param samples how many seconds it was learned from
     */
    record OfBaseline(
            int build, String route, boolean ofLate, double mean, double deviation, double samples)
            implements Learned {}

    /** The newest build that has answered a key which can't go back. */
    record OfKey(long key, int build) implements Learned {}
}
