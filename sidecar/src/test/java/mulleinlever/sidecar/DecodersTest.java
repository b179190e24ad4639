package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mulleinlever.SipHash;
import mulleinlever.settings.InvalidInputException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against decoders and parsers that misread input split at arbitrary positions or malformed
 * input. Runs them on generated inputs and compares the results with the values that were encoded
 * or with a simple reference parser.
 */
class DecodersTest {
    private static final SipHash ID_HASH = SipHash.ofSeed(1);
    private static final int ROUNDS = 300;

    /** Returns the bytes in buffers of random length. */
    private static List<ByteBuf> splitRandomly(byte[] bytes, SplittableRandom random) {
        List<ByteBuf> pieces = new ArrayList<>();
        for (int start = 0; start < bytes.length; ) {
            int length =
                    Math.min(
                            bytes.length - start,
                            1 + random.nextInt(random.nextBoolean() ? 3 : 200));
            pieces.add(ByteBufAllocator.DEFAULT.buffer(length).writeBytes(bytes, start, length));
            start += length;
        }
        return pieces;
    }

    private static byte[] readAndRelease(ByteBuf buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes).release();
        return bytes;
    }

    @Test
    void decodesMessagesSplitAtRandomPositions() {
        SplittableRandom random = new SplittableRandom(1);
        for (int round = 0; round < ROUNDS; round++) {
            ByteBuf encoded = Unpooled.buffer();
            List<String> expected = new ArrayList<>();
            for (int i = random.nextInt(6); i >= 0; i--) {
                String body = "abc".repeat(random.nextInt(100)) + round + "," + i;
                char type = (char) ('A' + random.nextInt(26));
                encoded.writeByte(type).writeInt(4 + body.length()).writeBytes(body.getBytes());
                expected.add(type + body);
            }
            PostgresMessageDecoder decoder = new PostgresMessageDecoder(ByteBufAllocator.DEFAULT);
            List<ByteBuf> retainedBodies = new ArrayList<>();
            List<String> types = new ArrayList<>();
            for (ByteBuf piece : splitRandomly(readAndRelease(encoded), random)) {
                decoder.addBytes(piece);
                while (decoder.nextMessage(true)) {
                    types.add(String.valueOf(decoder.messageType));
                    retainedBodies.add(decoder.retainBody());
                }
            }
            assertEquals(0, decoder.unreadBytes());
            decoder.release();
            // Retained bodies remain valid after later reads and the decoder's release.
            for (int i = 0; i < retainedBodies.size(); i++) {
                assertEquals(
                        expected.get(i),
                        types.get(i) + new String(readAndRelease(retainedBodies.get(i))));
            }
            assertEquals(expected.size(), retainedBodies.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"0", "3", "-1", "200000", "2147483647"})
    void rejectsInvalidMessageLength(int length) {
        PostgresMessageDecoder decoder = new PostgresMessageDecoder(ByteBufAllocator.DEFAULT);
        decoder.addBytes(Unpooled.buffer().writeByte('Q').writeInt(length));
        assertThrows(InvalidInputException.class, () -> decoder.nextMessage(true));
    }

    private static final Pattern STATEMENT_PATTERN =
            Pattern.compile("(?s).*/\\*((?:(?!/\\*).)*)\\*/\\s*");

    /**
     * Parses the last comment of a statement: splits it at commas, then at the first equals sign of
     * each field. Returns the fields as text, or null if the statement is malformed.
     */
    private static String referenceParse(String text) {
        Matcher matcher = STATEMENT_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String field : matcher.group(1).split(",", -1)) {
            String[] nameAndValue = field.trim().split("=", 2);
            if (nameAndValue.length < 2
                    || nameAndValue[0].equals("d") && !nameAndValue[1].matches("\\d{1,9}")) {
                return null;
            }
            fields.put(nameAndValue[0], nameAndValue[1]);
        }
        String clientTimeoutMs = fields.getOrDefault("d", "-1");
        return !fields.containsKey("id") || !fields.containsKey("c")
                ? null
                : fields.get("id")
                        + " "
                        + fields.get("c")
                        + " "
                        + fields.get("t")
                        + " "
                        + Long.parseLong(clientTimeoutMs)
                        + " "
                        + "1".equals(fields.get("r"));
    }

    @Test
    void discardedMessageIsNotBufferedAndTheNextOneIsRead() {
        PostgresMessageDecoder decoder = new PostgresMessageDecoder(ByteBufAllocator.DEFAULT);
        ByteBuf start = Unpooled.buffer().writeByte('Q').writeInt(4 + 100).writeZero(10);
        decoder.addBytes(start);
        assertTrue(decoder.readHeader(true));
        assertEquals(105, decoder.messageBytes());
        assertFalse(decoder.readMessage());
        decoder.startDiscarding();
        decoder.discardReceivedBytes();
        decoder.releaseConsumedBytes();
        assertEquals(0, start.refCnt());
        assertTrue(decoder.isDiscarding());
        decoder.addBytes(Unpooled.buffer().writeZero(90).writeByte('X').writeInt(4));
        decoder.discardReceivedBytes();
        assertFalse(decoder.isDiscarding());
        assertTrue(decoder.nextMessage(true));
        assertEquals('X', decoder.messageType);
        decoder.releaseConsumedBytes();
    }

    @Test
    void statementParserMatchesReferenceParser() {
        SplittableRandom random = new SplittableRandom(2);
        String[] extraFields = {
            "id=9b1f",
            "c=basket",
            "t=acme",
            "d=480",
            "d=",
            "d=x",
            "d=0",
            "r=1",
            "r=10",
            "k=5c0f",
            "x",
            "idea=3",
            "=",
            "cc=a",
            " t=b ",
            "d=1234567890"
        };
        int parsedCount = 0;
        for (int round = 0; round < 20 * ROUNDS; round++) {
            List<String> fields = new ArrayList<>(List.of("id=" + round, "c=get"));
            for (int i = random.nextInt(4); i > 0; i--) {
                fields.add(
                        random.nextInt(fields.size() + 1),
                        extraFields[random.nextInt(extraFields.length)]);
            }
            String text =
                    "SELECT '/* c=no */' "
                            + (random.nextInt(9) == 0 ? "" : "/*")
                            + " "
                            + String.join(",", fields)
                            + " */"
                            + " ".repeat(random.nextInt(3));
            ByteBuf buffer = Unpooled.copiedBuffer(text + "\0", StandardCharsets.UTF_8);
            Statement statement = Statement.parse(buffer, ID_HASH);
            String parsed =
                    statement == null
                            ? null
                            : statement.id
                                    + " "
                                    + statement.route
                                    + " "
                                    + statement.tenant
                                    + " "
                                    + statement.clientTimeoutMs
                                    + " "
                                    + statement.isClientRetry;
            assertEquals(referenceParse(text), parsed, text);
            parsedCount += statement == null ? 0 : 1;
            if (statement != null && statement.clientTimeoutMs >= 0) {
                assertEquals(
                        statement.clientTimeoutMs,
                        Long.parseLong(
                                buffer.toString(
                                        statement.clientTimeoutIndex,
                                        statement.clientTimeoutLength,
                                        StandardCharsets.UTF_8)));
            }
        }
        assertEquals(true, parsedCount > ROUNDS);
    }

    @ParameterizedTest
    @CsvSource({
        "SELECT '7f3a9c21e0b4d655', 7f3a9c21e0b4d655",
        "SELECT 'ff', ff",
        "SELECT 'zz', ",
        "SELECT 'fa3a9c21e0b4d655', 7a3a9c21e0b4d655",
        "SELECT '', ",
        "SELECT 1, ",
        "SELECT '7f3a9c21e0b4d6551', ",
        "SELECT '7f3a, "
    })
    void parsesKeyFromQuotedHexLiteral(String text, String expectedHexKey) {
        ByteBuf buffer =
                Unpooled.copiedBuffer(text + " /* id=1,c=get,d=5 */\0", StandardCharsets.UTF_8);
        assertEquals(
                expectedHexKey == null ? -1 : Long.parseLong(expectedHexKey, 16),
                Statement.parse(buffer, ID_HASH).key());
    }

    // Long ids and names were kept as text beside the statement, whatever their length.
    @Test
    void longIdsAreToldApartByHashesOfFixedSize() {
        String padding = "7".repeat(60_000);
        Statement one = parse("id=1" + padding + ",c=get,t=" + padding);
        assertTrue(one.id.length() < 32, one.id.length() + " characters");
        assertNull(one.tenant);
        assertEquals(one.id, parse("id=1" + padding + ",c=get").id);
        assertNotEquals(one.id, parse("id=2" + padding + ",c=get").id);
        assertNull(parse("id=1,c=" + padding));
    }

    private static Statement parse(String comment) {
        return Statement.parse(
                Unpooled.copiedBuffer("SELECT /* " + comment + " */\0", StandardCharsets.UTF_8),
                ID_HASH);
    }

    @Test
    void decodesLinesSplitAcrossChunks() {
        SplittableRandom random = new SplittableRandom(4);
        for (int round = 0; round < ROUNDS; round++) {
            List<String> expected = new ArrayList<>();
            for (int i = random.nextInt(5); i >= 0; i--) {
                expected.add("x".repeat(random.nextInt(60)));
            }
            byte[] body = (String.join("\n", expected) + "\r\n").getBytes();
            StringBuilder response =
                    new StringBuilder(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nA: b\r\n\r\n");
            for (ByteBuf chunk : splitRandomly(body, random)) {
                byte[] chunkBytes = readAndRelease(chunk);
                response.append(Integer.toHexString(chunkBytes.length))
                        .append(random.nextBoolean() ? ";a=b" : "")
                        .append("\r\n")
                        .append(new String(chunkBytes))
                        .append("\r\n");
            }
            response.append("0\r\n\r\n");
            List<String> events = new ArrayList<>();
            EmbeddedChannel channel = new EmbeddedChannel(recordingConnection(events));
            splitRandomly(response.toString().getBytes(), random).forEach(channel::writeInbound);
            expected.add("complete");
            assertEquals(expected, events);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 503 Busy|",
        "HTTP/1.1 200 OK|Content-Length: 5||hello",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||zz|",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||-5|"
    })
    void unexpectedResponseEndsWatch(String response) {
        List<String> events = new ArrayList<>();
        EmbeddedChannel channel = new EmbeddedChannel(recordingConnection(events));
        channel.writeInbound(
                Unpooled.copiedBuffer(response.replace("|", "\r\n"), StandardCharsets.US_ASCII));
        assertEquals(List.of("ended"), events);
    }

    /** Returns a connection that adds its lines, and the kind of its end, to the given list. */
    private static ChunkedHttpConnection recordingConnection(List<String> events) {
        RateLimitedLog log =
                new RateLimitedLog(new PrintStream(OutputStream.nullOutputStream()), new Clock());
        return new ChunkedHttpConnection(null, 100, log, "test") {
            @Override
            String initialRequest() {
                return "";
            }

            @Override
            void onLine(String text) {
                events.add(text);
            }

            @Override
            void onResponseComplete() {
                events.add("complete");
            }

            @Override
            void onEnd(EndReason reason) {
                events.add("ended");
            }
        };
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"127.0.0.1:1\"|\"localhost:1\"|configuration: listen needs an IP address and port, not localhost:1",
                "\"seed\":\"8c1f30d27a5be964\"|\"seed\":\"xyz\"|configuration: seed needs up to 16 hex digits",
                "\"sockets\":99|\"sockets\":9|configuration: limits.sockets needs at least 64",
                "\"phase\":\"live\"|\"phase\":\"odd\"|configuration: release_api.news.phase needs testing, recalling",
                "\"rank\":0,||configuration: settings.rank is missing",
                "\"rank\":0|\"rank\":5|configuration: settings.balancers needs more than rank",
                "\"repeat\":\"keyed\"|\"repeat\":\"x\"|configuration: settings.grades.1.repeat needs safe, keyed or unsafe",
                "\"aimNs\":500000000|\"aimNs\":0|configuration: settings.grades.0.aimNs needs more than 0",
                "\"mostShares\":[0.2,|\"mostShares\":[|configuration: settings.familyInfo.mostShares needs as many as steps",
                "\"voteWaitNs\":5|\"voteWaitNs\":x5|JSON: expected a value at character",
                "\"settings\":{|\"set\":{|configuration: settings needs an object"
            })
    void configurationErrorNamesKey(String original, String replacement, String expectedMessage) {
        String podList = "{\"generation\":1,\"instances\":[]}";
        String validConfig =
                SidecarTestBase.configJson(
                        "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", podList, 99);
        assertEquals(99, SidecarConfig.parse(validConfig, Map.of()).maxSockets());
        String invalidConfig =
                validConfig.replace(original, replacement == null ? "" : replacement);
        InvalidInputException thrown =
                assertThrows(
                        InvalidInputException.class,
                        () -> SidecarConfig.parse(invalidConfig, Map.of()));
        assertEquals(
                expectedMessage,
                thrown.getMessage()
                        .substring(
                                0,
                                Math.min(expectedMessage.length(), thrown.getMessage().length())));
    }
}
