package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;

/**
 * A message, or several, whose memory is reserved. The reservation lasts as long as the buffer: it
 * is released when the last reference to the buffer or to a slice of it is.
 */
final class ReservedBuffer extends CompositeByteBuf {
    private static final int MAX_COMPONENTS = 8;

    private final MessageMemoryLimiter limiter;
    private int reservedBytes;

    ReservedBuffer(ByteBufAllocator allocator, MessageMemoryLimiter limiter) {
        super(allocator, true, MAX_COMPONENTS);
        this.limiter = limiter;
    }

    /**
     * Appends a buffer, of which ownership passes to this one.
     *
     * @param partReservedBytes the memory that was reserved for it, in bytes
     */
    ReservedBuffer append(ByteBuf part, int partReservedBytes) {
        addComponent(true, part);
        addReservation(partReservedBytes);
        return this;
    }

    /** Adds reserved memory, in bytes, that is to be released with this buffer. */
    void addReservation(int bytes) {
        reservedBytes += bytes;
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        limiter.release(reservedBytes);
    }
}
