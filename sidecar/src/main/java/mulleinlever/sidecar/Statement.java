package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** A client's statement and what its comment says; the text stays where it was read. */
final class Statement {
    private static final int HEX = 16;

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
        Statement s = new Statement(text);
        int end = text.readerIndex() + text.readableBytes() - 1;
        while (end > text.readerIndex() && text.getByte(end - 1) <= ' ') {
            end--;
        }
        int from = text.readerIndex();
        int at = end - 2;
        if (at < from || text.getByte(at) != '*' || text.getByte(at + 1) != '/') {
            return null;
        }
        int open = at - 2;
        while (open >= from && (text.getByte(open) != '/' || text.getByte(open + 1) != '*')) {
            open--;
        }
        return open >= from && s.fields(open + 2, at) ? s : null;
    }

    private boolean fields(int from, int to) {
        for (int i = from; i < to; ) {
            int comma = text.indexOf(i, to, (byte) ',');
            int end = comma < 0 ? to : comma;
            int a = i;
            int b = end;
            while (a < b && text.getByte(a) <= ' ') {
                a++;
            }
            while (b > a && text.getByte(b - 1) <= ' ') {
                b--;
            }
            int is = text.indexOf(a, b, (byte) '=');
            if (is < 0 || !field(a, is, is + 1, b)) {
                return false;
            }
            i = end + 1;
        }
        return id != null && route != null;
    }

    private boolean field(int nameAt, int is, int from, int to) {
        boolean isId =
                is == nameAt + 2 && text.getByte(nameAt) == 'i' && text.getByte(nameAt + 1) == 'd';
        if (isId) {
            id = word(from, to);
        }
        if (is != nameAt + 1) {
            return true;
        }
        switch (text.getByte(nameAt)) {
            case 'c' -> route = word(from, to);
            case 't' -> tenant = word(from, to);
            case 'r' -> isClientRetry = to == from + 1 && text.getByte(from) == '1';
            case 'd' -> {
                clientTimeoutIndex = from;
                clientTimeoutLength = to - from;
                clientTimeoutMs = digits(from, to);
                return clientTimeoutMs >= 0;
            }
            default -> {}
        }
        return true;
    }

    private String word(int from, int to) {
        return text.toString(from, to - from, StandardCharsets.UTF_8);
    }

    private long digits(int from, int to) {
        long n = 0;
        for (int i = from; i < to; i++) {
            int d = text.getByte(i) - '0';
            if (d < 0 || d > 9 || to - from > 9) {
                return -1;
            }
            n = 10 * n + d;
        }
        return to > from ? n : -1;
    }

    boolean isWrite() {
        return text.getByte(text.readerIndex()) == 'I' || text.getByte(text.readerIndex()) == 'i';
    }

    /**
     * What the req is about: the row named by up to 16 hex digits between quotes; -1 where there is
     * none.
     */
    long key() {
        int from = text.indexOf(text.readerIndex(), text.writerIndex(), (byte) '\'') + 1;
        long key = 0;
        for (int i = from; from > 0 && i < text.writerIndex() && i - from <= HEX; i++) {
            int d = Character.digit(text.getByte(i), HEX);
            if (d < 0) {
                return text.getByte(i) == '\'' && i > from ? key & Long.MAX_VALUE : -1;
            }
            key = key * HEX + d;
        }
        return -1;
    }
}
