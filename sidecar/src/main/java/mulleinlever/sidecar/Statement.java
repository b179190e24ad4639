package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** A client's statement and what its comment says; the text stays where it was read. */
final class Statement {
    private static final int HEX_RADIX = 16;

    /** The text with the zero behind it. */
    final ByteBuf text;

    String id;
    String route;
    String tenant;
    boolean isClientRetry;
    long clientTimeoutMs = -1;

    /**
     * Where the number stands that says how long the client waits: each pod is told its own there.
     */
    int clientTimeoutIndex;

    int clientTimeoutLength;

    private Statement(ByteBuf text) {
        this.text = text;
    }

    /**
     * Null where the text is not in the form that reqs have; it is left to the caller to release.
     */
    static Statement parse(ByteBuf text) {
        Statement statement = new Statement(text);
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

    private boolean parseField(int nameStart, int nameEnd, int valueStart, int valueEnd) {
        boolean isId =
                nameEnd == nameStart + 2
                        && text.getByte(nameStart) == 'i'
                        && text.getByte(nameStart + 1) == 'd';
        if (isId) {
            id = decode(valueStart, valueEnd);
        }
        if (nameEnd != nameStart + 1) {
            return true;
        }
        switch (text.getByte(nameStart)) {
            case 'c' -> route = decode(valueStart, valueEnd);
            case 't' -> tenant = decode(valueStart, valueEnd);
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

    private String decode(int start, int end) {
        return text.toString(start, end - start, StandardCharsets.UTF_8);
    }

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

    boolean isWrite() {
        return text.getByte(text.readerIndex()) == 'I' || text.getByte(text.readerIndex()) == 'i';
    }

    /**
     * What the req is about: the row named by up to 16 hex digits between quotes; -1 where there is
     * none.
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
