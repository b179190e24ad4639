package mulleinlever;

/**
 * A mean in which values lose half of their weight every half-life. Used by {@link Policy} on the
 * event loop.
 */
final class DecayingMean {
    private final DecayingSum weightedSum;
    private final DecayingSum totalWeight;

    DecayingMean(long halfLifeNs) {
        weightedSum = new DecayingSum(halfLifeNs);
        totalWeight = new DecayingSum(halfLifeNs);
    }

    void add(long nowNs, double value) {
        add(nowNs, value, 1);
    }

    /** Adds a value that counts as {@code weight} values. */
    void add(long nowNs, double value, double weight) {
        weightedSum.add(nowNs, value * weight);
        totalWeight.add(nowNs, weight);
    }

    /** Returns the mean, 0 if there are no values, and the decayed number of values. */
    LearnedState.WeightedMean snapshot(long nowNs) {
        double weight = totalWeight.valueAt(nowNs);
        return new LearnedState.WeightedMean(
                weight > 0 ? weightedSum.valueAt(nowNs) / weight : 0, weight);
    }

    /** Adds a remembered mean, with its own weight limited to {@code maxWeight}. */
    void restore(long nowNs, LearnedState.WeightedMean learned, double maxWeight) {
        add(nowNs, learned.mean(), Math.min(learned.weight(), maxWeight));
    }

    /**
     * Returns the mean together with a prior.
     *
     * @param priorMean the mean that is assumed before there are values
     * @param priorWeight the number of values that the prior counts for
     */
    double meanAt(long nowNs, double priorMean, double priorWeight) {
        return (weightedSum.valueAt(nowNs) + priorMean * priorWeight)
                / (totalWeight.valueAt(nowNs) + priorWeight);
    }
}
