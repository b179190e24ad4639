package mulleinlever;

/** A sum that halves every half-life; it is brought up to date when it is read. */
final class Decay {
    private static final double LN_2 = Math.log(2);

    private final double halfLifeNs;
    private double sum;
    private long atNs;

    Decay(long halfLifeNs) {
        this.halfLifeNs = halfLifeNs;
    }

    void add(long nowNs, double x) {
        sum = read(nowNs) + x;
    }

    double read(long nowNs) {
        if (nowNs > atNs) {
            sum *= Math.exp(-LN_2 * (nowNs - atNs) / halfLifeNs);
            atNs = nowNs;
        }
        return sum;
    }

    double perSecond(long nowNs) {
        return read(nowNs) * LN_2 * 1e9 / halfLifeNs;
    }
}
