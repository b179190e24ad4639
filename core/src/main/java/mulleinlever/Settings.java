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
        List<RouteSettings> routes,
        List<TenantSettings> tenants,
        RolloutSettings rollout,
        Contract rules,
        PolicyLimits limits,
        CostWeights prices,
        ReportSource reports,
        boolean sizesGiven) {

    public enum RetrySafety {
        RETRIABLE,
        DEDUPED,
        NON_RETRIABLE
    }

    /** The pods that know a repeat for one. */
    public enum DedupScope {
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

    public enum VoteControl {
        SINGLE,
        MAJORITY,
        CLOCKED
    }

    public enum ReportSource {
        INLINE,
        ON_PROBE,
        OFF
    }

    public record RouteSettings(
            String name,
            long objectiveNs,
            double objectiveStretch,
            long timeoutNs,
            RetrySafety repeat,
            DedupScope scope,
            long dedupNs,
            boolean streamed,
            double lateEarnings,
            double earnings) {}

    public record TenantSettings(String name, double quotaPerSecond, double share) {}

    public record RolloutSettings(
            VoteControl control,
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

    public record Contract(
            long answerSlackNs,
            long stopSendingWithinNs,
            double coldShare,
            long warmAfterNs,
            double fallMultiple,
            long fallNs,
            long askWithinNs) {}

    public record PolicyLimits(
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

    public record CostWeights(double crossZone, double waste, double probe, double lateFail) {}
}
