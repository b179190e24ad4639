package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import mulleinlever.MemoryBudget;

/**
 * What a client has sent before its earlier commands have their responses. It is read although it
 * can't be handled yet, since the end of a connection is found only behind all that was sent
 * before. Each instance belongs to one connection and is called by its event loop only.
 */
final class ReadAhead {
    /**
     * The memory up to which a connection is read on while it waits for its share of the event
     * loop.
     */
    private static final int BACKLOG_BYTES = 16 * 1024;

    private final MemoryBudget budget;
    private final long limitBytes;
    private final ArrayDeque<ByteBuf> buffers = new ArrayDeque<>();

    /** The capacity of all buffers, for which memory is reserved, in bytes. */
    private long heldBytes;

    /** Whether a buffer was added for which the budget had no memory left. */
    private boolean budgetExceeded;

    /**
     * @param budget the memory of all connections
     * @param limitBytes the memory that this connection may use
     */
    ReadAhead(MemoryBudget budget, long limitBytes) {
        this.budget = budget;
        this.limitBytes = limitBytes;
    }

    /** Appends received bytes; ownership of the buffer passes to this object. */
    void add(ByteBuf received) {
        ByteBuf last = buffers.peekLast();
        if (last != null && last.writableBytes() >= received.readableBytes()) {
            last.writeBytes(received);
            received.release();
            return;
        }
        if (!budget.tryReserve(received.capacity())) {
            budget.reserve(received.capacity());
            budgetExceeded = true;
        }
        heldBytes += received.capacity();
        buffers.add(received);
    }

    boolean isEmpty() {
        return buffers.isEmpty();
    }

    /** Returns whether more is held than may be, so that the oldest of it has to be shed. */
    boolean isOverLimit() {
        return !buffers.isEmpty() && (budgetExceeded || heldBytes > limitBytes);
    }

    /** Returns whether a connection that waits for its share of the event loop is read on. */
    boolean hasRoomForBacklog() {
        return heldBytes < Math.min(BACKLOG_BYTES, limitBytes) && !budget.isExceeded();
    }

    /** Moves the oldest bytes to a decoder. Returns false if there are none. */
    boolean moveTo(PostgresMessageDecoder decoder) {
        ByteBuf oldest = buffers.poll();
        if (oldest == null) {
            return false;
        }
        releaseMemory(oldest);
        decoder.addBytes(oldest);
        return true;
    }

    private void releaseMemory(ByteBuf buffer) {
        heldBytes -= buffer.capacity();
        budget.release(buffer.capacity());
        budgetExceeded &= !buffers.isEmpty();
    }

    /** Returns the buffer with the newest bytes, without retaining it; null if there is none. */
    ByteBuf newest() {
        return buffers.peekLast();
    }

    /** Releases all bytes. */
    void clear() {
        for (ByteBuf buffer = buffers.poll(); buffer != null; buffer = buffers.poll()) {
            releaseMemory(buffer);
            buffer.release();
        }
    }
}
