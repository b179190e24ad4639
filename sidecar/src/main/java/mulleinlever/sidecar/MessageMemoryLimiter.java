package mulleinlever.sidecar;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import mulleinlever.MemoryBudget;

/**
 * Reserves memory for messages out of a {@link MemoryBudget}. Reservations that don't fit wait, and
 * are made in the order of their arrival as memory is released; small ones don't wait behind large
 * ones. Called by the event loop only.
 */
final class MessageMemoryLimiter {
    /** A reservation that waits for memory. */
    interface Waiter {
        /**
         * Called once when the memory has been reserved. May be called within any call that
         * releases memory, so it must not handle messages.
         */
        void onReserved();
    }

    private final MemoryBudget budget;

    /** The waiting reservations with their sizes in bytes, in the order of their arrival. */
    private final Map<Waiter, Integer> smallWaiters = new LinkedHashMap<>();

    private final Map<Waiter, Integer> largeWaiters = new LinkedHashMap<>();

    MessageMemoryLimiter(MemoryBudget budget) {
        this.budget = budget;
    }

    private Map<Waiter, Integer> waitersOfSize(int bytes) {
        return MemoryBudget.isSmall(bytes) ? smallWaiters : largeWaiters;
    }

    /**
     * Reserves memory at once or, if it isn't available, later.
     *
     * @return whether the memory was reserved at once; otherwise the waiter is called later
     */
    boolean reserveOrWait(Waiter waiter, int bytes) {
        Map<Waiter, Integer> waiters = waitersOfSize(bytes);
        if (waiters.isEmpty() && budget.tryReserve(bytes)) {
            return true;
        }
        waiters.put(waiter, bytes);
        return false;
    }

    /** Removes a waiting reservation; has no effect if it doesn't wait. */
    void cancelWait(Waiter waiter) {
        if (smallWaiters.remove(waiter) != null || largeWaiters.remove(waiter) != null) {
            // The one removed may have kept others waiting that do fit.
            reserveForWaiters();
        }
    }

    /** Reserves memory that is in use already, whatever the budget. */
    void reserve(int bytes) {
        budget.reserve(bytes);
    }

    /** Releases reserved memory, and makes the waiting reservations for which there is room now. */
    void release(int bytes) {
        budget.release(bytes);
        reserveForWaiters();
    }

    private void reserveForWaiters() {
        reserveInOrder(smallWaiters);
        reserveInOrder(largeWaiters);
    }

    private void reserveInOrder(Map<Waiter, Integer> waiters) {
        for (Iterator<Map.Entry<Waiter, Integer>> entries = waiters.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<Waiter, Integer> entry = entries.next();
            if (!budget.tryReserve(entry.getValue())) {
                return;
            }
            Waiter waiter = entry.getKey();
            entries.remove();
            waiter.onReserved();
        }
    }

    /** Returns whether memory is short: a reservation waits, or the budget is exceeded. */
    boolean isShort() {
        return !smallWaiters.isEmpty() || !largeWaiters.isEmpty() || budget.isExceeded();
    }

    long reservedBytes() {
        return budget.reservedBytes();
    }
}
