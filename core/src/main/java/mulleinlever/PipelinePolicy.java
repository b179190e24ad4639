package mulleinlever;

/**
 * Decides how far the commands of one client connection are taken before those ahead of them have
 * their responses. Holds no state.
 */
public final class PipelinePolicy {
    /** The maximum number of commands of a connection that wait for their responses. */
    private static final int MAX_PENDING_COMMANDS = 32;

    private PipelinePolicy() {}

    /** Returns whether another command may be handled. */
    public static boolean mayHandle(int pendingCommands) {
        return pendingCommands < MAX_PENDING_COMMANDS;
    }
}
