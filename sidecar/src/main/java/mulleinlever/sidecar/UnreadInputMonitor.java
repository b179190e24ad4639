package mulleinlever.sidecar;

import mulleinlever.ClientPresencePolicy;

/**
 * Tells when a channel is last known to have had nothing to read, which is also when its peer is
 * last known not to have ended it: a round that reads nothing from a channel shows it. A channel
 * that was read may have received more since, the end included, unless what it receives later shows
 * that it had not ended. Called by the event loop only.
 */
final class UnreadInputMonitor {
    private final ReadRounds rounds;
    private long lastReadNs;

    /** When the channel was last known to have had nothing to read, as of the last change. */
    private long emptyAtNs;

    /** The number of bytes that were read since then. */
    private long readBytes;

    /** A time at which all that had arrived was read, if {@link #drained}. */
    private long drainedAtNs;

    private boolean drained;
    private boolean paused;
    private boolean ended;

    /**
     * @param emptyAtNs a time at which nothing had been received
     */
    UnreadInputMonitor(ReadRounds rounds, long emptyAtNs, long nowNs) {
        this.rounds = rounds;
        this.emptyAtNs = emptyAtNs;
        this.lastReadNs = nowNs;
    }

    /** Returns when the channel is last known to have had nothing to read, in nanoseconds. */
    long emptyAtNs() {
        long roundStartNs = rounds.completeSinceNs();
        boolean nothingRead = !paused && !ended && lastReadNs < roundStartNs;
        return nothingRead ? Math.max(emptyAtNs, roundStartNs) : emptyAtNs;
    }

    /** Records that something was read. */
    void onRead(long nowNs, int byteCount) {
        advanceTo(emptyAtNs());
        if (drained && ClientPresencePolicy.showsSentLater(readBytes)) {
            advanceTo(drainedAtNs);
        }
        drained = false;
        readBytes += byteCount;
        lastReadNs = nowNs;
    }

    private void advanceTo(long timeNs) {
        if (timeNs > emptyAtNs) {
            emptyAtNs = timeNs;
            readBytes = 0;
        }
    }

    /**
     * Records that the reads of this turn of the event loop are over.
     *
     * @param allRead whether the last one left room in its buffer
     */
    void onReadComplete(boolean allRead) {
        drained = allRead;
        drainedAtNs = rounds.turnStartNs();
    }

    /** Records that reading pauses. */
    void pause() {
        advanceTo(emptyAtNs());
        paused = true;
    }

    /** Records that reading goes on. */
    void resume(long nowNs) {
        paused = false;
        lastReadNs = nowNs;
    }

    /** Records that the peer has ended its sending, so that nothing more is read. */
    void end() {
        advanceTo(emptyAtNs());
        ended = true;
    }

    /** Returns whether the peer has ended its sending. */
    boolean hasEnded() {
        return ended;
    }
}
