package mulleinlever;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;

/**
 * Decides which client connections are closed: those whose client keeps the sidecar waiting for too
 * long, and those that give up their file descriptor to a new connection when all are in use. Holds
 * no state.
 */
public final class ClientConnectionPolicy {
    private static final long MILLISECOND_NS = 1_000_000L;

    /**
     * The maximum time from the first byte of a message to its last, and from the accept to the end
     * of the startup message. Clients that leave a message incomplete are owed an error or a close
     * within 3 s; the rest is for the interval of the checks and for delays of the process.
     */
    private static final long MESSAGE_TIMEOUT_NS = 2_500 * MILLISECOND_NS;

    /** The maximum time for which a client takes no response. */
    private static final long UNREAD_RESPONSE_TIMEOUT_NS = 10_000 * MILLISECOND_NS;

    /**
     * The time after which a connection with an incomplete message is closed in favor of a new one.
     * Messages that arrive without interruption are complete sooner.
     */
    private static final long EVICTABLE_MESSAGE_AGE_NS = 200 * MILLISECOND_NS;

    /**
     * The time after which an idle connection is closed in favor of a new one. The first command of
     * a client that has just connected may be on its way.
     */
    private static final long EVICTABLE_IDLE_AGE_NS = 50 * MILLISECOND_NS;

    /** The time after which a client that takes no response may be closed to free its memory. */
    private static final long EVICTABLE_READER_AGE_NS = 1_000 * MILLISECOND_NS;

    private ClientConnectionPolicy() {}

    /** What a connection waits for. */
    public enum State {
        /** The response to a command, or memory in which to read the next one. */
        BUSY,
        /** The client's next command, of which no byte has been received. */
        IDLE,
        /** The rest of a message, or the startup message. */
        AWAITING_MESSAGE,
        /** The client, to take responses that have been written. */
        AWAITING_READER
    }

    /**
     * The state of a connection.
     *
     * @param sinceNs when the state began; for {@link State#AWAITING_READER} when the client last
     *     took a response
     */
    public record Activity(State state, long sinceNs) {}

    /** Returns whether the client has kept the sidecar waiting for so long that it is closed. */
    public static boolean isStalled(Activity activity, long nowNs) {
        long waitedNs = nowNs - activity.sinceNs();
        return switch (activity.state()) {
            case AWAITING_MESSAGE -> waitedNs > MESSAGE_TIMEOUT_NS;
            case AWAITING_READER -> waitedNs > UNREAD_RESPONSE_TIMEOUT_NS;
            case BUSY, IDLE -> false;
        };
    }

    /**
     * Selects the connection to close in favor of a new one: the one that has waited longest for
     * the rest of a message or, where none has waited for long enough, the one that has been idle
     * longest. No connection that is due a response is selected.
     */
    public static <C> Optional<C> selectForEviction(
            Collection<C> connections, Function<C, Activity> activityOf, long nowNs) {
        Optional<C> incomplete =
                longestIn(
                        State.AWAITING_MESSAGE,
                        nowNs - EVICTABLE_MESSAGE_AGE_NS,
                        connections,
                        activityOf);
        return incomplete.isPresent()
                ? incomplete
                : longestIn(State.IDLE, nowNs - EVICTABLE_IDLE_AGE_NS, connections, activityOf);
    }

    /**
     * Selects the connection that gives up the memory of its incomplete message, where others wait
     * for memory: the one that has waited longest for the rest, if long enough.
     */
    public static <C> Optional<C> selectForRequestMemory(
            Collection<C> connections, Function<C, Activity> activityOf, long nowNs) {
        return longestIn(
                State.AWAITING_MESSAGE, nowNs - EVICTABLE_MESSAGE_AGE_NS, connections, activityOf);
    }

    /**
     * Selects the connection that gives up the memory of its unread responses, where others wait
     * for memory: the one whose client has taken none for longest, if long enough.
     */
    public static <C> Optional<C> selectForResponseMemory(
            Collection<C> connections, Function<C, Activity> activityOf, long nowNs) {
        return longestIn(
                State.AWAITING_READER, nowNs - EVICTABLE_READER_AGE_NS, connections, activityOf);
    }

    /** Returns the connection that has been in a state longest, if since before the given time. */
    private static <C> Optional<C> longestIn(
            State state,
            long beforeNs,
            Collection<C> connections,
            Function<C, Activity> activityOf) {
        return connections.stream()
                .filter(c -> activityOf.apply(c).state() == state)
                .filter(c -> activityOf.apply(c).sinceNs() < beforeNs)
                .min(Comparator.comparingLong(c -> activityOf.apply(c).sinceNs()));
    }
}
