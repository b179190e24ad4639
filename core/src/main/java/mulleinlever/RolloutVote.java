package mulleinlever;

/** A sidecar's vote on a build. */
public enum RolloutVote {
    NONE,
    ON,
    HOLD,
    BACK
}
