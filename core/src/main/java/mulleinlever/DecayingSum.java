package mulleinlever;

/** A sum that halves every half-life; it is brought up to date when it is read. */
public final class DecayingSum {
    private static final double LN_2 = Math.log(2);

    private final double halfLifeNs;
    private double sum;
    private long updatedNs;
    private long firstAddedNs = Long.MIN_VALUE;

    public DecayingSum(long halfLifeNs) {
        this.halfLifeNs = halfLifeNs;
    }

    public void add(long nowNs, double amount) {
        firstAddedNs = firstAddedNs == Long.MIN_VALUE ? nowNs : firstAddedNs;
        sum = valueAt(nowNs) + amount;
    }

    public double valueAt(long nowNs) {
        if (nowNs > updatedNs) {
            sum *= Math.exp(-LN_2 * (nowNs - updatedNs) / halfLifeNs);
            updatedNs = nowNs;
        }
        return sum;
    }

    /**
     * The rate behind the sum; one that began lately has had no time to fill up, which is made
     * good.
     */
    double ratePerSecond(long nowNs) {
        if (firstAddedNs == Long.MIN_VALUE) {
            return 0;
        }
        double elapsedNs = Math.max(1e9, nowNs - firstAddedNs);
        return valueAt(nowNs)
                * LN_2
                * 1e9
                / halfLifeNs
                / (1 - Math.exp(-LN_2 * elapsedNs / halfLifeNs));
    }
}
