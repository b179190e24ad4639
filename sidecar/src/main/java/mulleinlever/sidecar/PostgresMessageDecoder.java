package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import mulleinlever.settings.InvalidInputException;

/**
 * Cuts a peer's bytes, however they were split, into PostgreSQL's messages. A message is read in
 * place; a part of it that must outlive the next read is taken with {@link #retainBody}.
 */
final class PostgresMessageDecoder {
    /** A value of 64 KiB written as hex takes twice that; no honest message is longer than this. */
    static final int MAX_MESSAGE_BYTES = 192 * 1024;

    private static final int LENGTH_FIELD_BYTES = 4;

    private final ByteBufAllocator allocator;
    private ByteBuf buffer;
    private int currentMessageBytes;

    /** The message at hand: its type, where its body begins and how long that is. */
    char messageType;

    int bodyIndex;
    int bodyLength;

    PostgresMessageDecoder(ByteBufAllocator allocator) {
        this.allocator = allocator;
    }

    /** Takes over the buffer. */
    void addBytes(ByteBuf received) {
        if (buffer == null || !buffer.isReadable()) {
            release();
            buffer = received;
        } else if (buffer.refCnt() == 1 && buffer.writableBytes() >= received.readableBytes()) {
            buffer.writeBytes(received);
            received.release();
        } else {
            // As long as the message that has begun: else a long one would be copied at each read.
            int capacityBytes =
                    Math.max(
                            buffer.readableBytes() + received.readableBytes(), currentMessageBytes);
            ByteBuf larger = allocator.buffer(capacityBytes);
            larger.writeBytes(buffer).writeBytes(received);
            received.release();
            release();
            buffer = larger;
        }
    }

    /** Goes to the next whole message, if there is one; a startup message has no type. */
    boolean nextMessage(boolean hasType) {
        int typeBytes = hasType ? 1 : 0;
        if (buffer == null || buffer.readableBytes() < typeBytes + LENGTH_FIELD_BYTES) {
            return false;
        }
        int start = buffer.readerIndex();
        int lengthBytes = buffer.getInt(start + typeBytes);
        if (lengthBytes < LENGTH_FIELD_BYTES || lengthBytes > MAX_MESSAGE_BYTES) {
            throw new InvalidInputException("a message of " + lengthBytes + " bytes");
        }
        currentMessageBytes = typeBytes + lengthBytes;
        if (buffer.readableBytes() < currentMessageBytes) {
            return false;
        }
        messageType = hasType ? (char) buffer.getUnsignedByte(start) : 0;
        bodyIndex = start + typeBytes + LENGTH_FIELD_BYTES;
        bodyLength = lengthBytes - LENGTH_FIELD_BYTES;
        buffer.skipBytes(currentMessageBytes);
        currentMessageBytes = 0;
        return true;
    }

    boolean hasUnreadBytes() {
        return unreadBytes() > 0;
    }

    /** What the message half read takes, which is more than has come of it. */
    int retainedCapacityBytes() {
        return hasUnreadBytes() ? buffer.capacity() : 0;
    }

    /** Bytes read that belong to no whole message yet, or to one not yet asked for. */
    int unreadBytes() {
        return buffer == null ? 0 : buffer.readableBytes();
    }

    ByteBuf buffer() {
        return buffer;
    }

    /** The body at hand, kept until released. */
    ByteBuf retainBody() {
        return buffer.retainedSlice(bodyIndex, bodyLength);
    }

    /** The message at hand with its head, kept until released. */
    ByteBuf retainMessage() {
        return buffer.retainedSlice(
                bodyIndex - LENGTH_FIELD_BYTES - 1, bodyLength + LENGTH_FIELD_BYTES + 1);
    }

    void release() {
        if (buffer != null) {
            buffer.release();
            buffer = null;
        }
    }
}
