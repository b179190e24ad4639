package mulleinlever;

import java.util.List;

/** What a sidecar is told at its start. Times are nanoseconds. */
public record Settings(
        int rank,
        int sidecarCount,
        String zone,
        List<String> zones,
        boolean requiresListWatch,
        long clockStepNs,
        double overShareValue,
        List<RouteSettings> routes,
        List<TenantSettings> tenants,
        RolloutSettings rollout,
        Contract contract,
        PolicyLimits policyLimits,
        CostWeights prices,
        ReportSource reportSource,
        boolean hasPodWeights) {

    public enum RetrySafety {
        IDEMPOTENT,
        DEDUPLICATED,
        NOT_RETRYABLE
    }

    /** The pods that know a repeat for one. */
    public enum DedupScope {
        ALL,
        ZONE,
        CELL;

        boolean isShared(PodEntry one, PodEntry other) {
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
            long latencyObjectiveNs,
            double latencyObjectiveStretch,
            long timeoutNs,
            RetrySafety retrySafety,
            DedupScope dedupScope,
            long dedupWindowNs,
            boolean isStreamed,
            double lateValue,
            double value) {}

    public record TenantSettings(String name, double quotaPerSecond, double share) {}

    public record RolloutSettings(
            VoteControl control,
            boolean isRolling,
            int approveVoteCount,
            int rollbackVoteCount,
            int holdVoteCount,
            long bakeNs,
            long advanceDelayNs,
            long voteLifetimeNs,
            long voteTimeoutNs,
            double votesPerSecond,
            long statusIntervalNs,
            long tallyIntervalNs,
            double tallySampleShare,
            double complaintReportRate,
            List<Double> stageShares,
            List<Double> stageExposureCaps,
            long exposureWindowNs,
            double exposureBurst,
            boolean isExposurePerRoute,
            int shieldedStageCount,
            boolean keysAreOneWay,
            boolean hasWarmKeys,
            double staleBuildPrice,
            double damagePrice) {}

    public record Contract(
            long answerSlackNs,
            long drainGraceNs,
            double coldCapacityShare,
            long slowStartNs,
            double overloadMultiple,
            long overloadWindowNs,
            long listRefreshWithinNs) {}

    public record PolicyLimits(
            int maxTries,
            int maxOpenTries,
            boolean canCancel,
            boolean canProbe,
            boolean canHedge,
            boolean canAdviseRetryAfter,
            long maxRetryAfterNs,
            int streamsPerConnection,
            long connectTimeoutNs,
            long connectionIdleTimeoutNs) {}

    public record CostWeights(double crossZone, double waste, double probe, double lateFail) {}
}
