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
     * @param limitNs it ends after that time at the latest
     */
    void relay(String rq, String pod, long writeWithinNs, long limitNs);

    /** Final answer: turned away, a repeat is harmless; {@code backoffNs} 0 gives no advice. */
    void shed(String rq, long backoffNs);

    /** Final answer: errored, with no promise about any effect. */
    void error(String rq);

    /** Stops waiting for one upstream try. */
    void cancel(String rq, int tryNo);

    void vote(int build, int stage, RolloutVote verdict);

    /** Asks for changes to the list of pods from now on. */
    void watchList();

    /** Asks for {@link Policy#timer} at or after a time; timers can't be taken back. */
    void timer(long atNs, String token);

    void log(String line);
}
