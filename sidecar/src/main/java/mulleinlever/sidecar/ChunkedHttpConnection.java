package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import mulleinlever.settings.InvalidInputException;

/** The lines of one HTTP/1.1 answer that is sent in chunks. */
abstract class ChunkedHttpConnection extends LineConnection {
    private enum ParseState {
        STATUS,
        HEADERS,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS
    }

    private static final int MAX_PROTOCOL_LINE_LENGTH = 8192;

    private final StringBuilder protocolLine = new StringBuilder();
    private ParseState state = ParseState.STATUS;
    private boolean chunked;
    private int remainingChunkBytes;

    ChunkedHttpConnection(
            NettyTransport transport, int maxLineBytes, RateLimitedLog log, String logLabel) {
        super(transport, maxLineBytes, log, logLabel);
    }

    /** The last chunk has come. */
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
                throw new InvalidInputException("a head longer than " + MAX_PROTOCOL_LINE_LENGTH);
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
                    throw new InvalidInputException("discovery answers in one piece");
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
            throw new InvalidInputException("a chunk of size " + text);
        }
        throw new InvalidInputException("a chunk of size " + text);
    }
}
