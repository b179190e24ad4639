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
    private final ReqRegistry reqRegistry;

    PodResponseHandler(ReqRegistry reqRegistry) {
        this.reqRegistry = reqRegistry;
    }

    /** The parts of an answer that have come so far. */
    static final class PartialResponse {
        private CompositeByteBuf parts;
        private boolean hasRowDescription;
        private int rowCount;

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
            hasRowDescription = false;
            rowCount = 0;
        }

        private ByteBuf takeResponse() {
            ByteBuf response = parts.addComponent(true, PostgresMessages.readyForQuery());
            parts = null;
            clear();
            return response;
        }
    }

    void handleMessage(
            PodConnection connection, UpstreamTry upstreamTry, PostgresMessageDecoder decoder) {
        PartialResponse response = connection.response;
        switch (decoder.messageType) {
            case 'T' -> {
                response.hasRowDescription = true;
                response.add(decoder.retainMessage());
            }
            case 'D' -> {
                if (!response.hasRowDescription || ++response.rowCount > 1) {
                    throw new InvalidInputException("a row too many");
                }
                response.add(decoder.retainMessage());
            }
            case 'C' -> {
                connection.detachTry();
                if (response.rowCount == 1) {
                    response.add(decoder.retainMessage());
                    reqRegistry.onTryEnded(upstreamTry, TryOutcome.OK, response.takeResponse());
                } else {
                    // No row, no value: it ran, but there is nothing to pass on.
                    reqRegistry.onTryEnded(upstreamTry, TryOutcome.ERROR, null);
                }
            }
            case 'E' -> {
                response.clear();
                connection.detachTry();
                boolean tooManyConnections =
                        PostgresMessages.TOO_MANY_CONNECTIONS.equals(errorCode(decoder));
                reqRegistry.onTryEnded(
                        upstreamTry, tooManyConnections ? TryOutcome.FULL : TryOutcome.ERROR, null);
            }
            // Notices and settings change nothing.
            default -> {}
        }
    }

    private static String errorCode(PostgresMessageDecoder decoder) {
        ByteBuf buffer = decoder.buffer();
        int bodyEnd = decoder.bodyIndex + decoder.bodyLength;
        for (int i = decoder.bodyIndex; i < bodyEnd && buffer.getByte(i) != 0; ) {
            int terminatorIndex = buffer.indexOf(i + 1, bodyEnd, (byte) 0);
            if (terminatorIndex < 0) {
                return "";
            }
            if (buffer.getByte(i) == 'C') {
                return buffer.toString(i + 1, terminatorIndex - i - 1, StandardCharsets.US_ASCII);
            }
            i = terminatorIndex + 1;
        }
        return "";
    }
}
