package mulleinlever;

import java.util.Arrays;

/** What one side, the build on trial or the earlier one, has shown: by route, and last over all. */
final class Side {
    private static final class Shown {
        final Decay ended;
        final Decay failed;
        final Decay late;
        final Decay flags;
        int ever;

        Shown(long halfLifeNs) {
            ended = new Decay(halfLifeNs);
            failed = new Decay(halfLifeNs);
            late = new Decay(halfLifeNs);
            flags = new Decay(halfLifeNs);
        }
    }

    private final Shown[] places;

    Side(int routes, long halfLifeNs) {
        places = new Shown[routes + 1];
        Arrays.setAll(places, i -> new Shown(halfLifeNs));
    }

    void end(long nowNs, int route, boolean hasFailed, boolean wasLate) {
        for (Shown s : both(route)) {
            s.ended.add(nowNs, 1);
            s.failed.add(nowNs, hasFailed ? 1 : 0);
            s.late.add(nowNs, wasLate ? 1 : 0);
            s.ever++;
        }
    }

    void flag(long nowNs, int route) {
        for (Shown s : both(route)) {
            s.flags.add(nowNs, 1);
        }
    }

    double ended(long nowNs, int place) {
        return places[place].ended.read(nowNs);
    }

    double failed(long nowNs, int place) {
        return places[place].failed.read(nowNs);
    }

    double late(long nowNs, int place) {
        return places[place].late.read(nowNs);
    }

    double flags(long nowNs, int place) {
        return places[place].flags.read(nowNs);
    }

    int everEnded(int place) {
        return places[place].ever;
    }

    private Shown[] both(int route) {
        return new Shown[] {places[route], places[places.length - 1]};
    }
}
