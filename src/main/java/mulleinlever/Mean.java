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
        sum.add(nowNs, x);
        count.add(nowNs, 1);
    }

    double read(long nowNs, double lean, double leanCount) {
        return (sum.read(nowNs) + lean * leanCount) / (count.read(nowNs) + leanCount);
    }
}
