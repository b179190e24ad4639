package mulleinlever;

/** A decaying mean, which leans to a given value while it has seen little. */
final class Mean {
    private final Decay sum;
    private final Decay count;

    Mean(long halfLifeNs) {
        sum = new Decay(halfLifeNs);
        count = new Decay(halfLifeNs);
    }

    void add(long nowNs, double x) {
        add(nowNs, x, 1);
    }

    void add(long nowNs, double x, double n) {
        sum.add(nowNs, x * n);
        count.add(nowNs, n);
    }

    Learned.Figure figure(long nowNs) {
        double n = count.read(nowNs);
        return new Learned.Figure(n > 0 ? sum.read(nowNs) / n : 0, n);
    }

    /** Takes a remembered mean, for so many outcomes at most. */
    void recall(long nowNs, Learned.Figure f, double most) {
        add(nowNs, f.mean(), Math.min(f.weight(), most));
    }

    double read(long nowNs, double lean, double leanCount) {
        return (sum.read(nowNs) + lean * leanCount) / (count.read(nowNs) + leanCount);
    }
}
