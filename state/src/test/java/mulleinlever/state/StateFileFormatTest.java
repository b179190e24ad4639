package mulleinlever.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;
import org.junit.jupiter.api.Test;

class StateFileFormatTest {
    private static StateSnapshot read(byte[] bytes) throws StateFileException {
        return StateFileFormat.decode("x.mls", bytes, l -> {});
    }

    private static StateFileException.Kind kindOf(byte[] bytes) {
        StateFileException f = assertThrows(StateFileException.class, () -> read(bytes));
        assertTrue(f.getMessage().startsWith("x.mls: at byte "), f.getMessage());
        return f.kind;
    }

    @Test
    void roundTrips() throws StateFileException {
        for (int seed = 0; seed < 200; seed++) {
            StateSnapshot kept = SampleSnapshots.snapshot(seed, seed % 20);
            assertEquals(kept, read(StateFileFormat.encode(kept)));
        }
    }

    /** A file of each format that ever landed, made by the writer of that time. */
    @Test
    void readsFilesOfEveryFormatVersion() throws IOException, StateFileException {
        for (int format = 1; format <= StateFileFormat.FORMAT_VERSION; format++) {
            try (InputStream in =
                    StateFileFormatTest.class.getResourceAsStream("format-" + format + ".mls")) {
                assertEquals(SampleSnapshots.snapshot(format, 12), read(in.readAllBytes()));
            }
        }
    }

    @Test
    void rejectsFileTruncatedAtAnyByte() {
        byte[] whole = StateFileFormat.encode(SampleSnapshots.snapshot(3, 4));
        for (int n = 0; n < whole.length; n++) {
            assertEquals(
                    StateFileException.Kind.TRUNCATED, kindOf(Arrays.copyOf(whole, n)), "at " + n);
        }
        assertEquals(
                StateFileException.Kind.CORRUPT, kindOf(Arrays.copyOf(whole, whole.length + 1)));
    }

    @Test
    void rejectsAnyBitFlip() {
        byte[] whole = StateFileFormat.encode(SampleSnapshots.snapshot(3, 2));
        for (int at = 0; at < whole.length; at++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] one = whole.clone();
                one[at] ^= (byte) (1 << bit);
                StateFileException.Kind kind = kindOf(one);
                assertEquals(
                        at < 8
                                ? StateFileException.Kind.NOT_A_STATE_FILE
                                : at < 12 && bytes(one, 8) > StateFileFormat.FORMAT_VERSION
                                        ? StateFileException.Kind.UNSUPPORTED_VERSION
                                        : StateFileException.Kind.CORRUPT,
                        kind,
                        "at " + at);
            }
        }
    }

    private static int bytes(byte[] in, int at) {
        return ByteBuffer.wrap(in).getInt(at);
    }

    @Test
    void rejectsRandomBytes() {
        SplittableRandom random = new SplittableRandom(9);
        for (int i = 0; i < 500; i++) {
            byte[] noise = new byte[random.nextInt(400)];
            random.nextBytes(noise);
            kindOf(noise);
            byte[] behindMagic =
                    new ByteArrayOutputStream() {
                        {
                            writeBytes(StateFileFormat.MAGIC);
                            writeBytes(new byte[] {0, 0, 0, 1});
                            writeBytes(noise);
                        }
                    }.toByteArray();
            kindOf(behindMagic);
        }
    }

    private static byte[] behindMagic(int version, byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(StateFileFormat.MAGIC);
        out.writeBytes(ByteBuffer.allocate(4).putInt(version).array());
        for (byte[] p : parts) {
            out.writeBytes(p);
        }
        return out.toByteArray();
    }

    @Test
    void rejectsImpossibleLengths() {
        for (int claimed : new int[] {Integer.MAX_VALUE, Integer.MAX_VALUE - 30, -1}) {
            for (int field = 1; field < 4; field++) {
                ByteBuffer head =
                        ByteBuffer.allocate(20).putInt(StateFileFormat.sectionTag("PODS"));
                head.putInt(4 * field, claimed);
                CRC32C crc = new CRC32C();
                crc.update(head.array(), 0, 16);
                head.putInt(16, (int) crc.getValue());
                StateFileException.Kind kind = kindOf(behindMagic(1, head.array(), new byte[100]));
                assertEquals(
                        field == 3 && claimed > 0
                                ? StateFileException.Kind.TRUNCATED
                                : StateFileException.Kind.CORRUPT,
                        kind);
            }
        }
    }

    private static byte[] section(String kind, String schema, int count, byte[] records) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StateFileFormat.writeSection(
                out,
                StateFileFormat.sectionTag(kind),
                schema.getBytes(StandardCharsets.UTF_8),
                count,
                records);
        return out.toByteArray();
    }

    /** The file with one section put in front of the end, which is counted anew. */
    private static byte[] with(byte[] file, int sections, byte[] more) {
        int end = file.length - 32;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(file, 0, end);
        out.writeBytes(more);
        StateFileFormat.writeSection(
                out,
                StateFileFormat.sectionTag("END "),
                new byte[0],
                sections,
                ByteBuffer.allocate(8).putLong(out.size()).array());
        return out.toByteArray();
    }

    @Test
    void rejectsOversizedStringInValidSection() {
        // Avro's own length of the first text: 2^31 - 2 as a zigzag number.
        byte[] records = {(byte) 0xfc, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x0f, 'x', 'y', 'z'};
        String schema =
                "{\"type\":\"record\",\"name\":\"Key\",\"namespace\":\"mulleinlever.state\",\"fields\":"
                        + "[{\"name\":\"t\",\"type\":\"string\"},{\"name\":\"key\",\"type\":\"long\"},"
                        + "{\"name\":\"build\",\"type\":\"int\"}]}";
        byte[] file =
                with(
                        StateFileFormat.encode(SampleSnapshots.snapshot(1, 1)),
                        8,
                        section("KEYS", schema, 1, records));
        assertEquals(StateFileException.Kind.CORRUPT, kindOf(file));
    }

    @Test
    void rejectsInvalidSectionWithValidChecksum() {
        byte[] sound = StateFileFormat.encode(SampleSnapshots.snapshot(1, 1));
        for (String schema :
                List.of(
                        "",
                        "{",
                        "\"int\"",
                        "{\"type\":\"record\",\"name\":\"Key\",\"fields\":[]}")) {
            assertEquals(
                    StateFileException.Kind.CORRUPT,
                    kindOf(with(sound, 8, section("KEYS", schema, 1, new byte[] {1}))));
        }
        assertEquals(
                StateFileException.Kind.CORRUPT,
                kindOf(with(sound, 9, section("KEYS", "{}", 0, new byte[0]))));
    }

    @Test
    void reportsUnsupportedVersion() {
        assertEquals(
                StateFileException.Kind.UNSUPPORTED_VERSION,
                kindOf(behindMagic(StateFileFormat.FORMAT_VERSION + 1, new byte[50])));
    }

    @Test
    void skipsAndReportsUnknownSections() throws IOException, StateFileException {
        StateSnapshot kept = SampleSnapshots.snapshot(1, 3);
        byte[] file =
                with(
                        StateFileFormat.encode(kept),
                        8,
                        section("MORE", "{}", 1, new byte[] {1, 2, 3}));
        List<String> leftOut = new ArrayList<>();
        assertEquals(kept, StateFileFormat.decode("x", file, leftOut::add));
        assertEquals(List.of("section MORE of a later writer"), leftOut);
        // A field more in a record that we know, and one less that has a default.
        Schema later =
                new Schema.Parser()
                        .parse(
                                "{\"type\":\"record\",\"name\":\"Route\",\"namespace\":"
                                        + "\"mulleinlever.state\",\"fields\":[{\"name\":\"route\",\"type\":\"string\"},{\"name\":\"more\","
                                        + "\"type\":\"long\"},{\"name\":\"build\",\"type\":\"int\"},{\"name\":\"timesNs\",\"type\":\"double\"},"
                                        + "{\"name\":\"timesWeight\",\"type\":\"double\"}]}");
        GenericRecord r = new GenericData.Record(later);
        r.put("route", "later");
        r.put("more", 5L);
        r.put("build", 42);
        r.put("timesNs", 3.0);
        r.put("timesWeight", 2.0);
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(records, null);
        new GenericDatumWriter<GenericRecord>(later).write(r, encoder);
        encoder.flush();
        StateSnapshot got =
                read(
                        with(
                                StateFileFormat.encode(kept),
                                8,
                                section("ROUT", later.toString(), 1, records.toByteArray())));
        assertEquals(kept.learnedValues().size() + 1, got.learnedValues().size());
        assertTrue(
                got.learnedValues()
                        .toString()
                        .contains(
                                "RouteStats[route=later, build=42, times=WeightedMean[mean=3.0, weight=2.0], "
                                        + "usual=WeightedMean[mean=0.0, weight=0.0]]"));
    }
}
