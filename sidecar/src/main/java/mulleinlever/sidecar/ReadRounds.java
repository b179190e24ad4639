package mulleinlever.sidecar;

/**
 * Tells up to which moment all that had arrived on any connection has been read. The event loop
 * finds the connections that can be read and reads them, then it runs tasks: a round that began
 * before the one and is complete after the other has read all that had arrived at its start. Called
 * by the event loop only.
 */
final class ReadRounds {
    /** The time between two turns above which the process counts as held up. */
    private static final long MAX_TURN_NS = 30_000_000L;

    /** What counts of such a time. */
    private static final long HELD_UP_TURN_NS = 5_000_000L;

    private final NettyTransport transport;
    private final Clock clock;

    /** The start of the latest complete round, in nanoseconds. */
    private long completeSinceNs;

    /** The end of the last turn of the event loop that has read from a client. */
    private long lastTurnEndNs;

    private boolean turnEndScheduled;

    /** The time for which the process ran until {@link #runningCountedNs}. */
    private long runningNs;

    private long runningCountedNs;

    ReadRounds(NettyTransport transport, Clock clock) {
        this.transport = transport;
        this.clock = clock;
        this.completeSinceNs = clock.nowNs();
        this.lastTurnEndNs = completeSinceNs;
        this.runningCountedNs = completeSinceNs;
    }

    /** Returns the start of the latest complete round, in nanoseconds. */
    long completeSinceNs() {
        return completeSinceNs;
    }

    /** Returns a time just before the event loop began to read in this turn, in nanoseconds. */
    long turnStartNs() {
        return Math.max(completeSinceNs, lastTurnEndNs);
    }

    /** Returns for how long the process ran, without the times in which it was held up. */
    long runningNs() {
        long turnNs = clock.nowNs() - runningCountedNs;
        return runningNs + (turnNs > MAX_TURN_NS ? HELD_UP_TURN_NS : turnNs);
    }

    /**
     * Counts the time from the end of an earlier turn to that of this one as a round. To be called
     * while the event loop reads, so that no turn ends twice.
     */
    void onRead() {
        if (!turnEndScheduled) {
            turnEndScheduled = true;
            transport.execute(this::turnEnded);
        }
    }

    private void turnEnded() {
        turnEndScheduled = false;
        completeRound(lastTurnEndNs);
        lastTurnEndNs = clock.nowNs();
    }

    private void completeRound(long startNs) {
        completeSinceNs = Math.max(completeSinceNs, startNs);
        runningNs = runningNs();
        runningCountedNs = clock.nowNs();
    }

    /**
     * Lets a round begin after a delay, whether there is anything to read or not.
     *
     * @param onComplete called when it is complete
     */
    void startRound(long delayNs, Runnable onComplete) {
        if (delayNs > 0) {
            transport.schedule(delayNs, () -> startRound(0, onComplete));
            return;
        }
        long startNs = clock.nowNs();
        transport.runAfterNextReads(
                () -> {
                    completeRound(startNs);
                    onComplete.run();
                });
    }
}
