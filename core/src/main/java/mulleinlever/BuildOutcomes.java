package mulleinlever;

import java.util.Arrays;

/**
 * The decayed outcomes of tries at the build on trial, or at the earlier build. They are kept in
 * slots: one for each route, by its index, and a last one for all routes together. Used by {@link
 * Policy} on the event loop.
 */
final class BuildOutcomes {
    /** Decayed counts of tries and of those affected by a symptom. */
    private static final class DecayingShare {
        final DecayingSum total;
        final DecayingSum affected;

        /** The number of tries since the start, without decay. */
        double totalUndecayed;

        DecayingShare(long halfLifeNs) {
            total = new DecayingSum(halfLifeNs);
            affected = new DecayingSum(halfLifeNs);
        }

        void add(long nowNs, double count, double affectedCount) {
            total.add(nowNs, count);
            affected.add(nowNs, affectedCount);
            totalUndecayed += count;
        }

        double shareAt(long nowNs) {
            return Math.min(1, affected.valueAt(nowNs) / Math.max(1, total.valueAt(nowNs)));
        }
    }

    private final DecayingShare[] failed;
    private final DecayingShare[] late;
    private final DecayingShare[] complaints;

    /**
     * @param halfLifeNs the half-life of failed and late tries
     * @param complaintHalfLifeNs the half-life of complaints and of the tries they are related to
     */
    BuildOutcomes(int routeCount, long halfLifeNs, long complaintHalfLifeNs) {
        failed = createSlots(routeCount, halfLifeNs);
        late = createSlots(routeCount, halfLifeNs);
        complaints = createSlots(routeCount, complaintHalfLifeNs);
    }

    private static DecayingShare[] createSlots(int routeCount, long halfLifeNs) {
        DecayingShare[] slots = new DecayingShare[routeCount + 1];
        Arrays.setAll(slots, i -> new DecayingShare(halfLifeNs));
        return slots;
    }

    private static void add(
            DecayingShare[] slots, long nowNs, int routeIndex, double count, double affectedCount) {
        slots[routeIndex].add(nowNs, count, affectedCount);
        slots[slots.length - 1].add(nowNs, count, affectedCount);
    }

    void recordTry(long nowNs, int routeIndex, boolean hasFailed, boolean wasLate) {
        add(failed, nowNs, routeIndex, 1, hasFailed ? 1 : 0);
        add(late, nowNs, routeIndex, 1, wasLate ? 1 : 0);
        add(complaints, nowNs, routeIndex, 1, 0);
    }

    /**
     * Records a tally of the platform.
     *
     * @param timedCount the number of tries whose times may be used; if it is 0, {@code lateCount}
     *     is ignored
     */
    void recordTally(
            long nowNs,
            int routeIndex,
            double tryCount,
            double failedCount,
            double timedCount,
            double lateCount) {
        add(failed, nowNs, routeIndex, tryCount, failedCount);
        add(late, nowNs, routeIndex, timedCount, timedCount > 0 ? lateCount : 0);
    }

    void recordComplaint(long nowNs, int routeIndex) {
        add(complaints, nowNs, routeIndex, 0, 1);
    }

    double failedShare(long nowNs, int slot) {
        return failed[slot].shareAt(nowNs);
    }

    double lateShare(long nowNs, int slot) {
        return late[slot].shareAt(nowNs);
    }

    /** Returns the decayed number of complaints. */
    double complaintCount(long nowNs, int slot) {
        return complaints[slot].affected.valueAt(nowNs);
    }

    /** Returns the number of this sidecar's own tries, decayed as complaints are. */
    double tryCount(long nowNs, int slot) {
        return complaints[slot].total.valueAt(nowNs);
    }

    /**
     * Returns the decayed number of outcomes from tries and tallies.
     *
     * @param forLateness whether to count those known to be late or not, otherwise those known to
     *     have failed or not
     */
    double outcomeCount(long nowNs, int slot, boolean forLateness) {
        return (forLateness ? late : failed)[slot].total.valueAt(nowNs);
    }

    /** Returns the same as {@link #outcomeCount}, since the start and without decay. */
    double totalOutcomeCount(int slot, boolean forLateness) {
        return (forLateness ? late : failed)[slot].totalUndecayed;
    }
}
