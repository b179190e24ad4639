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

    boolean released() {
        return phase == Phase.RELEASED;
    }
}
