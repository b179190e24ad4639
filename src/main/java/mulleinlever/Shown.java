package mulleinlever;

/** What one side, the build on trial or the earlier one, has shown lately on one route. */
final class Shown {
    final Decay ended;
    final Decay failed;
    final Decay late;
    int all;

    Shown(long halfLifeNs) {
        this.ended = new Decay(halfLifeNs);
        this.failed = new Decay(halfLifeNs);
        this.late = new Decay(halfLifeNs);
    }

    double share(long nowNs, boolean ofLate) {
        double n = ended.read(nowNs);
        return n <= 0 ? 0 : Math.min(1, (ofLate ? late : failed).read(nowNs) / n);
    }
}
