package mulleinlever;

/** A decaying mean, which leans to a given value while it has seen little. */
final class DecayingMean {
    private final DecayingSum sum;
    private final DecayingSum count;

    DecayingMean(long halfLifeNs) {
        sum = new DecayingSum(halfLifeNs);
        count = new DecayingSum(halfLifeNs);
    }

    void add(long nowNs, double x) {
        add(nowNs, x, 1);
    }

    void add(long nowNs, double x, double n) {
        sum.add(nowNs, x * n);
        count.add(nowNs, n);
    }

    LearnedState.WeightedMean snapshot(long nowNs) {
        double n = count.valueAt(nowNs);
        return new LearnedState.WeightedMean(n > 0 ? sum.valueAt(nowNs) / n : 0, n);
    }

    /** Takes a remembered mean, for so many outcomes at most. */
    void restore(long nowNs, LearnedState.WeightedMean f, double most) {
        add(nowNs, f.mean(), Math.min(f.weight(), most));
    }

    double meanAt(long nowNs, double lean, double leanCount) {
        return (sum.valueAt(nowNs) + lean * leanCount) / (count.valueAt(nowNs) + leanCount);
    }
}
