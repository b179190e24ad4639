package mulleinlever;

/**
 * Decides how far the commands of one client connection are taken before those ahead of them have
 * their responses, and before other connections have their turn. Holds no state.
 */
public final class PipelinePolicy {
    /** The maximum number of commands of a connection that wait for their responses. */
    private static final int MAX_PENDING_COMMANDS = 32;

    /**
     * The number of messages of all connections with a backlog that are handled in one turn of the
     * event loop, so that others don't wait for longer than a few milliseconds.
     */
    private static final int BACKLOG_MESSAGES_PER_TURN = 128;

    /** The time that these messages may take in one turn of the event loop. */
    private static final long BACKLOG_TIME_PER_TURN_NS = 2_000_000L;

    /**
     * The time for which the end of a connection may go unseen. No try may begin later than 0.1 s
     * after the end; the rest is for delays of the process.
     */
    private static final long MAX_UNSEEN_NS = 50_000_000L;

    private PipelinePolicy() {}

    /** Returns whether another command may be handled. */
    public static boolean mayHandle(int pendingCommands) {
        return pendingCommands < MAX_PENDING_COMMANDS;
    }

    /**
     * Returns whether a connection may handle another message in this turn of the event loop. Each
     * may handle one at least.
     *
     * @param messagesInTurn the number of its messages that were handled in this turn
     * @param timeInTurnNs how long that took
     * @param backlogConnections the number of connections that have more to handle than one turn
     *     has time for
     */
    public static boolean hasTimeInTurn(
            int messagesInTurn, long timeInTurnNs, int backlogConnections) {
        int sharers = Math.max(1, backlogConnections);
        return messagesInTurn == 0
                || messagesInTurn < BACKLOG_MESSAGES_PER_TURN / sharers
                        && timeInTurnNs < BACKLOG_TIME_PER_TURN_NS / sharers;
    }

    /**
     * Returns whether a client may have left so long ago that no try for it may begin.
     *
     * @param unseenNs for how long the end of its connection may have gone unseen
     */
    public static boolean mayHaveLeft(long unseenNs) {
        return unseenNs > MAX_UNSEEN_NS;
    }
}
