package mulleinlever;

import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** Where the newest build stands, as the platform knew a short while before. */
public record RolloutStatus(int build, int stage, Phase phase, double cap, long ageNs) {
    public enum Phase {
        ON_TRIAL,
        REVERTING,
        RELEASED,
        WITHDRAWN
    }

    String label() {
        return "build " + build + " stage " + stage;
    }

    boolean isOnTrial() {
        return phase == Phase.ON_TRIAL;
    }

    /** Builds not yet announced are on trial too, in their first stage. */
    boolean isBuildOnTrial(int otherBuild) {
        return otherBuild > build || otherBuild == build && !isReleased();
    }

    double capOf(int otherBuild, Settings.RolloutSettings rollout) {
        return otherBuild == build ? cap : rollout.stageExposureCaps().get(0);
    }

    int stageOf(int otherBuild) {
        return otherBuild == build ? stage : 0;
    }

    boolean isActive() {
        return isOnTrial() || isReleased();
    }

    /** How many sidecars rank under this one by a hash of build, stage and number. */
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
