package mulleinlever;

import java.util.ArrayList;
import java.util.List;

/**
 * What one side, the build on trial or the earlier one, has shown lately: by route, and over all in the
 * last place.
 */
final class Side {
    private final List<Decay> ended = new ArrayList<>();
    private final List<Decay> failed = new ArrayList<>();
    private final List<Decay> late = new ArrayList<>();
    private final List<Decay> flags = new ArrayList<>();
    private final int[] ever;

    Side(int routes, long halfLifeNs) {
        for (int i = 0; i <= routes; i++) {
            ended.add(new Decay(halfLifeNs));
            failed.add(new Decay(halfLifeNs));
            late.add(new Decay(halfLifeNs));
            flags.add(new Decay(halfLifeNs));
        }
        ever = new int[routes + 1];
    }

    void end(long nowNs, int route, boolean hasFailed, boolean wasLate) {
        for (int i : new int[] {route, ever.length - 1}) {
            ended.get(i).add(nowNs, 1);
            failed.get(i).add(nowNs, hasFailed ? 1 : 0);
            late.get(i).add(nowNs, wasLate ? 1 : 0);
            ever[i]++;
        }
    }

    void flag(long nowNs, int route) {
        flags.get(route).add(nowNs, 1);
        flags.get(ever.length - 1).add(nowNs, 1);
    }

    double ended(long nowNs, int place) {
        return ended.get(place).read(nowNs);
    }

    double failed(long nowNs, int place) {
        return failed.get(place).read(nowNs);
    }

    double late(long nowNs, int place) {
        return late.get(place).read(nowNs);
    }

    double flags(long nowNs, int place) {
        return flags.get(place).read(nowNs);
    }

    int everEnded(int place) {
        return ever[place];
    }
}
