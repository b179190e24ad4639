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

    private static final int MOST_HEAD = 8192;

    private final StringBuilder head = new StringBuilder();
    private ParseState part = ParseState.STATUS;
    private boolean chunked;
    private int left;

    ChunkedHttpConnection(NettyTransport net, int longest, RateLimitedLog log, String about) {
        super(net, longest, log, about);
    }

    /** The last chunk has come. */
    abstract void onResponseComplete();

    @Override
    final void decode(ByteBuf in) {
        while (in.isReadable()) {
            if (part == ParseState.CHUNK_DATA) {
                int n = Math.min(left, in.readableBytes());
                for (int i = 0; i < n; i++) {
                    appendByte(in.readByte());
                }
                left -= n;
                part = left == 0 ? ParseState.CHUNK_END : part;
            } else {
                headLetter((char) in.readUnsignedByte());
            }
        }
    }

    private void headLetter(char c) {
        if (c != '\n') {
            if (head.length() == MOST_HEAD) {
                throw new InvalidInputException("a head longer than " + MOST_HEAD);
            }
            head.append(c);
            return;
        }
        String text = head.toString().trim();
        head.setLength(0);
        switch (part) {
            case STATUS -> {
                if (!text.matches("HTTP/1\\.[01] 200( .*)?")) {
                    throw new UnexpectedStatusException(text);
                }
                part = ParseState.HEADERS;
            }
            case HEADERS -> {
                chunked |= text.matches("(?i)transfer-encoding:\\s*chunked");
                if (text.isEmpty() && !chunked) {
                    throw new InvalidInputException("discovery answers in one piece");
                }
                part = text.isEmpty() ? ParseState.CHUNK_SIZE : part;
            }
            case CHUNK_SIZE -> {
                left = size(text);
                part = left == 0 ? ParseState.TRAILERS : ParseState.CHUNK_DATA;
            }
            case CHUNK_END -> part = ParseState.CHUNK_SIZE;
            default -> {
                if (text.isEmpty()) {
                    onResponseComplete();
                }
            }
        }
    }

    private static int size(String text) {
        try {
            int n = Integer.parseInt(text.replaceAll("\\s*;.*", ""), 16);
            if (n >= 0) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw new InvalidInputException("a chunk of size " + text);
        }
        throw new InvalidInputException("a chunk of size " + text);
    }
}
