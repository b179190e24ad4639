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

    private static final int LENGTH = 4;

    private final ByteBufAllocator alloc;
    private ByteBuf bytes;
    private int begun;

    /** The message at hand: its type, where its body begins and how long that is. */
    char messageType;

    int bodyIndex;
    int bodyLength;

    PostgresMessageDecoder(ByteBufAllocator alloc) {
        this.alloc = alloc;
    }

    /** Takes over the buffer. */
    void addBytes(ByteBuf more) {
        if (bytes == null || !bytes.isReadable()) {
            release();
            bytes = more;
        } else if (bytes.refCnt() == 1 && bytes.writableBytes() >= more.readableBytes()) {
            bytes.writeBytes(more);
            more.release();
        } else {
            // As long as the message that has begun: else a long one would be copied at each read.
            int need = Math.max(bytes.readableBytes() + more.readableBytes(), begun);
            ByteBuf wider = alloc.buffer(need);
            wider.writeBytes(bytes).writeBytes(more);
            more.release();
            release();
            bytes = wider;
        }
    }

    /** Goes to the next whole message, if there is one; a startup message has no type. */
    boolean nextMessage(boolean typed) {
        int head = typed ? 1 : 0;
        if (bytes == null || bytes.readableBytes() < head + LENGTH) {
            return false;
        }
        int from = bytes.readerIndex();
        int n = bytes.getInt(from + head);
        if (n < LENGTH || n > MAX_MESSAGE_BYTES) {
            throw new InvalidInputException("a message of " + n + " bytes");
        }
        begun = head + n;
        if (bytes.readableBytes() < begun) {
            return false;
        }
        messageType = typed ? (char) bytes.getUnsignedByte(from) : 0;
        bodyIndex = from + head + LENGTH;
        bodyLength = n - LENGTH;
        bytes.skipBytes(begun);
        begun = 0;
        return true;
    }

    boolean hasUnreadBytes() {
        return unreadBytes() > 0;
    }

    /** What the message half read takes, which is more than has come of it. */
    int retainedCapacityBytes() {
        return hasUnreadBytes() ? bytes.capacity() : 0;
    }

    /** Bytes read that belong to no whole message yet, or to one not yet asked for. */
    int unreadBytes() {
        return bytes == null ? 0 : bytes.readableBytes();
    }

    ByteBuf buffer() {
        return bytes;
    }

    /** The body at hand, kept until released. */
    ByteBuf retainBody() {
        return bytes.retainedSlice(bodyIndex, bodyLength);
    }

    /** The message at hand with its head, kept until released. */
    ByteBuf retainMessage() {
        return bytes.retainedSlice(bodyIndex - LENGTH - 1, bodyLength + LENGTH + 1);
    }

    void release() {
        if (bytes != null) {
            bytes.release();
            bytes = null;
        }
    }
}
