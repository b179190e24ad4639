package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import mulleinlever.settings.InvalidInputException;

/**
 * Decodes a stream of bytes, split at arbitrary positions, into messages of the PostgreSQL
 * protocol. A message is read in place and is valid until the next call of {@link #addBytes} or
 * {@link #nextMessage}; {@link #retainBody} and {@link #retainMessage} return slices that remain
 * valid longer. Each instance belongs to one connection and is called by its event loop only.
 */
final class PostgresMessageDecoder {
    /**
     * The maximum value of a message's length field. A payload of 64 KiB takes 128 KiB as hex
     * digits; no valid message is longer than this limit.
     */
    static final int MAX_MESSAGE_BYTES = 192 * 1024;

    /** The maximum value of a startup message's length field, as in PostgreSQL itself. */
    static final int MAX_STARTUP_MESSAGE_BYTES = 10_000;

    /** The size of the length field, which counts itself but not the type. */
    private static final int LENGTH_FIELD_BYTES = 4;

    /** The size of the buffer for the start of a message. */
    private static final int MIN_READ_BYTES = 1024;

    /** The maximum size of the buffer for the rest of a message. */
    private static final int MAX_READ_BYTES = 32 * 1024;

    /** The maximum size of a buffer that messages keep whatever their own size. */
    private static final int MAX_SHARED_BYTES = 2 * MIN_READ_BYTES;

    private final ByteBufAllocator allocator;

    /** The received bytes; null if there are none. */
    private ByteBuf buffer;

    /** The size of the message whose start has been received, type included; 0 if not known. */
    private int currentMessageBytes;

    /** The size of the type and the length field of that message. */
    private int headerBytes;

    /** The number of bytes that are still to be discarded. */
    private int discardBytes;

    /**
     * The type of the current message, or of the next one once its header has been read; 0 for a
     * startup message.
     */
    char messageType;

    /** The index in {@link #buffer()} at which the body of the current message starts. */
    int bodyIndex;

    /** The length of the body of the current message, in bytes. */
    int bodyLength;

    PostgresMessageDecoder(ByteBufAllocator allocator) {
        this.allocator = allocator;
    }

    /** Appends received bytes; ownership of the given buffer passes to this decoder. */
    void addBytes(ByteBuf received) {
        if (buffer == null || !buffer.isReadable()) {
            release();
            buffer = received;
        } else if (buffer.refCnt() == 1 && buffer.writableBytes() >= received.readableBytes()) {
            buffer.writeBytes(received);
            received.release();
        } else {
            // Allocates space for the complete message that has started. Otherwise a long
            // message would be copied at each read.
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

    /**
     * Advances to the next message. Returns false if it hasn't been received completely.
     *
     * @param hasType whether the message starts with a type, which a startup message doesn't
     * @throws InvalidInputException if the length field is out of range
     */
    boolean nextMessage(boolean hasType) {
        return readHeader(hasType) && readMessage();
    }

    /**
     * Reads the type and the size of the next message, without advancing to it. Returns false if
     * they haven't been received.
     *
     * @param hasType whether the message starts with a type, which a startup message doesn't
     * @throws InvalidInputException if the length field is out of range
     */
    boolean readHeader(boolean hasType) {
        int typeBytes = hasType ? 1 : 0;
        if (unreadBytes() < typeBytes + LENGTH_FIELD_BYTES) {
            return false;
        }
        int start = buffer.readerIndex();
        int lengthBytes = buffer.getInt(start + typeBytes);
        int maxBytes = hasType ? MAX_MESSAGE_BYTES : MAX_STARTUP_MESSAGE_BYTES;
        if (lengthBytes < LENGTH_FIELD_BYTES || lengthBytes > maxBytes) {
            throw new InvalidInputException("a message of " + lengthBytes + " bytes");
        }
        headerBytes = typeBytes + LENGTH_FIELD_BYTES;
        currentMessageBytes = typeBytes + lengthBytes;
        messageType = hasType ? (char) buffer.getUnsignedByte(start) : 0;
        return true;
    }

    /** Returns the size of the next message, whose header has been read. */
    int messageBytes() {
        return currentMessageBytes;
    }

    /** Returns whether the next message, whose header has been read, was received completely. */
    boolean isMessageComplete() {
        return unreadBytes() >= currentMessageBytes;
    }

    /**
     * Advances to the next message, whose header has been read. Returns false if it hasn't been
     * received completely.
     */
    boolean readMessage() {
        if (!isMessageComplete()) {
            return false;
        }
        bodyIndex = buffer.readerIndex() + headerBytes;
        bodyLength = currentMessageBytes - headerBytes;
        buffer.skipBytes(currentMessageBytes);
        currentMessageBytes = 0;
        return true;
    }

    /** Begins to discard the next message, whose header has been read. */
    void startDiscarding() {
        discardBytes = currentMessageBytes;
        currentMessageBytes = 0;
    }

    /** Returns whether a part of the message to discard hasn't been received. */
    boolean isDiscarding() {
        return discardBytes > 0;
    }

    /** Discards what has been received of the message to discard. */
    void discardReceivedBytes() {
        int discardableBytes = Math.min(unreadBytes(), discardBytes);
        if (discardableBytes > 0) {
            buffer.skipBytes(discardableBytes);
            discardBytes -= discardableBytes;
        }
    }

    /**
     * Returns the size of the buffer for the next read, in bytes. It has room for more than is
     * missing, which shows whether anything follows.
     */
    int nextReadBytes() {
        int missingBytes = Math.max(discardBytes, currentMessageBytes - unreadBytes()) + 1;
        return Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, missingBytes));
    }

    /** Returns whether bytes were received beyond the current message. */
    boolean hasUnreadBytes() {
        return unreadBytes() > 0;
    }

    /** Returns whether a part of a message was received, or of one that is being discarded. */
    boolean isMidMessage() {
        return hasUnreadBytes() || isDiscarding();
    }

    /** Returns the number of bytes received beyond the current message. */
    int unreadBytes() {
        return buffer == null ? 0 : buffer.readableBytes();
    }

    /** Returns the buffer with the current message, without retaining it. */
    ByteBuf buffer() {
        return buffer;
    }

    /**
     * Returns the body of the current message; the caller has to release it. A short one is copied
     * out of a long buffer, of which it would keep all.
     */
    ByteBuf retainBody() {
        int capacityBytes = buffer.capacity();
        if (capacityBytes > MAX_SHARED_BYTES && bodyLength < capacityBytes / 4) {
            return allocator.buffer(bodyLength).writeBytes(buffer, bodyIndex, bodyLength);
        }
        return buffer.retainedSlice(bodyIndex, bodyLength);
    }

    /**
     * Returns the current message with its type and length field; the caller has to release it. Not
     * to be called for a startup message, which has no type.
     */
    ByteBuf retainMessage() {
        return buffer.retainedSlice(
                bodyIndex - LENGTH_FIELD_BYTES - 1, bodyLength + LENGTH_FIELD_BYTES + 1);
    }

    /**
     * Releases the buffer if all its bytes belong to messages that were handled. Called after each
     * read, since the next bytes may never come.
     */
    void releaseConsumedBytes() {
        if (!hasUnreadBytes()) {
            release();
        }
    }

    /** Releases the buffer with all unread bytes. */
    void release() {
        if (buffer != null) {
            buffer.release();
            buffer = null;
        }
    }
}
