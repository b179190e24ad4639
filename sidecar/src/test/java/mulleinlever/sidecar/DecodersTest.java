package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

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
import mulleinlever.settings.InvalidInputException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The decoders on generated inputs, cut anywhere, beside slow and plain readings of the same. */
class DecodersTest {
    private static final int ROUNDS = 300;

    /** The bytes in pieces of random length. */
    private static List<ByteBuf> cut(byte[] all, SplittableRandom random) {
        List<ByteBuf> pieces = new ArrayList<>();
        for (int at = 0; at < all.length; ) {
            int n = Math.min(all.length - at, 1 + random.nextInt(random.nextBoolean() ? 3 : 200));
            pieces.add(ByteBufAllocator.DEFAULT.buffer(n).writeBytes(all, at, n));
            at += n;
        }
        return pieces;
    }

    private static byte[] bytes(ByteBuf b) {
        byte[] all = new byte[b.readableBytes()];
        b.readBytes(all).release();
        return all;
    }

    @Test
    void decodesMessagesSplitAtRandomPositions() {
        SplittableRandom random = new SplittableRandom(1);
        for (int round = 0; round < ROUNDS; round++) {
            ByteBuf all = Unpooled.buffer();
            List<String> expected = new ArrayList<>();
            for (int i = random.nextInt(6); i >= 0; i--) {
                String body = "abc".repeat(random.nextInt(100)) + round + "," + i;
                char type = (char) ('A' + random.nextInt(26));
                all.writeByte(type).writeInt(4 + body.length()).writeBytes(body.getBytes());
                expected.add(type + body);
            }
            PostgresMessageDecoder frames = new PostgresMessageDecoder(ByteBufAllocator.DEFAULT);
            List<ByteBuf> kept = new ArrayList<>();
            List<String> types = new ArrayList<>();
            for (ByteBuf piece : cut(bytes(all), random)) {
                frames.addBytes(piece);
                while (frames.nextMessage(true)) {
                    types.add(String.valueOf(frames.messageType));
                    kept.add(frames.retainBody());
                }
            }
            assertEquals(0, frames.unreadBytes());
            frames.release();
            // What was kept outlives all later reads.
            for (int i = 0; i < kept.size(); i++) {
                assertEquals(expected.get(i), types.get(i) + new String(bytes(kept.get(i))));
            }
            assertEquals(expected.size(), kept.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"0", "3", "-1", "200000", "2147483647"})
    void rejectsInvalidMessageLength(int length) {
        PostgresMessageDecoder frames = new PostgresMessageDecoder(ByteBufAllocator.DEFAULT);
        frames.addBytes(Unpooled.buffer().writeByte('Q').writeInt(length));
        assertThrows(InvalidInputException.class, () -> frames.nextMessage(true));
    }

    private static final Pattern FORM = Pattern.compile("(?s).*/\\*((?:(?!/\\*).)*)\\*/\\s*");

    /** The plain reading: the last comment, split at commas, then at the first equals sign. */
    private static String plainly(String text) {
        Matcher m = FORM.matcher(text);
        if (!m.matches()) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String part : m.group(1).split(",", -1)) {
            String[] pair = part.trim().split("=", 2);
            if (pair.length < 2 || pair[0].equals("d") && !pair[1].matches("\\d{1,9}")) {
                return null;
            }
            fields.put(pair[0], pair[1]);
        }
        String waits = fields.getOrDefault("d", "-1");
        return !fields.containsKey("id") || !fields.containsKey("c")
                ? null
                : fields.get("id")
                        + " "
                        + fields.get("c")
                        + " "
                        + fields.get("t")
                        + " "
                        + Long.parseLong(waits)
                        + " "
                        + "1".equals(fields.get("r"));
    }

    @Test
    void statementParserMatchesReferenceParser() {
        SplittableRandom random = new SplittableRandom(2);
        String[] parts = {
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
        int read = 0;
        for (int round = 0; round < 20 * ROUNDS; round++) {
            List<String> some = new ArrayList<>(List.of("id=" + round, "c=get"));
            for (int i = random.nextInt(4); i > 0; i--) {
                some.add(random.nextInt(some.size() + 1), parts[random.nextInt(parts.length)]);
            }
            String text =
                    "SELECT '/* c=no */' "
                            + (random.nextInt(9) == 0 ? "" : "/*")
                            + " "
                            + String.join(",", some)
                            + " */"
                            + " ".repeat(random.nextInt(3));
            ByteBuf b = Unpooled.copiedBuffer(text + "\0", StandardCharsets.UTF_8);
            Statement s = Statement.parse(b);
            String got =
                    s == null
                            ? null
                            : s.id
                                    + " "
                                    + s.route
                                    + " "
                                    + s.tenant
                                    + " "
                                    + s.clientTimeoutMs
                                    + " "
                                    + s.isClientRetry;
            assertEquals(plainly(text), got, text);
            read += s == null ? 0 : 1;
            if (s != null && s.clientTimeoutMs >= 0) {
                assertEquals(
                        s.clientTimeoutMs,
                        Long.parseLong(
                                b.toString(
                                        s.clientTimeoutIndex,
                                        s.clientTimeoutLength,
                                        StandardCharsets.UTF_8)));
            }
        }
        assertEquals(true, read > ROUNDS);
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
    void parsesKeyFromQuotedHexLiteral(String text, String key) {
        ByteBuf b = Unpooled.copiedBuffer(text + " /* id=1,c=get,d=5 */\0", StandardCharsets.UTF_8);
        assertEquals(key == null ? -1 : Long.parseLong(key, 16), Statement.parse(b).key());
    }

    @Test
    void decodesLinesSplitAcrossChunks() {
        SplittableRandom random = new SplittableRandom(4);
        for (int round = 0; round < ROUNDS; round++) {
            List<String> expected = new ArrayList<>();
            for (int i = random.nextInt(5); i >= 0; i--) {
                expected.add("x".repeat(random.nextInt(60)));
            }
            byte[] text = (String.join("\n", expected) + "\r\n").getBytes();
            StringBuilder all =
                    new StringBuilder(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nA: b\r\n\r\n");
            for (ByteBuf chunk : cut(text, random)) {
                byte[] part = bytes(chunk);
                all.append(Integer.toHexString(part.length))
                        .append(random.nextBoolean() ? ";a=b" : "")
                        .append("\r\n")
                        .append(new String(part))
                        .append("\r\n");
            }
            all.append("0\r\n\r\n");
            List<String> got = new ArrayList<>();
            EmbeddedChannel channel = new EmbeddedChannel(lines(got));
            cut(all.toString().getBytes(), random).forEach(channel::writeInbound);
            expected.add("complete");
            assertEquals(expected, got);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 503 Busy|",
        "HTTP/1.1 200 OK|Content-Length: 5||hello",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||zz|",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||-5|"
    })
    void unexpectedResponseEndsWatch(String text) {
        List<String> got = new ArrayList<>();
        EmbeddedChannel channel = new EmbeddedChannel(lines(got));
        channel.writeInbound(
                Unpooled.copiedBuffer(text.replace("|", "\r\n"), StandardCharsets.US_ASCII));
        assertEquals(List.of("ended"), got);
    }

    private static ChunkedHttpConnection lines(List<String> got) {
        RateLimitedLog log =
                new RateLimitedLog(new PrintStream(OutputStream.nullOutputStream()), new Clock());
        return new ChunkedHttpConnection(null, 100, log, "test") {
            @Override
            String initialRequest() {
                return "";
            }

            @Override
            void onLine(String text) {
                got.add(text);
            }

            @Override
            void onResponseComplete() {
                got.add("complete");
            }

            @Override
            void onEnd(EndReason reason) {
                got.add("ended");
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
    void configurationErrorNamesKey(String there, String instead, String message) {
        String known = "{\"generation\":1,\"instances\":[]}";
        String good =
                SidecarTestBase.configJson("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", known, 99);
        assertEquals(99, SidecarConfig.parse(good, Map.of()).maxSockets());
        String bad = good.replace(there, instead == null ? "" : instead);
        InvalidInputException fault =
                assertThrows(InvalidInputException.class, () -> SidecarConfig.parse(bad, Map.of()));
        assertEquals(
                message,
                fault.getMessage()
                        .substring(0, Math.min(message.length(), fault.getMessage().length())));
    }
}
