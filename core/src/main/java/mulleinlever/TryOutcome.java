package mulleinlever;

/** The outcome of a try. The names are used on the wire of the simulator. */
public enum TryOutcome {
    /** The pod served the req. */
    OK,

    /** The pod answered with an error. */
    ERROR,

    /** The pod turned the req away without running it. */
    FULL,

    /** No answer came in time. */
    TIMEOUT,

    /** The req was not written completely to the pod, so it did not run there. */
    CONNECT_FAILED,

    /** The connection broke before the answer was complete. */
    RESET,

    /** The policy cancelled the try. */
    CANCELLED,

    /** The try was not begun: the req was answered or out of time, or its client may have left. */
    MOOT;

    /** Returns whether the outcome proves that the req did not run at the pod. */
    public boolean provesNotRun() {
        return this == FULL || this == CONNECT_FAILED || this == MOOT;
    }
}
