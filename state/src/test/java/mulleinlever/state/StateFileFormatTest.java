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

/** Tests that files are read back unchanged and that no damaged file is accepted. */
class StateFileFormatTest {
    private static StateSnapshot decode(byte[] bytes) throws StateFileException {
        return StateFileFormat.decode("x.mls", bytes, section -> {});
    }

    /** Returns the kind of the failure with which the file must be rejected. */
    private static StateFileException.Kind decodeFailureKind(byte[] bytes) {
        StateFileException exception = assertThrows(StateFileException.class, () -> decode(bytes));
        assertTrue(exception.getMessage().startsWith("x.mls: at byte "), exception.getMessage());
        return exception.kind;
    }

    @Test
    void roundTrips() throws StateFileException {
        for (int seed = 0; seed < 200; seed++) {
            StateSnapshot snapshot = SampleSnapshots.snapshot(seed, seed % 20);
            assertEquals(snapshot, decode(StateFileFormat.encode(snapshot)));
        }
    }

    /**
     * Reads one file of each format version, written by the program that introduced the version.
     */
    @Test
    void readsFilesOfEveryFormatVersion() throws IOException, StateFileException {
        for (int version = 1; version <= StateFileFormat.FORMAT_VERSION; version++) {
            try (InputStream in =
                    StateFileFormatTest.class.getResourceAsStream("format-" + version + ".mls")) {
                assertEquals(SampleSnapshots.snapshot(version, 12), decode(in.readAllBytes()));
            }
        }
    }

    @Test
    void rejectsFileTruncatedAtAnyByte() {
        byte[] valid = StateFileFormat.encode(SampleSnapshots.snapshot(3, 4));
        for (int length = 0; length < valid.length; length++) {
            assertEquals(
                    StateFileException.Kind.TRUNCATED,
                    decodeFailureKind(Arrays.copyOf(valid, length)),
                    "at " + length);
        }
        assertEquals(
                StateFileException.Kind.CORRUPT,
                decodeFailureKind(Arrays.copyOf(valid, valid.length + 1)));
    }

    @Test
    void rejectsAnyBitFlip() {
        byte[] valid = StateFileFormat.encode(SampleSnapshots.snapshot(3, 2));
        for (int offset = 0; offset < valid.length; offset++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] corrupt = valid.clone();
                corrupt[offset] ^= (byte) (1 << bit);
                StateFileException.Kind kind = decodeFailureKind(corrupt);
                assertEquals(
                        offset < 8
                                ? StateFileException.Kind.NOT_A_STATE_FILE
                                : offset < 12 && intAt(corrupt, 8) > StateFileFormat.FORMAT_VERSION
                                        ? StateFileException.Kind.UNSUPPORTED_VERSION
                                        : StateFileException.Kind.CORRUPT,
                        kind,
                        "at " + offset);
            }
        }
    }

    private static int intAt(byte[] bytes, int offset) {
        return ByteBuffer.wrap(bytes).getInt(offset);
    }

    @Test
    void rejectsRandomBytes() {
        SplittableRandom random = new SplittableRandom(9);
        for (int i = 0; i < 500; i++) {
            byte[] noise = new byte[random.nextInt(400)];
            random.nextBytes(noise);
            decodeFailureKind(noise);
            byte[] noiseAfterMagic =
                    new ByteArrayOutputStream() {
                        {
                            writeBytes(StateFileFormat.MAGIC);
                            writeBytes(new byte[] {0, 0, 0, 1});
                            writeBytes(noise);
                        }
                    }.toByteArray();
            decodeFailureKind(noiseAfterMagic);
        }
    }

    private static byte[] fileWithVersion(int version, byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(StateFileFormat.MAGIC);
        out.writeBytes(ByteBuffer.allocate(4).putInt(version).array());
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    @Test
    void rejectsImpossibleLengths() {
        for (int length : new int[] {Integer.MAX_VALUE, Integer.MAX_VALUE - 30, -1}) {
            for (int field = 1; field < 4; field++) {
                ByteBuffer header =
                        ByteBuffer.allocate(20).putInt(StateFileFormat.sectionTag("PODS"));
                header.putInt(4 * field, length);
                CRC32C crc = new CRC32C();
                crc.update(header.array(), 0, 16);
                header.putInt(16, (int) crc.getValue());
                StateFileException.Kind kind =
                        decodeFailureKind(fileWithVersion(1, header.array(), new byte[100]));
                assertEquals(
                        field == 3 && length > 0
                                ? StateFileException.Kind.TRUNCATED
                                : StateFileException.Kind.CORRUPT,
                        kind);
            }
        }
    }

    private static byte[] section(String tagName, String schema, int count, byte[] records) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StateFileFormat.writeSection(
                out,
                StateFileFormat.sectionTag(tagName),
                schema.getBytes(StandardCharsets.UTF_8),
                count,
                records);
        return out.toByteArray();
    }

    /**
     * Returns the file with a section inserted before the end section.
     *
     * @param sectionCount the section count for the new end section
     */
    private static byte[] withSection(byte[] file, int sectionCount, byte[] section) {
        int endSectionOffset = file.length - 32;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(file, 0, endSectionOffset);
        out.writeBytes(section);
        StateFileFormat.writeSection(
                out,
                StateFileFormat.sectionTag("END "),
                new byte[0],
                sectionCount,
                ByteBuffer.allocate(8).putLong(out.size()).array());
        return out.toByteArray();
    }

    @Test
    void rejectsOversizedStringInValidSection() {
        // The length of the first string in Avro's zigzag encoding: 2^31 - 2. The checksums of the
        // section are valid, so only Avro can detect it.
        byte[] records = {(byte) 0xfc, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x0f, 'x', 'y', 'z'};
        String schema =
                "{\"type\":\"record\",\"name\":\"Key\",\"namespace\":\"mulleinlever.state\",\"fields\":"
                        + "[{\"name\":\"t\",\"type\":\"string\"},{\"name\":\"key\",\"type\":\"long\"},"
                        + "{\"name\":\"build\",\"type\":\"int\"}]}";
        byte[] file =
                withSection(
                        StateFileFormat.encode(SampleSnapshots.snapshot(1, 1)),
                        8,
                        section("KEYS", schema, 1, records));
        assertEquals(StateFileException.Kind.CORRUPT, decodeFailureKind(file));
    }

    @Test
    void rejectsInvalidSectionWithValidChecksum() {
        byte[] file = StateFileFormat.encode(SampleSnapshots.snapshot(1, 1));
        for (String schema :
                List.of(
                        "",
                        "{",
                        "\"int\"",
                        "{\"type\":\"record\",\"name\":\"Key\",\"fields\":[]}")) {
            assertEquals(
                    StateFileException.Kind.CORRUPT,
                    decodeFailureKind(
                            withSection(file, 8, section("KEYS", schema, 1, new byte[] {1}))));
        }
        assertEquals(
                StateFileException.Kind.CORRUPT,
                decodeFailureKind(withSection(file, 9, section("KEYS", "{}", 0, new byte[0]))));
    }

    @Test
    void reportsUnsupportedVersion() {
        assertEquals(
                StateFileException.Kind.UNSUPPORTED_VERSION,
                decodeFailureKind(
                        fileWithVersion(StateFileFormat.FORMAT_VERSION + 1, new byte[50])));
    }

    @Test
    void skipsAndReportsUnknownSections() throws IOException, StateFileException {
        StateSnapshot snapshot = SampleSnapshots.snapshot(1, 3);
        byte[] file =
                withSection(
                        StateFileFormat.encode(snapshot),
                        8,
                        section("MORE", "{}", 1, new byte[] {1, 2, 3}));
        List<String> skippedSections = new ArrayList<>();
        assertEquals(snapshot, StateFileFormat.decode("x", file, skippedSections::add));
        assertEquals(List.of("section MORE, which this version does not know"), skippedSections);
        // A known record type with an additional field, and without fields that have a default.
        Schema laterSchema =
                new Schema.Parser()
                        .parse(
                                "{\"type\":\"record\",\"name\":\"Route\",\"namespace\":"
                                        + "\"mulleinlever.state\",\"fields\":[{\"name\":\"route\",\"type\":\"string\"},{\"name\":\"more\","
                                        + "\"type\":\"long\"},{\"name\":\"build\",\"type\":\"int\"},{\"name\":\"timesNs\",\"type\":\"double\"},"
                                        + "{\"name\":\"timesWeight\",\"type\":\"double\"}]}");
        GenericRecord record = new GenericData.Record(laterSchema);
        record.put("route", "later");
        record.put("more", 5L);
        record.put("build", 42);
        record.put("timesNs", 3.0);
        record.put("timesWeight", 2.0);
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(records, null);
        new GenericDatumWriter<GenericRecord>(laterSchema).write(record, encoder);
        encoder.flush();
        StateSnapshot decoded =
                decode(
                        withSection(
                                StateFileFormat.encode(snapshot),
                                8,
                                section("ROUT", laterSchema.toString(), 1, records.toByteArray())));
        assertEquals(snapshot.learnedValues().size() + 1, decoded.learnedValues().size());
        assertTrue(
                decoded.learnedValues()
                        .toString()
                        .contains(
                                "RouteStats[route=later, build=42, times=WeightedMean[mean=3.0, weight=2.0], "
                                        + "usual=WeightedMean[mean=0.0, weight=0.0]]"));
    }
}
