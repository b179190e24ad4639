package mulleinlever;

/** A sidecar's vote on a build. */
public enum Verdict {
    NONE,
    ON,
    HOLD,
    BACK
}
