package mulleinlever;

/**
 * Decides which reqs are still taken after the process was asked to stop, and when each one has its
 * answer at the latest. All times count from the request to stop. The process may be killed without
 * further notice some time after it, which depends on the routes' timeouts; until then each req
 * that was taken is owed an answer. Immutable.
 */
public final class ShutdownPolicy {
    private static final long MILLISECOND_NS = 1_000_000L;

    /** How long reqs are taken as before, since clients learn late that the process stops. */
    private static final long LEAVING_NS = 500 * MILLISECOND_NS;

    /** The time between the longest timeout and the earliest kill. */
    private static final long KILL_DELAY_NS = 700 * MILLISECOND_NS;

    /**
     * The timeout from which a longer one doesn't delay the kill. Where all are shorter, the kill
     * may come after theirs or after this one.
     */
    private static final long KILL_TIMEOUT_NS = 3_000 * MILLISECOND_NS;

    /** The time between an answer and the kill, in which the process may be held up. */
    private static final long ANSWER_MARGIN_NS = 200 * MILLISECOND_NS;

    /** The time at the end for answering what was received and not handled. */
    private static final long FINAL_DECODING_NS = 100 * MILLISECOND_NS;

    /** The time at the end for writing the last answers. */
    private static final long FINAL_WRITES_NS = 50 * MILLISECOND_NS;

    private final long longestTimeoutNs;

    /**
     * @param longestTimeoutNs the longest timeout of all routes
     */
    public ShutdownPolicy(long longestTimeoutNs) {
        this.longestTimeoutNs = longestTimeoutNs;
    }

    /** Returns the time until which reqs are taken as before, and connections accepted. */
    public long leavingNs() {
        return LEAVING_NS;
    }

    /**
     * Returns how long a req may take that arrives after {@link #leavingNs}, or 0 if it is refused:
     * it has to be answered before the process may be killed. One that may be repeated gets what is
     * left of the time, since refusing it then does no harm. Any other is taken only if its whole
     * time is left: while none of its tries has been sent it may be refused too, and another
     * sidecar has more time for it.
     *
     * @param remainingNs for how long its client waits
     */
    public long timeForReq(long sinceStopNs, long remainingNs, Settings.RetrySafety retrySafety) {
        long killNs = Math.min(longestTimeoutNs, KILL_TIMEOUT_NS) + KILL_DELAY_NS;
        long leftNs = Math.max(0, killNs - ANSWER_MARGIN_NS - sinceStopNs);
        if (remainingNs <= leftNs) {
            return remainingNs;
        }
        return retrySafety == Settings.RetrySafety.IDEMPOTENT ? leftNs : 0;
    }

    /**
     * Returns the time at which everything that is still open is answered. Only what was begun late
     * or waits for longer than the routes' timeouts is open then.
     */
    public long finalAnswersNs() {
        long killNs = Math.max(longestTimeoutNs, KILL_TIMEOUT_NS) + KILL_DELAY_NS;
        return killNs - ANSWER_MARGIN_NS;
    }

    /**
     * Returns the time between the final answers and those to incomplete messages. Whatever was
     * received with what is answered finally has an answer by then.
     */
    public long finalDecodingNs() {
        return FINAL_DECODING_NS;
    }

    /** Returns the time between the answers to incomplete messages and the end of the process. */
    public long finalWritesNs() {
        return FINAL_WRITES_NS;
    }
}
