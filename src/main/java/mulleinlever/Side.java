package mulleinlever;

import java.util.ArrayList;
import java.util.List;

/** What one side, the build on trial or the earlier one, has shown lately: by route, and over all in the last place. */
final class Side {
    private final List<Mean> failed = new ArrayList<>();
    private final List<Mean> late = new ArrayList<>();
    private final List<Decay> ended = new ArrayList<>();
    private final int[] all;
    int flags;

    Side(int routes, long halfLifeNs) {
        for (int i = 0; i <= routes; i++) {
            failed.add(new Mean(halfLifeNs));
            late.add(new Mean(halfLifeNs));
            ended.add(new Decay(halfLifeNs));
        }
        all = new int[routes + 1];
    }

    void add(long nowNs, int route, double failures, double lates) {
        for (int i : new int[] {route, all.length - 1}) {
            failed.get(i).add(nowNs, failures);
            late.get(i).add(nowNs, lates);
            ended.get(i).add(nowNs, 1);
            all[i]++;
        }
    }

    /** More failures among what has ended already. */
    void addFailures(long nowNs, int route, double failures) {
        failed.get(route).addTo(nowNs, failures);
        failed.get(all.length - 1).addTo(nowNs, failures);
    }

    double lately(long nowNs, int place) {
        return ended.get(place).read(nowNs);
    }

    int everEnded(int place) {
        return all[place];
    }

    double share(long nowNs, int place, boolean ofLate) {
        return Math.min(1, (ofLate ? late : failed).get(place).read(nowNs, 0, 1e-9));
    }
}
