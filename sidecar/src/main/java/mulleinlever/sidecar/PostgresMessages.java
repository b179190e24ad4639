package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * The messages of the PostgreSQL protocol that the sidecar composes itself, for clients and pods.
 * Every method returns a buffer that may be written to a channel without retaining it.
 */
final class PostgresMessages {
    // The SQLSTATEs of error responses.
    static final String TOO_MANY_CONNECTIONS = "53300";

    static final String ADMIN_SHUTDOWN = "57P01";
    static final String INTERNAL_ERROR = "XX000";
    static final String PROTOCOL_VIOLATION = "08P01";
    static final String SYNTAX_ERROR = "42601";

    private static final ByteBuf STARTUP_RESPONSE = buildStartupResponse();
    private static final ByteBuf READY_FOR_QUERY =
            constantMessage(new byte[] {'Z', 0, 0, 0, 5, 'I'});
    private static final ByteBuf EMPTY_QUERY_RESPONSE =
            constantMessage(new byte[] {'I', 0, 0, 0, 4, 'Z', 0, 0, 0, 5, 'I'});
    private static final ByteBuf ENCRYPTION_REFUSED = constantMessage(new byte[] {'N'});
    private static final ByteBuf STARTUP_MESSAGE = buildStartupMessage();
    private static final ByteBuf UNCHANGED_PARAMETER = buildUnchangedParameter();
    private static final ByteBuf SHED_RESPONSE = buildShedResponse();

    private PostgresMessages() {}

    /** Returns an unreleasable read-only buffer, so that one buffer serves all connections. */
    private static ByteBuf constantMessage(byte[] bytes) {
        ByteBuf buffer = Unpooled.directBuffer(bytes.length).writeBytes(bytes);
        return Unpooled.unreleasableBuffer(buffer).asReadOnly();
    }

    /**
     * Returns AuthenticationOk, since no password is requested, a ParameterStatus for each
     * parameter that client libraries require, and ReadyForQuery.
     */
    private static ByteBuf buildStartupResponse() {
        String[] parameters = {
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
        ByteBuf response = Unpooled.buffer().writeBytes(new byte[] {'R', 0, 0, 0, 8, 0, 0, 0, 0});
        for (int i = 0; i < parameters.length; i += 2) {
            writeParameterStatus(response, parameters[i], parameters[i + 1]);
        }
        response.writeBytes(new byte[] {'Z', 0, 0, 0, 5, 'I'});
        byte[] bytes = new byte[response.readableBytes()];
        response.readBytes(bytes);
        return constantMessage(bytes);
    }

    private static void writeParameterStatus(ByteBuf response, String name, String value) {
        byte[] parameterBytes = (name + "\0" + value + "\0").getBytes(StandardCharsets.US_ASCII);
        response.writeByte('S').writeInt(4 + parameterBytes.length).writeBytes(parameterBytes);
    }

    private static ByteBuf buildUnchangedParameter() {
        ByteBuf message = Unpooled.buffer();
        writeParameterStatus(message, "client_encoding", "UTF8");
        byte[] bytes = new byte[message.readableBytes()];
        message.readBytes(bytes);
        return constantMessage(bytes);
    }

    /** Returns a ParameterStatus of the startup response once more, which clients ignore. */
    static ByteBuf unchangedParameter() {
        return UNCHANGED_PARAMETER.duplicate();
    }

    private static ByteBuf buildStartupMessage() {
        byte[] parameterBytes =
                "user\0web\0database\0orders\0\0".getBytes(StandardCharsets.US_ASCII);
        ByteBuf message =
                Unpooled.buffer()
                        .writeInt(8 + parameterBytes.length)
                        .writeInt(3 << 16)
                        .writeBytes(parameterBytes);
        byte[] bytes = new byte[message.readableBytes()];
        message.readBytes(bytes);
        return constantMessage(bytes);
    }

    private static ByteBuf buildShedResponse() {
        ByteBuf response = errorResponse(TOO_MANY_CONNECTIONS, "shed: try again", 0, true);
        byte[] bytes = new byte[response.readableBytes()];
        response.readBytes(bytes);
        return constantMessage(bytes);
    }

    /** Returns the response to a command that was shed before it was read as a req. */
    static ByteBuf shedResponse() {
        return SHED_RESPONSE.duplicate();
    }

    /** Returns the response to a client's startup message. */
    static ByteBuf startupResponse() {
        return STARTUP_RESPONSE.duplicate();
    }

    static ByteBuf readyForQuery() {
        return READY_FOR_QUERY.duplicate();
    }

    /** Returns EmptyQueryResponse and ReadyForQuery. */
    static ByteBuf emptyQueryResponse() {
        return EMPTY_QUERY_RESPONSE.duplicate();
    }

    /** Returns the response to a client's request for SSL or GSSAPI encryption. */
    static ByteBuf encryptionRefused() {
        return ENCRYPTION_REFUSED.duplicate();
    }

    /** Returns the message that starts the protocol on a connection to a pod. */
    static ByteBuf startupMessage() {
        return STARTUP_MESSAGE.duplicate();
    }

    /**
     * Returns an ErrorResponse.
     *
     * @param code the SQLSTATE
     * @param backoffMs how long the client is advised to wait before a retry; 0 for no advice
     * @param withReadyForQuery whether ReadyForQuery follows, as it does unless the connection
     *     closes
     */
    static ByteBuf errorResponse(
            String code, String text, long backoffMs, boolean withReadyForQuery) {
        ByteBuf response = Unpooled.buffer(96);
        response.writeByte('E').writeInt(0);
        writeField(response, 'S', "ERROR");
        writeField(response, 'V', "ERROR");
        writeField(response, 'C', code);
        writeField(response, 'M', text);
        if (backoffMs > 0) {
            writeField(response, 'D', Long.toString(backoffMs));
        }
        response.writeByte(0);
        response.setInt(1, response.readableBytes() - 1);
        return withReadyForQuery ? response.writeBytes(READY_FOR_QUERY.duplicate()) : response;
    }

    /** Writes one field of an ErrorResponse. */
    private static void writeField(ByteBuf response, char name, String text) {
        response.writeByte(name).writeCharSequence(text, StandardCharsets.UTF_8);
        response.writeByte(0);
    }
}
