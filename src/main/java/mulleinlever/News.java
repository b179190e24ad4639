package mulleinlever;

/** Where the newest build stands, as the platform knew a short while before. */
public record News(int build, int stage, Phase phase, double cap, long ageNs) {
    public enum Phase { ON_TRIAL, REVERTING, RELEASED, WITHDRAWN }

    /** What became of the vote that the news answers; NEWS where it answers none. */
    public enum Answer { NEWS, OK, MOOT, FULL, ERROR, TIMEOUT }
}
