package mulleinlever;

/** A sum that halves every half-life. It is not thread-safe; reading it also updates it. */
public final class DecayingSum {
    private static final double LN_2 = Math.log(2);

    private final double halfLifeNs;
    private double sum;
    private long updatedNs;
    private long firstAddedNs = Long.MIN_VALUE;

    public DecayingSum(long halfLifeNs) {
        this.halfLifeNs = halfLifeNs;
    }

    /** Adds an amount, which decays from {@code nowNs} on. */
    public void add(long nowNs, double amount) {
        firstAddedNs = firstAddedNs == Long.MIN_VALUE ? nowNs : firstAddedNs;
        sum = valueAt(nowNs) + amount;
    }

    /** Returns the sum; a time before the latest one is treated as the latest one. */
    public double valueAt(long nowNs) {
        if (nowNs > updatedNs) {
            sum *= Math.exp(-LN_2 * (nowNs - updatedNs) / halfLifeNs);
            updatedNs = nowNs;
        }
        return sum;
    }

    /**
     * Returns the rate per second at which the sum is added to; 0 if nothing was ever added. A sum
     * that was first added to a short while ago is corrected for the time in which it has not yet
     * filled up.
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
