package mulleinlever;

import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * The state of the newest build, as the platform last reported it.
 *
 * @param stage the stage of the rollout, from 0
 * @param cap the share of reqs that may be sent to the build, from 0 to 1
 * @param ageNs the age of the report on its arrival
 */
public record RolloutStatus(int build, int stage, Phase phase, double cap, long ageNs) {
    /** The phase of a rollout. The names are logged and stored. */
    public enum Phase {
        /** The build takes part of the reqs until the sidecars have voted. */
        ON_TRIAL,

        /** The build is being rolled back. */
        REVERTING,

        /** The build has replaced the earlier one. */
        RELEASED,

        /** The build has been rolled back. */
        WITHDRAWN
    }

    /** Returns the build and stage as log lines state them. */
    String label() {
        return "build " + build + " stage " + stage;
    }

    boolean isOnTrial() {
        return phase == Phase.ON_TRIAL;
    }

    /**
     * Returns whether a build is not released yet. Builds newer than the reported one count as on
     * trial too, in their first stage.
     */
    boolean isBuildOnTrial(int otherBuild) {
        return otherBuild > build || otherBuild == build && !isReleased();
    }

    /**
     * Returns the exposure cap of a build: that of the first stage for builds other than the
     * reported one.
     */
    double capOf(int otherBuild, Settings.RolloutSettings rollout) {
        return otherBuild == build ? cap : rollout.stageExposureCaps().get(0);
    }

    /** Returns the stage of a build: the first one for builds other than the reported one. */
    int stageOf(int otherBuild) {
        return otherBuild == build ? stage : 0;
    }

    /** Returns whether the build may serve reqs, on trial or released. */
    boolean isActive() {
        return isOnTrial() || isReleased();
    }

    /**
     * Returns the number of sidecars that rank below a sidecar by a hash of build, stage and
     * sidecar number.
     */
    int voterRank(int rank, int sidecarCount) {
        return (int) IntStream.range(0, sidecarCount).filter(i -> hash(i) < hash(rank)).count();
    }

    private long hash(int rank) {
        return new SplittableRandom((build * 1000L + stage) * 100_003L + rank).nextLong();
    }

    boolean isReleased() {
        return phase == Phase.RELEASED;
    }
}
