package mulleinlever;

/**
 * What a {@link Policy} may ask of the program it lives in. Calls take effect in the order made.
 */
public interface PolicyActions {
    /**
     * Starts the next upstream try of a req.
     *
     * @param writeWithinNs it is written within that time or not at all, and has then failed to
     *     connect
     * @param timeoutNs it ends after that time at the latest
     */
    void startTry(String reqId, String podId, long writeWithinNs, long timeoutNs);

    /** Final answer: turned away, a repeat is harmless; {@code backoffNs} 0 gives no advice. */
    void shedReq(String reqId, long backoffNs);

    /** Final answer: errored, with no promise about any effect. */
    void failReq(String reqId);

    /** Stops waiting for one upstream try. */
    void cancelTry(String reqId, int tryNumber);

    void castVote(int build, int stage, RolloutVote vote);

    /** Asks for changes to the list of pods from now on. */
    void watchPodList();

    /** Asks for {@link Policy#onTimer} at or after a time; timers can't be taken back. */
    void scheduleTimer(long atNs, String token);

    void log(String message);
}
