package mulleinlever;

/**
 * Decides how far the commands of one client connection are taken before those ahead of them have
 * their responses, and before other connections have their turn. Holds no state.
 */
public final class PipelinePolicy {
    /** The maximum number of commands of a connection that wait for their responses. */
    private static final int MAX_PENDING_COMMANDS = 32;

    /**
     * The time in one turn of the event loop for connections that have more than one message to
     * handle.
     */
    private static final long TURN_NS = 1_000_000L;

    /** The part of that time that one connection may take. */
    private static final long SLICE_NS = 250_000L;

    private PipelinePolicy() {}

    /** Returns whether another command may be handled. */
    public static boolean mayHandle(int pendingCommands) {
        return pendingCommands < MAX_PENDING_COMMANDS;
    }

    /** Returns whether connections with a backlog have time left in a turn of the event loop. */
    public static boolean hasTimeInTurn(long spentNs) {
        return spentNs < TURN_NS;
    }

    /** Returns whether one connection has time left in a turn of the event loop. */
    public static boolean hasTimeInSlice(long spentNs) {
        return spentNs < SLICE_NS;
    }
}
