package mulleinlever;

/** Where the newest build stands, as the platform knew a short while before. */
public record News(int build, int stage, Phase phase, double cap, long ageNs) {
    public enum Phase { ON_TRIAL, REVERTING, RELEASED, WITHDRAWN }

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

    double capOf(int other, Settings.Rollout rollout) {
        return other == build ? cap : rollout.caps().get(0);
    }

    int stageOf(int other) {
        return other == build ? stage : 0;
    }

    boolean stands() {
        return onTrial() || released();
    }

    boolean released() {
        return phase == Phase.RELEASED;
    }
}
