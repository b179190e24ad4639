package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import java.nio.charset.StandardCharsets;
import mulleinlever.Ending;
import mulleinlever.settings.Fault;

/**
 * Fifth stage: what a pod answers. A row is passed on as the pod gave it, and only once it is
 * whole: a pod that dies within one costs a try, not an answer.
 */
final class Relay {
    private final Book book;

    Relay(Book book) {
        this.book = book;
    }

    /** The parts of an answer that have come so far. */
    static final class Answer {
        private CompositeByteBuf parts;
        private boolean described;
        private int rows;

        private void add(ByteBuf part) {
            if (parts == null) {
                parts = part.alloc().compositeBuffer(8);
            }
            parts.addComponent(true, part);
        }

        void clear() {
            if (parts != null) {
                parts.release();
            }
            parts = null;
            described = false;
            rows = 0;
        }

        private ByteBuf take() {
            ByteBuf all = parts.addComponent(true, Replies.ready());
            parts = null;
            clear();
            return all;
        }
    }

    void message(PodLink link, Upstream t, Frames at) {
        Answer a = link.answer;
        switch (at.type) {
            case 'T' -> {
                a.described = true;
                a.add(at.keepWhole());
            }
            case 'D' -> {
                if (!a.described || ++a.rows > 1) {
                    throw new Fault("a row too many");
                }
                a.add(at.keepWhole());
            }
            case 'C' -> {
                link.told();
                if (a.rows == 1) {
                    a.add(at.keepWhole());
                    book.ended(t, Ending.OK, a.take());
                } else {
                    // No row, no value: it ran, but there is nothing to pass on.
                    book.ended(t, Ending.ERROR, null);
                }
            }
            case 'E' -> {
                a.clear();
                link.told();
                boolean turnedAway = Replies.SHED.equals(code(at));
                book.ended(t, turnedAway ? Ending.FULL : Ending.ERROR, null);
            }
            // Notices and settings change nothing.
            default -> {}
        }
    }

    private static String code(Frames at) {
        ByteBuf b = at.bytes();
        int end = at.at + at.length;
        for (int i = at.at; i < end && b.getByte(i) != 0; ) {
            int zero = b.indexOf(i + 1, end, (byte) 0);
            if (zero < 0) {
                return "";
            }
            if (b.getByte(i) == 'C') {
                return b.toString(i + 1, zero - i - 1, StandardCharsets.US_ASCII);
            }
            i = zero + 1;
        }
        return "";
    }
}
