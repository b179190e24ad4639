package mulleinlever;

import java.util.List;

/** What a sidecar is told at its start. Times are nanoseconds. */
public record Settings(
        int rank,
        int sidecars,
        String zone,
        List<String> zones,
        boolean listMustBeAsked,
        long stepNs,
        double overShareEarnings,
        List<Route> routes,
        List<Tenant> tenants,
        Rollout rollout,
        Rules rules,
        Limits limits,
        Prices prices,
        ReportSource reports,
        boolean sizesGiven) {

    public enum Repeat {
        RETRIABLE,
        DEDUPED,
        NON_RETRIABLE
    }

    /** The pods that know a repeat for one. */
    public enum Scope {
        ALL,
        ZONE,
        CELL;

        boolean holds(PodEntry one, PodEntry other) {
            return switch (this) {
                case ALL -> true;
                case ZONE -> one.zone().equals(other.zone());
                case CELL -> one.cell() == other.cell();
            };
        }
    }

    public enum Control {
        SINGLE,
        MAJORITY,
        CLOCKED
    }

    public enum ReportSource {
        INLINE,
        ON_PROBE,
        OFF
    }

    public record Route(
            String name,
            long objectiveNs,
            double objectiveStretch,
            long timeoutNs,
            Repeat repeat,
            Scope scope,
            long dedupNs,
            boolean streamed,
            double lateEarnings,
            double earnings) {}

    public record Tenant(String name, double quotaPerSecond, double share) {}

    public record Rollout(
            Control control,
            boolean rolling,
            int onVotes,
            int backVotes,
            int holdVotes,
            long bakeNs,
            long movesAfterNs,
            long voteStandsNs,
            long voteWaitNs,
            double votesPerSecond,
            long newsEveryNs,
            long tallyEveryNs,
            double tallySample,
            double complaintShare,
            List<Double> shares,
            List<Double> caps,
            long windowNs,
            double uncounted,
            boolean countedByRoute,
            int shieldedStages,
            boolean oneWay,
            boolean warmKeys,
            double staleBuildPrice,
            double damagePrice) {}

    public record Rules(
            long answerSlackNs,
            long stopSendingWithinNs,
            double coldShare,
            long warmAfterNs,
            double fallMultiple,
            long fallNs,
            long askWithinNs) {}

    public record Limits(
            int maxTries,
            int maxOpen,
            boolean cancel,
            boolean probes,
            boolean secondCopies,
            boolean retryAfter,
            long maxRetryAfterNs,
            int streamsPerConnection,
            long connectTimeoutNs,
            long connectionIdleNs) {}

    public record Prices(double crossZone, double waste, double probe, double lateFail) {}
}
