package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the budget of the memory of messages. */
class MemoryBudgetTest {
    private static final int LARGE_BYTES = 100_000;
    private static final int SMALL_BYTES = 2_000;

    @Test
    void largeMessagesLeaveRoomForSmallOnes() {
        MemoryBudget budget = new MemoryBudget(10 * LARGE_BYTES);
        int largeCount = 0;
        while (budget.tryReserve(LARGE_BYTES)) {
            largeCount++;
        }
        assertEquals(8, largeCount);
        int smallCount = 0;
        while (budget.tryReserve(SMALL_BYTES)) {
            smallCount++;
        }
        assertEquals(100, smallCount);
        assertFalse(budget.isExceeded());
    }

    @Test
    void messageLargerThanTheBudgetIsAdmittedAlone() {
        MemoryBudget budget = new MemoryBudget(LARGE_BYTES / 2);
        assertTrue(budget.tryReserve(LARGE_BYTES));
        assertFalse(budget.tryReserve(SMALL_BYTES));
        budget.release(LARGE_BYTES);
        assertEquals(0, budget.reservedBytes());
        assertTrue(budget.tryReserve(SMALL_BYTES));
    }
}
