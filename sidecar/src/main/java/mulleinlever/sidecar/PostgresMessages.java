package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** The messages of our own that a client or a pod is sent. */
final class PostgresMessages {
    static final String TOO_MANY_CONNECTIONS = "53300";
    static final String INTERNAL_ERROR = "XX000";
    static final String PROTOCOL_VIOLATION = "08P01";
    static final String SYNTAX_ERROR = "42601";

    private static final ByteBuf WELCOME = welcoming();
    private static final ByteBuf READY = fixed(new byte[] {'Z', 0, 0, 0, 5, 'I'});
    private static final ByteBuf EMPTY = fixed(new byte[] {'I', 0, 0, 0, 4, 'Z', 0, 0, 0, 5, 'I'});
    private static final ByteBuf NO_CRYPTO = fixed(new byte[] {'N'});
    private static final ByteBuf HELLO = startup();

    private PostgresMessages() {}

    private static ByteBuf fixed(byte[] bytes) {
        ByteBuf all = Unpooled.directBuffer(bytes.length).writeBytes(bytes);
        return Unpooled.unreleasableBuffer(all).asReadOnly();
    }

    /**
     * AuthenticationOk, no password being asked for; the settings that client libraries insist on;
     * ready.
     */
    private static ByteBuf welcoming() {
        String[] settings = {
            "server_version",
            "16.0",
            "server_encoding",
            "UTF8",
            "client_encoding",
            "UTF8",
            "DateStyle",
            "ISO, MDY",
            "integer_datetimes",
            "on",
            "standard_conforming_strings",
            "on"
        };
        ByteBuf all = Unpooled.buffer().writeBytes(new byte[] {'R', 0, 0, 0, 8, 0, 0, 0, 0});
        for (int i = 0; i < settings.length; i += 2) {
            byte[] words =
                    (settings[i] + "\0" + settings[i + 1] + "\0")
                            .getBytes(StandardCharsets.US_ASCII);
            all.writeByte('S').writeInt(4 + words.length).writeBytes(words);
        }
        all.writeBytes(new byte[] {'Z', 0, 0, 0, 5, 'I'});
        byte[] bytes = new byte[all.readableBytes()];
        all.readBytes(bytes);
        return fixed(bytes);
    }

    private static ByteBuf startup() {
        byte[] words = "user\0web\0database\0orders\0\0".getBytes(StandardCharsets.US_ASCII);
        ByteBuf all =
                Unpooled.buffer().writeInt(8 + words.length).writeInt(3 << 16).writeBytes(words);
        byte[] bytes = new byte[all.readableBytes()];
        all.readBytes(bytes);
        return fixed(bytes);
    }

    static ByteBuf startupResponse() {
        return WELCOME.duplicate();
    }

    static ByteBuf readyForQuery() {
        return READY.duplicate();
    }

    static ByteBuf emptyQueryResponse() {
        return EMPTY.duplicate();
    }

    static ByteBuf encryptionRefused() {
        return NO_CRYPTO.duplicate();
    }

    /** What opens a connection to a pod. */
    static ByteBuf startupMessage() {
        return HELLO.duplicate();
    }

    /** ErrorResponse and ReadyForQuery; {@code comeBackMs} 0 gives no advice. */
    static ByteBuf errorResponse(String code, String text, long comeBackMs, boolean ready) {
        ByteBuf b = Unpooled.buffer(96);
        b.writeByte('E').writeInt(0);
        field(b, 'S', "ERROR");
        field(b, 'V', "ERROR");
        field(b, 'C', code);
        field(b, 'M', text);
        if (comeBackMs > 0) {
            field(b, 'D', Long.toString(comeBackMs));
        }
        b.writeByte(0);
        b.setInt(1, b.readableBytes() - 1);
        return ready ? b.writeBytes(READY.duplicate()) : b;
    }

    private static void field(ByteBuf b, char name, String text) {
        b.writeByte(name).writeCharSequence(text, StandardCharsets.UTF_8);
        b.writeByte(0);
    }
}
