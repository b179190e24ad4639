package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import mulleinlever.TryOutcome;
import mulleinlever.settings.InvalidInputException;

/**
 * Reads a pod's response to a req and reports the outcome of the try to the {@link ReqRegistry}. A
 * response is forwarded unchanged, and only once it is complete: a pod that fails during its
 * response fails the try, not the req. Called by the event loop only.
 */
final class PodResponseHandler {
    private final ReqRegistry reqRegistry;

    PodResponseHandler(ReqRegistry reqRegistry) {
        this.reqRegistry = reqRegistry;
    }

    /** The part of a response received so far. */
    static final class PartialResponse {
        /** The unused capacity of the buffers into which a response's short messages are read. */
        private static final int OVERHEAD_BYTES = 2048;

        private final MessageMemoryLimiter responseMemory;
        private ReservedBuffer parts;
        private boolean hasRowDescription;
        private int rowCount;

        PartialResponse(MessageMemoryLimiter responseMemory) {
            this.responseMemory = responseMemory;
        }

        /** Appends a message, for which the given memory was reserved. */
        private void add(ByteBuf part, int reservedBytes) {
            if (parts == null) {
                parts = new ReservedBuffer(part.alloc(), responseMemory);
                responseMemory.reserve(OVERHEAD_BYTES);
                parts.addReservation(OVERHEAD_BYTES);
            }
            parts.append(part, reservedBytes);
        }

        /** Releases the part received so far. */
        void clear() {
            if (parts != null) {
                parts.release();
            }
            parts = null;
            hasRowDescription = false;
            rowCount = 0;
        }

        /** Returns the response with ReadyForQuery added; the caller releases it. */
        private ByteBuf takeResponse() {
            ByteBuf response = parts.append(PostgresMessages.readyForQuery(), 0);
            parts = null;
            clear();
            return response;
        }
    }

    /**
     * Handles the message at which the decoder stands, which belongs to the response to a try.
     *
     * @throws InvalidInputException if a DataRow has no RowDescription before it, or if either is
     *     not the only one
     */
    void handleMessage(
            PodConnection connection, UpstreamTry upstreamTry, PostgresMessageDecoder decoder) {
        PartialResponse response = connection.response;
        switch (decoder.messageType) {
            case 'T' -> {
                if (response.hasRowDescription) {
                    throw new InvalidInputException("a second RowDescription");
                }
                response.hasRowDescription = true;
                response.add(decoder.retainMessage(), connection.takeReservation());
            }
            case 'D' -> {
                if (!response.hasRowDescription || ++response.rowCount > 1) {
                    throw new InvalidInputException(
                            "DataRow without RowDescription, or a second DataRow");
                }
                response.add(decoder.retainMessage(), connection.takeReservation());
            }
            case 'C' -> {
                connection.detachTry();
                if (response.rowCount == 1) {
                    response.add(decoder.retainMessage(), connection.takeReservation());
                    reqRegistry.onTryEnded(upstreamTry, TryOutcome.OK, response.takeResponse());
                } else {
                    // The req ran but returned no row, so there is nothing to forward.
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
            // NoticeResponse, ParameterStatus and the like have no effect.
            default -> {}
        }
    }

    /**
     * Returns the SQLSTATE of the ErrorResponse at which the decoder stands, or the empty string if
     * it has none.
     */
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
