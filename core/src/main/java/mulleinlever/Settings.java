package mulleinlever;

import java.util.List;

/**
 * The settings that a sidecar gets at its start. Times are in nanoseconds.
 *
 * @param rank the number of this sidecar, from 0
 * @param zone the zone of this sidecar
 * @param zones all zones
 * @param requiresListWatch whether the pod list comes only after a request to watch it
 * @param clockStepNs the resolution of the clock
 * @param overShareValue not used by the policy
 * @param prices the prices of traffic and failures
 * @param hasPodWeights not used by the policy
 */
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
        Prices prices,
        ReportSource reportSource,
        boolean hasPodWeights) {

    /** Returns the longest time for which clients of any route wait, in nanoseconds. */
    public long longestTimeoutNs() {
        return routes.stream().mapToLong(RouteSettings::timeoutNs).max().orElse(0);
    }

    /** When a req that may have run at a pod may be retried. */
    public enum RetrySafety {
        /** Always. */
        IDEMPOTENT,

        /** At the pods of its dedup scope, within its dedup window: these drop the repeat. */
        DEDUPLICATED,

        /** Never. */
        NOT_RETRYABLE
    }

    /** The pods that recognise a repeated req. */
    public enum DedupScope {
        ALL,
        ZONE,
        CELL;

        /** Returns whether two pods are in the same scope. */
        boolean isShared(PodEntry one, PodEntry other) {
            return switch (this) {
                case ALL -> true;
                case ZONE -> one.zone().equals(other.zone());
                case CELL -> one.cell() == other.cell();
            };
        }
    }

    /** How the votes of sidecars decide on a rollout. */
    public enum VoteControl {
        /** A single vote decides. */
        SINGLE,

        /** The configured numbers of votes decide. */
        MAJORITY,

        /** The stages advance with time; sidecars may hold the rollout or vote for a rollback. */
        CLOCKED
    }

    /** How pods report their own statistics: with answers, with probes or not at all. */
    public enum ReportSource {
        INLINE,
        ON_PROBE,
        OFF
    }

    /**
     * The settings of a route.
     *
     * @param latencyObjectiveNs the time within which answers are wanted
     * @param latencyObjectiveStretch not used by the policy
     * @param timeoutNs how long clients wait if they state no time
     * @param dedupWindowNs how long pods recognise a repeat
     * @param isStreamed not used by the policy
     * @param lateValue not used by the policy
     * @param value the value of an answer within the latency objective
     */
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

    /**
     * The settings of a tenant.
     *
     * @param share not used by the policy
     */
    public record TenantSettings(String name, double quotaPerSecond, double share) {}

    /**
     * The settings of rollouts.
     *
     * @param control how votes decide
     * @param isRolling not used by the policy
     * @param approveVoteCount the number of votes needed to approve a stage
     * @param rollbackVoteCount the number of votes needed for a rollback
     * @param holdVoteCount the number of votes needed to hold a stage
     * @param bakeNs how long a stage lasts before sidecars may approve it
     * @param advanceDelayNs not used by the policy
     * @param voteLifetimeNs how long a vote stands
     * @param voteTimeoutNs how long to wait for the answer to a vote
     * @param votesPerSecond the number of calls per second that the platform accepts from all
     *     sidecars
     * @param statusIntervalNs not used by the policy
     * @param tallyIntervalNs the period of the tallies
     * @param tallySampleShare not used by the policy
     * @param complaintReportRate the share of wrong answers that clients report
     * @param stageShares the share of pods of the new build by stage
     * @param stageExposureCaps the share of reqs that may be sent to the new build, by stage
     * @param exposureWindowNs not used by the policy
     * @param exposureBurst the number of reqs that may exceed the exposure cap
     * @param isExposurePerRoute whether the cap applies to each route and not to all together
     * @param shieldedStageCount the number of first stages that take reqs of idempotent routes only
     * @param keysAreOneWay whether a key that a build has answered may not go to an older build
     * @param hasWarmKeys not used by the policy
     * @param staleBuildPrice not used by the policy
     * @param damagePrice not used by the policy
     */
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

    /**
     * The terms that pods and discovery hold sidecars to.
     *
     * @param answerSlackNs not used by the policy
     * @param drainGraceNs the time within which a sidecar has to stop sending to a pod that is
     *     draining or gone
     * @param initialCapacityShare the share of its capacity that a pod has right after its start
     * @param slowStartNs the time from its start until a pod has its full capacity
     * @param overloadMultiple not used by the policy
     * @param overloadWindowNs the period over which the reqs to a pod in slow start are limited
     * @param listRefreshWithinNs the maximum time between two refreshes of the list by a sidecar;
     *     changes count as announced after it at the latest
     */
    public record Contract(
            long answerSlackNs,
            long drainGraceNs,
            double initialCapacityShare,
            long slowStartNs,
            double overloadMultiple,
            long overloadWindowNs,
            long listRefreshWithinNs) {}

    /**
     * The limits of what a policy may do.
     *
     * @param maxTries the maximum number of tries of a req
     * @param maxOpenTries not used by the policy
     * @param canCancel whether tries may be cancelled
     * @param canProbe not used by the policy
     * @param canHedge whether a second try may be sent while the first is open
     * @param canAdviseRetryAfter whether shed replies may advise a backoff
     * @param maxRetryAfterNs the maximum backoff of a shed reply
     * @param streamsPerConnection not used by the policy
     * @param connectTimeoutNs how long a try may wait for its connection
     * @param connectionIdleTimeoutNs how long an idle connection stays open
     */
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

    /**
     * The prices of traffic and failures.
     *
     * @param crossZone the price of traffic to another zone
     * @param waste not used by the policy
     * @param probe not used by the policy
     * @param lateFail not used by the policy
     */
    public record Prices(double crossZone, double waste, double probe, double lateFail) {}
}
