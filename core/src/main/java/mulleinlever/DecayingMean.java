package mulleinlever;

/** A decaying mean, which leans to a given value while it has seen little. */
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

    void add(long nowNs, double value, double weight) {
        weightedSum.add(nowNs, value * weight);
        totalWeight.add(nowNs, weight);
    }

    LearnedState.WeightedMean snapshot(long nowNs) {
        double weight = totalWeight.valueAt(nowNs);
        return new LearnedState.WeightedMean(
                weight > 0 ? weightedSum.valueAt(nowNs) / weight : 0, weight);
    }

    /** Takes a remembered mean, for so many outcomes at most. */
    void restore(long nowNs, LearnedState.WeightedMean learned, double maxWeight) {
        add(nowNs, learned.mean(), Math.min(learned.weight(), maxWeight));
    }

    double meanAt(long nowNs, double priorMean, double priorWeight) {
        return (weightedSum.valueAt(nowNs) + priorMean * priorWeight)
                / (totalWeight.valueAt(nowNs) + priorWeight);
    }
}
