package mulleinlever;

/**
 * The actions that a {@link Policy} takes through the program that runs it. They take effect in the
 * order of the calls.
 */
public interface PolicyActions {
    /**
     * Starts the next try of a req. Its end is reported through {@link Policy#onTryEnded}, under
     * the number of tries of the req before it.
     *
     * @param writeWithinNs the time within which the req is written; after that it is not written,
     *     and the try ends with {@link TryOutcome#CONNECT_FAILED}
     * @param timeoutNs the time after which the try ends with {@link TryOutcome#TIMEOUT}
     */
    void startTry(String reqId, String podId, long writeWithinNs, long timeoutNs);

    /**
     * Answers a req finally with a shed reply: a retry by the client is harmless.
     *
     * @param backoffNs how long the client is advised to wait; 0 for no advice
     */
    void shedReq(String reqId, long backoffNs);

    /** Answers a req finally with an error, which says nothing about effects of the req. */
    void failReq(String reqId);

    /** Cancels a try of a req. */
    void cancelTry(String reqId, int tryNumber);

    /**
     * Sends a vote to the platform. The answer is reported through {@link Policy#onVoteAnswered}.
     */
    void castVote(int build, int stage, RolloutVote vote);

    /** Requests the changes of the pod list from discovery, from now on. */
    void watchPodList();

    /**
     * Schedules a call of {@link Policy#onTimer} at or after a time. Timers cannot be cancelled.
     */
    void scheduleTimer(long atNs, String token);

    /** Logs a message. */
    void log(String message);
}
