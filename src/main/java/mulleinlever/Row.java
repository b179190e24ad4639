package mulleinlever;

/** One route: its settings, its place in the table and what its tries take. */
final class Row {
    final Settings.Route is;
    final int at;
    final Decay times;
    final Decay ended;
    double lateNs;

    Row(Settings.Route is, int at, long halfLifeNs) {
        this.is = is;
        this.at = at;
        this.times = new Decay(halfLifeNs);
        this.ended = new Decay(halfLifeNs);
    }
}
