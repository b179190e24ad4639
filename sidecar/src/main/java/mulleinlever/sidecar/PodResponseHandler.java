package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import java.nio.charset.StandardCharsets;
import mulleinlever.TryOutcome;
import mulleinlever.settings.InvalidInputException;

/**
 * Fifth stage: what a pod answers. A row is passed on as the pod gave it, and only once it is
 * whole: a pod that dies within one costs a try, not an answer.
 */
final class PodResponseHandler {
    private final ReqRegistry book;

    PodResponseHandler(ReqRegistry book) {
        this.book = book;
    }

    /** The parts of an answer that have come so far. */
    static final class PartialResponse {
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
            ByteBuf all = parts.addComponent(true, PostgresMessages.readyForQuery());
            parts = null;
            clear();
            return all;
        }
    }

    void handleMessage(PodConnection link, UpstreamTry t, PostgresMessageDecoder at) {
        PartialResponse a = link.response;
        switch (at.messageType) {
            case 'T' -> {
                a.described = true;
                a.add(at.retainMessage());
            }
            case 'D' -> {
                if (!a.described || ++a.rows > 1) {
                    throw new InvalidInputException("a row too many");
                }
                a.add(at.retainMessage());
            }
            case 'C' -> {
                link.detachTry();
                if (a.rows == 1) {
                    a.add(at.retainMessage());
                    book.onTryEnded(t, TryOutcome.OK, a.take());
                } else {
                    // No row, no value: it ran, but there is nothing to pass on.
                    book.onTryEnded(t, TryOutcome.ERROR, null);
                }
            }
            case 'E' -> {
                a.clear();
                link.detachTry();
                boolean turnedAway = PostgresMessages.TOO_MANY_CONNECTIONS.equals(code(at));
                book.onTryEnded(t, turnedAway ? TryOutcome.FULL : TryOutcome.ERROR, null);
            }
            // Notices and settings change nothing.
            default -> {}
        }
    }

    private static String code(PostgresMessageDecoder at) {
        ByteBuf b = at.buffer();
        int end = at.bodyIndex + at.bodyLength;
        for (int i = at.bodyIndex; i < end && b.getByte(i) != 0; ) {
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
