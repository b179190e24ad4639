package mulleinlever;

/** What may still be sent to one build, by lane: earned by reqs, spent by tries, saved up to a limit. */
final class Saved {
    private final double[] left;
    private final double most;

    Saved(int lanes, double most) {
        this.left = new double[lanes];
        this.most = most;
    }

    void earn(int lane, double share) {
        left[lane] = Math.min(most, left[lane] + share);
    }

    boolean enough(int lane) {
        return left[lane] >= 1;
    }

    void spend(int lane) {
        left[lane]--;
    }
}
