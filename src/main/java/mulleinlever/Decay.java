package mulleinlever;

/** A sum that halves every half-life; it is brought up to date when it is read. */
final class Decay {
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
            sum *= Math.exp(-0.6931471805599453 * (nowNs - atNs) / halfLifeNs);
            atNs = nowNs;
        }
        return sum;
    }

    /** What the sum would stand at, were one added every second: the divisor that makes a rate of it. */
    double secondsHeld() {
        return halfLifeNs / 0.6931471805599453 / 1e9;
    }
}
