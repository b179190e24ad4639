package mulleinlever;

import java.util.Arrays;

/** What one side, the build on trial or the earlier one, has shown: by route, and last over all. */
final class BuildOutcomes {
    /** Tries of which a share went wrong. */
    private static final class FailureShare {
        final DecayingSum total;
        final DecayingSum bad;
        double totalEver;

        FailureShare(long halfLifeNs) {
            total = new DecayingSum(halfLifeNs);
            bad = new DecayingSum(halfLifeNs);
        }

        void add(long nowNs, double n, double k) {
            total.add(nowNs, n);
            bad.add(nowNs, k);
            totalEver += n;
        }

        double shareAt(long nowNs) {
            return Math.min(1, bad.valueAt(nowNs) / Math.max(1, total.valueAt(nowNs)));
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

    void recordTry(long nowNs, int route, boolean hasFailed, boolean wasLate) {
        add(failed, nowNs, route, 1, hasFailed ? 1 : 0);
        add(late, nowNs, route, 1, wasLate ? 1 : 0);
        add(flagged, nowNs, route, 1, 0);
    }

    void recordTally(long nowNs, int route, double n, double k, double timed, double slow) {
        add(failed, nowNs, route, n, k);
        add(late, nowNs, route, timed, timed > 0 ? slow : 0);
    }

    void recordComplaint(long nowNs, int route) {
        add(flagged, nowNs, route, 0, 1);
    }

    double failedShare(long nowNs, int place) {
        return failed[place].shareAt(nowNs);
    }

    double lateShare(long nowNs, int place) {
        return late[place].shareAt(nowNs);
    }

    double complaintCount(long nowNs, int place) {
        return flagged[place].bad.valueAt(nowNs);
    }

    double tryCount(long nowNs, int place) {
        return flagged[place].total.valueAt(nowNs);
    }

    double outcomeCount(long nowNs, int place, boolean inTime) {
        return (inTime ? late : failed)[place].total.valueAt(nowNs);
    }

    double totalOutcomeCount(int place, boolean inTime) {
        return (inTime ? late : failed)[place].totalEver;
    }
}
