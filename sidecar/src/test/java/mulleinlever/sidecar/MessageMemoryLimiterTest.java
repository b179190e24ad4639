package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import java.util.ArrayList;
import java.util.List;
import mulleinlever.MemoryBudget;
import org.junit.jupiter.api.Test;

/** Tests the order of reservations that wait, and the lifetime of those made. */
class MessageMemoryLimiterTest {
    private static final int LARGE_BYTES = 100_000;
    private static final int SMALL_BYTES = 2_000;

    private final MessageMemoryLimiter limiter =
            new MessageMemoryLimiter(new MemoryBudget(2 * LARGE_BYTES));
    private final List<String> reserved = new ArrayList<>();

    private MessageReservation reservation(String name) {
        return new MessageReservation(limiter, () -> reserved.add(name));
    }

    @Test
    void waitersAreServedInOrderAndSmallOnesPassLargeOnes() {
        MessageReservation first = reservation("first");
        assertTrue(first.reserve(LARGE_BYTES));
        MessageReservation second = reservation("second");
        MessageReservation third = reservation("third");
        MessageReservation small = reservation("small");
        assertFalse(second.reserve(LARGE_BYTES));
        assertFalse(third.reserve(LARGE_BYTES));
        assertTrue(small.reserve(SMALL_BYTES));
        assertTrue(limiter.isShort());
        small.release();
        first.release();
        assertEquals(List.of("second"), reserved);
        assertTrue(third.isWaiting());
        second.release();
        assertEquals(List.of("second", "third"), reserved);
        third.release();
        assertEquals(0, limiter.reservedBytes());
        assertFalse(limiter.isShort());
    }

    @Test
    void abandonedWaiterReservesNothing() {
        MessageReservation first = reservation("first");
        MessageReservation second = reservation("second");
        assertTrue(first.reserve(LARGE_BYTES));
        assertFalse(second.reserve(LARGE_BYTES));
        second.release();
        first.release();
        assertEquals(List.of(), reserved);
        assertEquals(0, limiter.reservedBytes());
    }

    @Test
    void reservationLastsAsLongAsAnySliceOfTheBuffer() {
        MessageReservation reservation = reservation("one");
        assertTrue(reservation.reserve(LARGE_BYTES));
        ByteBuf part = PooledByteBufAllocator.DEFAULT.directBuffer(10).writeZero(10);
        ReservedBuffer buffer =
                new ReservedBuffer(PooledByteBufAllocator.DEFAULT, limiter)
                        .append(part, reservation.take());
        reservation.release();
        ByteBuf slice = buffer.retainedSlice(0, 5);
        buffer.release();
        assertEquals(LARGE_BYTES, limiter.reservedBytes());
        slice.release();
        assertEquals(0, limiter.reservedBytes());
        assertEquals(0, part.refCnt());
    }
}
