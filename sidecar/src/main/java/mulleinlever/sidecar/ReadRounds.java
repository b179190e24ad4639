package mulleinlever.sidecar;

/**
 * Tells up to which moment all that had arrived on any connection has been read. The event loop
 * finds the connections that can be read and reads them, then it runs tasks: a round that began
 * before the one and is complete after the other has read all that had arrived at its start. Called
 * by the event loop only.
 */
final class ReadRounds {
    private final NettyTransport transport;
    private final Clock clock;

    /** The start of the latest complete round, in nanoseconds. */
    private long completeSinceNs;

    /** The end of the last turn of the event loop that has read from a client. */
    private long lastTurnEndNs;

    private boolean turnEndScheduled;

    ReadRounds(NettyTransport transport, Clock clock) {
        this.transport = transport;
        this.clock = clock;
        this.completeSinceNs = clock.nowNs();
        this.lastTurnEndNs = completeSinceNs;
    }

    /** Returns the start of the latest complete round, in nanoseconds. */
    long completeSinceNs() {
        return completeSinceNs;
    }

    /** Returns a time before the event loop began to read in this turn, in nanoseconds. */
    long lastTurnEndNs() {
        return lastTurnEndNs;
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
