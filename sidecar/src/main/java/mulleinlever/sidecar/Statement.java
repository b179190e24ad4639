package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import mulleinlever.SipHash;

/**
 * A client's SQL statement with the fields of the comment at its end, such as {@code
 * id=9b1f,c=basket,d=480}. The text is not copied: it remains a slice of the buffer into which it
 * was read. Immutable after {@link #parse}.
 */
final class Statement {
    /** The radix of keys, and also their maximum number of digits: 16 hex digits are 64 bits. */
    private static final int HEX_RADIX = 16;

    /**
     * The size up to which an id is kept as text, in bytes. The memory of a statement beside its
     * text must not grow with what a client writes.
     */
    private static final int MAX_ID_BYTES = 64;

    /** The size above which the name of a route or a tenant counts as unknown, in bytes. */
    private static final int MAX_NAME_BYTES = 256;

    /** The beginning of {@link #id} for a longer id; no field of a client has a comma. */
    private static final String LONG_ID_PREFIX = "long,";

    private final SipHash longIdHash;

    /** The text with its terminating zero byte. */
    final ByteBuf text;

    /** The req's id: field {@code id}, or a hash of it if it is long. */
    String id;

    /** The name of the route: field {@code c}. */
    String route;

    /** The name of the tenant: field {@code t}; null if absent or too long. */
    String tenant;

    /** Whether the client has sent this req before: field {@code r} is 1. */
    boolean isClientRetry;

    /** How long the client waits for the response: field {@code d}; -1 if absent. */
    long clientTimeoutMs = -1;

    /**
     * The position of the value of field {@code d} in the text. Each try replaces the value by the
     * time that is left to its pod.
     */
    int clientTimeoutIndex;

    /** The number of digits of the value of field {@code d}. */
    int clientTimeoutLength;

    private Statement(ByteBuf text, SipHash longIdHash) {
        this.text = text;
        this.longIdHash = longIdHash;
    }

    /**
     * Parses the comment at the end of a statement. Returns null if the comment is missing, is
     * malformed or lacks the id or the route. In either case the caller keeps ownership of the
     * text.
     *
     * @param longIdHash the function by whose results long ids are told apart
     */
    static Statement parse(ByteBuf text, SipHash longIdHash) {
        Statement statement = new Statement(text, longIdHash);
        int end = text.readerIndex() + text.readableBytes() - 1;
        while (end > text.readerIndex() && text.getByte(end - 1) <= ' ') {
            end--;
        }
        int start = text.readerIndex();
        int commentEnd = end - 2;
        if (commentEnd < start
                || text.getByte(commentEnd) != '*'
                || text.getByte(commentEnd + 1) != '/') {
            return null;
        }
        int commentStart = commentEnd - 2;
        while (commentStart >= start
                && (text.getByte(commentStart) != '/' || text.getByte(commentStart + 1) != '*')) {
            commentStart--;
        }
        return commentStart >= start && statement.parseFields(commentStart + 2, commentEnd)
                ? statement
                : null;
    }

    /**
     * Parses the comma-separated fields in the given range of the text. Returns whether all are
     * well formed and the id and the route are present.
     */
    private boolean parseFields(int start, int end) {
        for (int segmentStart = start; segmentStart < end; ) {
            int comma = text.indexOf(segmentStart, end, (byte) ',');
            int segmentEnd = comma < 0 ? end : comma;
            int fieldStart = segmentStart;
            int fieldEnd = segmentEnd;
            while (fieldStart < fieldEnd && text.getByte(fieldStart) <= ' ') {
                fieldStart++;
            }
            while (fieldEnd > fieldStart && text.getByte(fieldEnd - 1) <= ' ') {
                fieldEnd--;
            }
            int equalsIndex = text.indexOf(fieldStart, fieldEnd, (byte) '=');
            if (equalsIndex < 0
                    || !parseField(fieldStart, equalsIndex, equalsIndex + 1, fieldEnd)) {
                return false;
            }
            segmentStart = segmentEnd + 1;
        }
        return id != null && route != null;
    }

    /**
     * Parses one field; unknown names are ignored. Returns false if the client's timeout isn't a
     * number.
     */
    private boolean parseField(int nameStart, int nameEnd, int valueStart, int valueEnd) {
        boolean isId =
                nameEnd == nameStart + 2
                        && text.getByte(nameStart) == 'i'
                        && text.getByte(nameStart + 1) == 'd';
        if (isId) {
            id = decodeId(valueStart, valueEnd);
        }
        if (nameEnd != nameStart + 1) {
            return true;
        }
        switch (text.getByte(nameStart)) {
            case 'c' -> route = decodeName(valueStart, valueEnd);
            case 't' -> tenant = decodeName(valueStart, valueEnd);
            case 'r' ->
                    isClientRetry = valueEnd == valueStart + 1 && text.getByte(valueStart) == '1';
            case 'd' -> {
                clientTimeoutIndex = valueStart;
                clientTimeoutLength = valueEnd - valueStart;
                clientTimeoutMs = parseDigits(valueStart, valueEnd);
                return clientTimeoutMs >= 0;
            }
            default -> {}
        }
        return true;
    }

    private String decodeId(int start, int end) {
        if (end - start <= MAX_ID_BYTES) {
            return decode(start, end);
        }
        long hash = longIdHash.hash(ByteBufUtil.getBytes(text, start, end - start));
        return LONG_ID_PREFIX + Long.toHexString(hash);
    }

    /** Returns the name in the given range of the text; null if it is too long. */
    private String decodeName(int start, int end) {
        return end - start <= MAX_NAME_BYTES ? decode(start, end) : null;
    }

    /** Returns the given range of the text, decoded as UTF-8. */
    private String decode(int start, int end) {
        return text.toString(start, end - start, StandardCharsets.UTF_8);
    }

    /**
     * Returns the decimal number of 1 to 9 digits in the given range of the text, or -1 if there is
     * none.
     */
    private long parseDigits(int start, int end) {
        long value = 0;
        for (int i = start; i < end; i++) {
            int digit = text.getByte(i) - '0';
            if (digit < 0 || digit > 9 || end - start > 9) {
                return -1;
            }
            value = 10 * value + digit;
        }
        return end > start ? value : -1;
    }

    /** Returns whether the statement is an INSERT, as its first letter shows. */
    boolean isWrite() {
        return text.getByte(text.readerIndex()) == 'I' || text.getByte(text.readerIndex()) == 'i';
    }

    /**
     * Returns the key of the row that the statement refers to, or -1 if there is none. The key is
     * the first quoted literal, if it consists of 1 to 16 hex digits; the highest bit is cleared so
     * that it is never negative.
     */
    long key() {
        int start = text.indexOf(text.readerIndex(), text.writerIndex(), (byte) '\'') + 1;
        long key = 0;
        for (int i = start; start > 0 && i < text.writerIndex() && i - start <= HEX_RADIX; i++) {
            int digit = Character.digit(text.getByte(i), HEX_RADIX);
            if (digit < 0) {
                return text.getByte(i) == '\'' && i > start ? key & Long.MAX_VALUE : -1;
            }
            key = key * HEX_RADIX + digit;
        }
        return -1;
    }
}
