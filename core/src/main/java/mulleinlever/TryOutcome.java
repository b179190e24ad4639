package mulleinlever;

/** How an upstream try or a call ended. */
public enum TryOutcome {
    OK,
    ERROR,
    FULL,
    TIMEOUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    MOOT;

    /** Whether the ending itself proves that the req never ran at the pod. */
    public boolean provesNotRun() {
        return this == FULL || this == CONNECT_FAILED || this == MOOT;
    }
}
