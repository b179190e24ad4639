package mulleinlever;

/**
 * A vote of a sidecar on a build. The order of the constants is the order of their numbers on the
 * wire.
 */
public enum RolloutVote {
    /** No opinion; withdraws an earlier vote. */
    NONE,

    /** Approves the next stage or, in the last stage, the release. */
    ON,

    /** Asks the platform to stay in the stage. */
    HOLD,

    /** Asks for a rollback. */
    BACK
}
