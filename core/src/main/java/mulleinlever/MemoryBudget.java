package mulleinlever;

/**
 * Bounds the memory that messages of one direction take. A message is admitted by reserving its
 * memory before it is received. The last part of the budget is kept for small messages, so that a
 * few clients with large ones leave room for all others. Used on the event loop.
 */
public final class MemoryBudget {
    /** The largest reservation that may use the whole budget, in bytes. */
    private static final int SMALL_RESERVATION_BYTES = 8192;

    /** The share of the budget that larger reservations may fill. */
    private static final double LARGE_RESERVATION_SHARE = 0.875;

    private final long limitBytes;
    private long reservedBytes;

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param limitBytes the size of the budget in bytes
     */
    public MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns whether a reservation counts as small. */
    public static boolean isSmall(int bytes) {
        return bytes <= SMALL_RESERVATION_BYTES;
    }

    /**
     * Reserves memory if the budget allows it. While nothing is reserved, any message is admitted:
     * one that is larger than the budget could never be otherwise.
     *
     * @return whether the memory was reserved
     */
    public boolean tryReserve(int bytes) {
        double allowedBytes = isSmall(bytes) ? limitBytes : LARGE_RESERVATION_SHARE * limitBytes;
        if (reservedBytes > 0 && reservedBytes + bytes > allowedBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Reserves memory that is in use already, whatever the budget. */
    public void reserve(int bytes) {
        reservedBytes += bytes;
    }

    /** Gives reserved memory back. */
    public void release(int bytes) {
        reservedBytes -= bytes;
    }

    /** Returns the reserved memory in bytes. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Returns whether more is reserved than the budget has. */
    public boolean isExceeded() {
        return reservedBytes > limitBytes;
    }
}
