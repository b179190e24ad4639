package mulleinlever.sidecar;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Sizes the buffers into which one connection reads, by what its decoder expects: a small one for
 * the start of a message, whose memory is not reserved yet, and then what is missing of it.
 */
final class MessageReceiveBufferAllocator extends DefaultMaxMessagesRecvByteBufAllocator {
    /** The number of reads in one turn of the event loop, so that no connection takes all of it. */
    private static final int MAX_READS_PER_TURN = 4;

    private final IntSupplier nextReadBytes;
    private MaxMessageHandle handle;

    MessageReceiveBufferAllocator(IntSupplier nextReadBytes) {
        super(MAX_READS_PER_TURN);
        this.nextReadBytes = nextReadBytes;
    }

    @Override
    public MaxMessageHandle newHandle() {
        handle =
                new MaxMessageHandle() {
                    @Override
                    public int guess() {
                        return nextReadBytes.getAsInt();
                    }
                };
        return handle;
    }

    /** Returns whether the last read left room in its buffer, so that nothing was left to read. */
    boolean wasAllRead() {
        return handle == null
                || handle.attemptedBytesRead() == 0
                || handle.lastBytesRead() < handle.attemptedBytesRead();
    }
}
