package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import mulleinlever.settings.InvalidInputException;

/**
 * Receives the lines of an HTTP/1.1 response with chunked transfer coding. Used by the event loop
 * only.
 */
abstract class ChunkedHttpConnection extends LineConnection {
    /** The part of the response that the next byte belongs to. */
    private enum ParseState {
        STATUS,
        HEADERS,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS
    }

    /** The maximum length of a status, header, chunk size or trailer line, in characters. */
    private static final int MAX_PROTOCOL_LINE_LENGTH = 8192;

    /** The current line outside of chunk data. */
    private final StringBuilder protocolLine = new StringBuilder();

    private ParseState state = ParseState.STATUS;
    private boolean chunked;
    private int remainingChunkBytes;

    ChunkedHttpConnection(
            NettyTransport transport, int maxLineBytes, RateLimitedLog log, String logLabel) {
        super(transport, maxLineBytes, log, logLabel);
    }

    /** Called when the response is complete. */
    abstract void onResponseComplete();

    @Override
    final void decode(ByteBuf in) {
        while (in.isReadable()) {
            if (state == ParseState.CHUNK_DATA) {
                int readableChunkBytes = Math.min(remainingChunkBytes, in.readableBytes());
                for (int i = 0; i < readableChunkBytes; i++) {
                    appendByte(in.readByte());
                }
                remainingChunkBytes -= readableChunkBytes;
                state = remainingChunkBytes == 0 ? ParseState.CHUNK_END : state;
            } else {
                appendProtocolChar((char) in.readUnsignedByte());
            }
        }
    }

    private void appendProtocolChar(char c) {
        if (c != '\n') {
            if (protocolLine.length() == MAX_PROTOCOL_LINE_LENGTH) {
                throw new InvalidInputException(
                        "HTTP line too long; the maximum number of characters is "
                                + MAX_PROTOCOL_LINE_LENGTH);
            }
            protocolLine.append(c);
            return;
        }
        String line = protocolLine.toString().trim();
        protocolLine.setLength(0);
        switch (state) {
            case STATUS -> {
                if (!line.matches("HTTP/1\\.[01] 200( .*)?")) {
                    throw new UnexpectedStatusException(line);
                }
                state = ParseState.HEADERS;
            }
            case HEADERS -> {
                chunked |= line.matches("(?i)transfer-encoding:\\s*chunked");
                if (line.isEmpty() && !chunked) {
                    throw new InvalidInputException(
                            "HTTP response without chunked transfer coding");
                }
                state = line.isEmpty() ? ParseState.CHUNK_SIZE : state;
            }
            case CHUNK_SIZE -> {
                remainingChunkBytes = parseChunkSize(line);
                state = remainingChunkBytes == 0 ? ParseState.TRAILERS : ParseState.CHUNK_DATA;
            }
            case CHUNK_END -> state = ParseState.CHUNK_SIZE;
            default -> {
                if (line.isEmpty()) {
                    onResponseComplete();
                }
            }
        }
    }

    private static int parseChunkSize(String text) {
        try {
            int chunkSize = Integer.parseInt(text.replaceAll("\\s*;.*", ""), 16);
            if (chunkSize >= 0) {
                return chunkSize;
            }
        } catch (NumberFormatException e) {
            throw new InvalidInputException("invalid chunk size: " + text);
        }
        throw new InvalidInputException("invalid chunk size: " + text);
    }
}
