package mulleinlever;

import java.util.Arrays;

/** What one side, the build on trial or the earlier one, has shown: by route, and last over all. */
final class BuildOutcomes {
    /** Tries of which a share went wrong. */
    private static final class FailureShare {
        final DecayingSum of;
        final DecayingSum wrong;
        double ever;

        FailureShare(long halfLifeNs) {
            of = new DecayingSum(halfLifeNs);
            wrong = new DecayingSum(halfLifeNs);
        }

        void add(long nowNs, double n, double k) {
            of.add(nowNs, n);
            wrong.add(nowNs, k);
            ever += n;
        }

        double read(long nowNs) {
            return Math.min(1, wrong.read(nowNs) / Math.max(1, of.read(nowNs)));
        }
    }

    private final FailureShare[] failed;
    private final FailureShare[] late;
    private final FailureShare[] flagged;

    BuildOutcomes(int routes, long halfLifeNs, long flagHalfLifeNs) {
        failed = places(routes, halfLifeNs);
        late = places(routes, halfLifeNs);
        flagged = places(routes, flagHalfLifeNs);
    }

    private static FailureShare[] places(int routes, long halfLifeNs) {
        FailureShare[] places = new FailureShare[routes + 1];
        Arrays.setAll(places, i -> new FailureShare(halfLifeNs));
        return places;
    }

    private static void add(FailureShare[] places, long nowNs, int route, double n, double k) {
        places[route].add(nowNs, n, k);
        places[places.length - 1].add(nowNs, n, k);
    }

    void own(long nowNs, int route, boolean hasFailed, boolean wasLate) {
        add(failed, nowNs, route, 1, hasFailed ? 1 : 0);
        add(late, nowNs, route, 1, wasLate ? 1 : 0);
        add(flagged, nowNs, route, 1, 0);
    }

    void tallied(long nowNs, int route, double n, double k, double timed, double slow) {
        add(failed, nowNs, route, n, k);
        add(late, nowNs, route, timed, timed > 0 ? slow : 0);
    }

    void flag(long nowNs, int route) {
        add(flagged, nowNs, route, 0, 1);
    }

    double failed(long nowNs, int place) {
        return failed[place].read(nowNs);
    }

    double late(long nowNs, int place) {
        return late[place].read(nowNs);
    }

    double flags(long nowNs, int place) {
        return flagged[place].wrong.read(nowNs);
    }

    double relayed(long nowNs, int place) {
        return flagged[place].of.read(nowNs);
    }

    double seen(long nowNs, int place, boolean inTime) {
        return (inTime ? late : failed)[place].of.read(nowNs);
    }

    double ever(int place, boolean inTime) {
        return (inTime ? late : failed)[place].ever;
    }
}
