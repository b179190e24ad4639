package mulleinlever.sidecar;

/**
 * The memory reserved for the message that a connection receives: none, waited for, or reserved.
 * Called by the event loop only.
 */
final class MessageReservation implements MessageMemoryLimiter.Waiter {
    private final MessageMemoryLimiter limiter;
    private final Runnable onReserved;

    /** The size of the reservation, made or waited for; 0 if there is none. */
    private int bytes;

    private boolean waiting;

    /**
     * @param onReserved called when memory that was waited for has been reserved; it must not
     *     handle messages within the call
     */
    MessageReservation(MessageMemoryLimiter limiter, Runnable onReserved) {
        this.limiter = limiter;
        this.onReserved = onReserved;
    }

    /**
     * Reserves memory for a message, unless that was done before or is being waited for.
     *
     * @return whether the memory is reserved; otherwise it is waited for
     */
    boolean reserve(int messageBytes) {
        if (bytes == 0) {
            bytes = messageBytes;
            waiting = !limiter.reserveOrWait(this, messageBytes);
        }
        return !waiting;
    }

    @Override
    public void onReserved() {
        waiting = false;
        onReserved.run();
    }

    boolean isWaiting() {
        return waiting;
    }

    /** Returns the size of the reservation, which passes to the caller; 0 if there is none. */
    int take() {
        int takenBytes = bytes;
        bytes = 0;
        return takenBytes;
    }

    /** Gives the reservation up, made or waited for; has no effect if there is none. */
    void release() {
        int releasedBytes = take();
        if (waiting) {
            waiting = false;
            limiter.cancelWait(this);
        } else if (releasedBytes > 0) {
            limiter.release(releasedBytes);
        }
    }
}
