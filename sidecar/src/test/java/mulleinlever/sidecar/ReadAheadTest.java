package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import mulleinlever.MemoryBudget;
import org.junit.jupiter.api.Test;

/** Tests the memory of what clients send ahead. */
class ReadAheadTest {
    private static final int BUFFER_BYTES = 1024;
    private static final int CONNECTION_LIMIT_BYTES = 8 * BUFFER_BYTES;

    private final MemoryBudget budget = new MemoryBudget(2 * CONNECTION_LIMIT_BYTES);
    private final ReadAhead readAhead = new ReadAhead(budget, CONNECTION_LIMIT_BYTES);

    private static ByteBuf received(int bytes) {
        return PooledByteBufAllocator.DEFAULT.buffer(BUFFER_BYTES).writeZero(bytes);
    }

    @Test
    void oneConnectionHoldsNoMoreThanItsLimit() {
        while (!readAhead.isOverLimit()) {
            readAhead.add(received(BUFFER_BYTES));
        }
        assertEquals(CONNECTION_LIMIT_BYTES + BUFFER_BYTES, budget.reservedBytes());
        readAhead.clear();
        assertEquals(0, budget.reservedBytes());
        assertFalse(readAhead.isOverLimit());
    }

    @Test
    void allConnectionsTogetherHoldNoMoreThanTheBudget() {
        budget.reserve(2 * CONNECTION_LIMIT_BYTES);
        readAhead.add(received(BUFFER_BYTES));
        assertTrue(readAhead.isOverLimit());
        readAhead.clear();
        assertFalse(readAhead.isOverLimit());
        assertEquals(2 * CONNECTION_LIMIT_BYTES, budget.reservedBytes());
    }

    // Single bytes, each in a buffer of its own, would take a thousand times their size.
    @Test
    void smallReadsShareOneBuffer() {
        for (int i = 0; i < BUFFER_BYTES; i++) {
            readAhead.add(received(1));
        }
        assertEquals(BUFFER_BYTES, budget.reservedBytes());
        readAhead.clear();
    }
}
