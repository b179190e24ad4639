package mulleinlever;

/**
 * Decides whether a try may begin for a client that was last known to be connected some time ago,
 * and how it is found out whether the client still is. Holds no state.
 */
public final class ClientPresencePolicy {
    private static final long MILLISECOND_NS = 1_000_000L;

    /**
     * The time for which a client counts as connected after it was known to be. No try may begin
     * later than 0.1 s after the end of its client's connection; the rest is for the way to the
     * pod.
     */
    private static final long KNOWN_FOR_NS = 80 * MILLISECOND_NS;

    /**
     * The size up to which all that a client has sent arrives at once, whatever was read of it. Of
     * more, the rest may lie in the send buffer of a client that has closed its connection.
     */
    private static final int MAX_BYTES_AT_ONCE = 32 * 1024;

    /**
     * The time for which more may have arrived from a client than was read before its reqs are
     * refused. Time in which the process was held up is not counted.
     */
    private static final long MAX_BEHIND_NS = 50 * MILLISECOND_NS;

    /** The number of rounds of reading that follow each other without a pause. */
    private static final int IMMEDIATE_ROUNDS = 4;

    private static final long ROUND_PAUSE_NS = 2 * MILLISECOND_NS;

    /** What becomes of a try. */
    public enum Decision {
        /** The try may begin. */
        BEGIN,
        /** It has to wait until it is known whether the client is connected. */
        WAIT,
        /** It may not begin, since that has not been known for too long. */
        REFUSE
    }

    private ClientPresencePolicy() {}

    /**
     * Decides on a try.
     *
     * @param unconfirmedNs the time since the client was last known to be connected, in nanoseconds
     * @param behindNs for how long more may have arrived from the client than was read, in
     *     nanoseconds in which the process ran
     */
    public static Decision decide(long unconfirmedNs, long behindNs) {
        if (unconfirmedNs <= KNOWN_FOR_NS) {
            return Decision.BEGIN;
        }
        return behindNs <= MAX_BEHIND_NS ? Decision.WAIT : Decision.REFUSE;
    }

    /**
     * Returns whether bytes that arrive after all earlier ones were read show that the client was
     * connected when these were read.
     *
     * @param earlierBytes the number of bytes since the client was last known to be connected
     */
    public static boolean showsSentLater(long earlierBytes) {
        return earlierBytes <= MAX_BYTES_AT_ONCE;
    }

    /**
     * Returns the time until the next round of reading begins, in nanoseconds.
     *
     * @param roundCount the number of rounds so far
     */
    public static long roundDelayNs(int roundCount) {
        return roundCount < IMMEDIATE_ROUNDS ? 0 : ROUND_PAUSE_NS;
    }
}
