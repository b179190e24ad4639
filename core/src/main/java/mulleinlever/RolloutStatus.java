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

    String name() {
        return "build " + build + " stage " + stage;
    }

    boolean onTrial() {
        return phase == Phase.ON_TRIAL;
    }

    /** Builds not yet announced are on trial too, in their first stage. */
    boolean onTrial(int other) {
        return other > build || other == build && !released();
    }

    double capOf(int other, Settings.RolloutSettings rollout) {
        return other == build ? cap : rollout.caps().get(0);
    }

    int stageOf(int other) {
        return other == build ? stage : 0;
    }

    boolean stands() {
        return onTrial() || released();
    }

    /** How many sidecars rank under this one by a hash of build, stage and number. */
    int ranked(int rank, int sidecars) {
        return (int) IntStream.range(0, sidecars).filter(i -> hash(i) < hash(rank)).count();
    }

    private long hash(int rank) {
        return new SplittableRandom((build * 1000L + stage) * 100_003L + rank).nextLong();
    }

    boolean released() {
        return phase == Phase.RELEASED;
    }
}
