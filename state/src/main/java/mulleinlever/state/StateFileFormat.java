package mulleinlever.state;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import mulleinlever.RolloutStatus;
import org.apache.avro.AvroRuntimeException;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;

/**
 * Encodes and decodes state files; docs/state.md describes the format. A file starts with magic
 * bytes and a format version, followed by sections of records. Each section contains the schema of
 * its records, so that Avro can read records of somewhat older or newer program versions. The
 * header and the body of each section have separate checksums, and a length is used only after the
 * checksum of its header has been verified.
 */
final class StateFileFormat {
    static final int FORMAT_VERSION = 1;

    /** The first bytes of each state file. */
    static final byte[] MAGIC = {(byte) 0x89, 'M', 'L', 'S', 'T', '\r', '\n', 0x1a};

    /** Tag, schema length, record count, length of the records, and checksum: 4 bytes each. */
    private static final int SECTION_HEADER_BYTES = 20;

    /** The schemas of this program have fewer than 1000 bytes, so no valid one comes near this. */
    private static final int MAX_SCHEMA_BYTES = 1 << 16;

    private static final int END_TAG = sectionTag("END ");

    /** The kinds of sections, in the order of the file. The names are written to the file. */
    private enum Section {
        HEAD,
        NEWS,
        LINK,
        ROUT,
        BASE,
        PODS,
        KEYS;

        private final int tag = StateFileFormat.sectionTag((name() + " ").substring(0, 4));
        private final Schema schema = loadSchema(name());

        private static Schema loadSchema(String sectionName) {
            String file =
                    switch (sectionName) {
                        case "HEAD" -> "head";
                        case "NEWS" -> "news";
                        case "LINK" -> "links";
                        case "ROUT" -> "route";
                        case "BASE" -> "baseline";
                        case "PODS" -> "pod";
                        default -> "key";
                    };
            try (InputStream in = StateFileFormat.class.getResourceAsStream(file + ".avsc")) {
                return new Schema.Parser().parse(in);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private StateFileFormat() {}

    /** Returns the tag of a section as an int, from its name of four ASCII characters. */
    static int sectionTag(String name) {
        return ByteBuffer.wrap(name.getBytes(StandardCharsets.US_ASCII)).getInt();
    }

    /** Returns the name of a tag for messages; hexadecimal if it is not printable. */
    private static String tagName(int tag) {
        String text =
                new String(ByteBuffer.allocate(4).putInt(tag).array(), StandardCharsets.ISO_8859_1);
        return text.chars().allMatch(c -> c >= ' ' && c <= '~')
                ? text.trim()
                : String.format("%08x", tag);
    }

    // ---- Writing.

    /** Returns the content of a state file. */
    static byte[] encode(StateSnapshot snapshot) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(MAGIC);
        out.writeBytes(ByteBuffer.allocate(4).putInt(FORMAT_VERSION).array());
        writeSection(out, Section.HEAD, List.of(snapshot.header()), StateFileFormat::writeFields);
        writeSection(
                out, Section.NEWS, List.of(snapshot.rolloutStatus()), StateFileFormat::writeFields);
        writeSection(
                out,
                Section.LINK,
                valuesOfType(snapshot, LearnedState.ConnectionStats.class),
                StateFileFormat::writeFields);
        writeSection(
                out,
                Section.ROUT,
                valuesOfType(snapshot, LearnedState.RouteStats.class),
                StateFileFormat::writeFields);
        writeSection(
                out,
                Section.BASE,
                valuesOfType(snapshot, LearnedState.DetectorBaseline.class),
                StateFileFormat::writeFields);
        writeSection(out, Section.PODS, snapshot.pods(), StateFileFormat::writeFields);
        writeSection(
                out,
                Section.KEYS,
                valuesOfType(snapshot, LearnedState.KeyBuild.class),
                StateFileFormat::writeFields);
        writeSection(
                out,
                END_TAG,
                new byte[0],
                Section.values().length,
                ByteBuffer.allocate(8).putLong(out.size()).array());
        return out.toByteArray();
    }

    private static <T> List<T> valuesOfType(StateSnapshot snapshot, Class<T> type) {
        return snapshot.learnedValues().stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Copies the fields of a value into an Avro record. */
    private interface FieldWriter<T> {
        void writeFields(GenericRecord record, T value);
    }

    private static <T> void writeSection(
            ByteArrayOutputStream out,
            Section section,
            List<T> values,
            FieldWriter<T> fieldWriter) {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(records, null);
        GenericDatumWriter<GenericRecord> writer = new GenericDatumWriter<>(section.schema);
        try {
            for (T value : values) {
                GenericRecord record = new GenericData.Record(section.schema);
                fieldWriter.writeFields(record, value);
                writer.write(record, encoder);
            }
            encoder.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        writeSection(
                out,
                section.tag,
                section.schema.toString().getBytes(StandardCharsets.UTF_8),
                values.size(),
                records.toByteArray());
    }

    /**
     * Appends a section with its checksums.
     *
     * @param schema the schema of the records, as JSON in UTF-8
     * @param records the records in Avro's binary encoding
     */
    static void writeSection(
            ByteArrayOutputStream out, int tag, byte[] schema, int count, byte[] records) {
        ByteBuffer header =
                ByteBuffer.allocate(SECTION_HEADER_BYTES)
                        .putInt(tag)
                        .putInt(schema.length)
                        .putInt(count)
                        .putInt(records.length);
        header.putInt(crc(header.array(), 0, SECTION_HEADER_BYTES - 4));
        out.writeBytes(header.array());
        out.writeBytes(schema);
        out.writeBytes(records);
        CRC32C crc = new CRC32C();
        crc.update(schema);
        crc.update(records);
        out.writeBytes(ByteBuffer.allocate(4).putInt((int) crc.getValue()).array());
    }

    private static int crc(byte[] bytes, int from, int to) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, to - from);
        return (int) crc.getValue();
    }

    private static void writeFields(GenericRecord record, StateSnapshot.Header header) {
        record.put("writer", header.writer());
        record.put("instance", header.instance());
        record.put("machine", header.machine());
        record.put("zone", header.zone());
        record.put("start", header.start());
        record.put("sequence", header.sequence());
        record.put("unixMs", header.unixMs());
        record.put("listVersion", header.listVersion());
    }

    private static void writeFields(GenericRecord record, RolloutStatus status) {
        record.put("build", status.build());
        record.put("stage", status.stage());
        record.put("phase", status.phase().name());
        record.put("cap", status.cap());
    }

    private static void writeFields(GenericRecord record, LearnedState.ConnectionStats stats) {
        writeFields(record, "refused", "refusedWeight", stats.refused());
        writeFields(record, "unanswered", "unansweredWeight", stats.unanswered());
    }

    private static void writeFields(GenericRecord record, LearnedState.RouteStats stats) {
        record.put("route", stats.route());
        record.put("build", stats.build());
        writeFields(record, "timesNs", "timesWeight", stats.times());
        writeFields(record, "usualNs", "usualWeight", stats.usual());
    }

    private static void writeFields(GenericRecord record, LearnedState.DetectorBaseline baseline) {
        record.put("build", baseline.build());
        record.put("route", baseline.route());
        record.put("ofLate", baseline.ofLate());
        record.put("mean", baseline.mean());
        record.put("deviation", baseline.deviation());
        record.put("samples", baseline.samples());
    }

    private static void writeFields(GenericRecord record, StateSnapshot.PodSnapshot pod) {
        PodEntry entry = pod.learned().is();
        record.put("id", entry.id());
        record.put("address", pod.address());
        record.put("zone", entry.zone());
        record.put("kind", entry.kind());
        record.put("cell", entry.cell());
        record.put("build", entry.build());
        record.put("state", entry.state().name());
        record.put("weight", entry.weight());
        record.put("startedNs", entry.startedNs());
        writeFields(record, "slowness", "slownessWeight", pod.learned().slowness());
        writeFields(record, "late", "lateWeight", pod.learned().late());
        record.put("strikes", pod.learned().strikes());
    }

    private static void writeFields(GenericRecord record, LearnedState.KeyBuild keyBuild) {
        record.put("key", keyBuild.key());
        record.put("build", keyBuild.build());
    }

    private static void writeFields(
            GenericRecord record,
            String meanField,
            String weightField,
            LearnedState.WeightedMean value) {
        record.put(meanField, value.mean());
        record.put(weightField, value.weight());
    }

    // ---- Reading.

    /**
     * Decodes a state file.
     *
     * @param fileName the name of the file in messages of exceptions
     * @param onSkippedSection receives a description of each section that this program does not
     *     know, which a later version added
     */
    static StateSnapshot decode(String fileName, byte[] bytes, Consumer<String> onSkippedSection)
            throws StateFileException {
        return new Reader(fileName, bytes, onSkippedSection).read();
    }

    /** Decodes one file; an instance is used once. */
    private static final class Reader {
        private final String fileName;
        private final ByteBuffer in;
        private final Consumer<String> onSkippedSection;
        private StateSnapshot.Header header;
        private RolloutStatus rolloutStatus;
        private final List<StateSnapshot.PodSnapshot> pods = new ArrayList<>();
        private final List<LearnedState> learnedValues = new ArrayList<>();

        /** The number of sections read, without the end section. */
        private int sectionCount;

        Reader(String fileName, byte[] bytes, Consumer<String> onSkippedSection) {
            this.fileName = fileName;
            this.in = ByteBuffer.wrap(bytes);
            this.onSkippedSection = onSkippedSection;
        }

        private StateFileException exceptionAt(
                StateFileException.Kind kind, int offset, String problem) {
            return new StateFileException(kind, fileName + ": at byte " + offset + ": " + problem);
        }

        StateSnapshot read() throws StateFileException {
            byte[] magic = new byte[Math.min(MAGIC.length, in.remaining())];
            in.get(magic);
            for (int i = 0; i < magic.length; i++) {
                if (magic[i] != MAGIC[i]) {
                    throw exceptionAt(
                            StateFileException.Kind.NOT_A_STATE_FILE, i, "not a file of state");
                }
            }
            requireBytes(4, "the format version");
            int version = in.getInt();
            if (version > FORMAT_VERSION) {
                throw exceptionAt(
                        StateFileException.Kind.UNSUPPORTED_VERSION,
                        8,
                        "format " + version + ", and we know up to " + FORMAT_VERSION);
            }
            if (version < 1) {
                throw exceptionAt(
                        StateFileException.Kind.CORRUPT, 8, "invalid format version: " + version);
            }
            while (readSection()) {
                sectionCount++;
            }
            if (in.hasRemaining()) {
                throw exceptionAt(
                        StateFileException.Kind.CORRUPT,
                        in.position(),
                        in.remaining() + " bytes after the end section");
            }
            if (header == null || rolloutStatus == null) {
                throw exceptionAt(
                        StateFileException.Kind.CORRUPT, 12, "section HEAD or NEWS is missing");
            }
            return new StateSnapshot(
                    header, rolloutStatus, List.copyOf(pods), List.copyOf(learnedValues));
        }

        private void requireBytes(long count, String part) throws StateFileException {
            if (in.remaining() < count) {
                throw exceptionAt(
                        StateFileException.Kind.TRUNCATED,
                        in.position(),
                        "the file ends within " + part);
            }
        }

        /** Reads the next section; returns false at the end section. */
        private boolean readSection() throws StateFileException {
            int headerOffset = in.position();
            requireBytes(SECTION_HEADER_BYTES, "a section header");
            int tag = in.getInt();
            int schemaLength = in.getInt();
            int recordCount = in.getInt();
            int recordsLength = in.getInt();
            if (in.getInt()
                    != crc(in.array(), headerOffset, headerOffset + SECTION_HEADER_BYTES - 4)) {
                throw exceptionAt(
                        StateFileException.Kind.CORRUPT,
                        headerOffset,
                        "the checksum of a section header does not match");
            }
            String name = tagName(tag);
            if (schemaLength < 0
                    || schemaLength > MAX_SCHEMA_BYTES
                    || recordsLength < 0
                    || recordCount < 0
                    || recordCount > recordsLength) {
                throw exceptionAt(
                        StateFileException.Kind.CORRUPT,
                        headerOffset,
                        "invalid lengths in the header of section " + name);
            }
            int bodyOffset = in.position();
            requireBytes(schemaLength + (long) recordsLength + 4, "section " + name);
            in.position(bodyOffset + schemaLength + recordsLength);
            if (in.getInt()
                    != crc(in.array(), bodyOffset, bodyOffset + schemaLength + recordsLength)) {
                throw exceptionAt(
                        StateFileException.Kind.CORRUPT,
                        bodyOffset,
                        "the checksum of section " + name + " does not match");
            }
            if (tag == END_TAG) {
                if (recordsLength != 8
                        || in.getLong(bodyOffset) != headerOffset
                        || recordCount != sectionCount) {
                    throw exceptionAt(
                            StateFileException.Kind.CORRUPT,
                            headerOffset,
                            "the end section does not match the sections before it");
                }
                return false;
            }
            try {
                readRecords(
                        tag,
                        name,
                        new String(in.array(), bodyOffset, schemaLength, StandardCharsets.UTF_8),
                        recordCount,
                        bodyOffset + schemaLength,
                        recordsLength);
            } catch (IOException | RuntimeException e) {
                throw exceptionAt(
                        StateFileException.Kind.CORRUPT,
                        bodyOffset,
                        "section " + name + " is invalid: " + e.getMessage());
            }
            return true;
        }

        private void readRecords(
                int tag, String name, String writerSchema, int count, int offset, int length)
                throws IOException {
            Section section = null;
            for (Section known : Section.values()) {
                section = known.tag == tag ? known : section;
            }
            if (section == null) {
                onSkippedSection.accept("section " + name + ", which this version does not know");
                return;
            }
            GenericDatumReader<GenericRecord> reader =
                    new GenericDatumReader<>(
                            new Schema.Parser().parse(writerSchema), section.schema);
            BinaryDecoder decoder =
                    DecoderFactory.get().binaryDecoder(in.array(), offset, length, null);
            for (int i = 0; i < count; i++) {
                GenericRecord record = reader.read(null, decoder);
                switch (section) {
                    case HEAD ->
                            header =
                                    new StateSnapshot.Header(
                                            stringField(record, "writer"),
                                            stringField(record, "instance"),
                                            stringField(record, "machine"),
                                            stringField(record, "zone"),
                                            (Long) record.get("start"),
                                            (Long) record.get("sequence"),
                                            (Long) record.get("unixMs"),
                                            (Long) record.get("listVersion"));
                    case NEWS ->
                            rolloutStatus =
                                    new RolloutStatus(
                                            (Integer) record.get("build"),
                                            (Integer) record.get("stage"),
                                            RolloutStatus.Phase.valueOf(
                                                    stringField(record, "phase")),
                                            doubleField(record, "cap"),
                                            0);
                    case LINK ->
                            learnedValues.add(
                                    new LearnedState.ConnectionStats(
                                            weightedMean(record, "refused", "refusedWeight"),
                                            weightedMean(
                                                    record, "unanswered", "unansweredWeight")));
                    case ROUT ->
                            learnedValues.add(
                                    new LearnedState.RouteStats(
                                            stringField(record, "route"),
                                            (Integer) record.get("build"),
                                            weightedMean(record, "timesNs", "timesWeight"),
                                            weightedMean(record, "usualNs", "usualWeight")));
                    case BASE ->
                            learnedValues.add(
                                    new LearnedState.DetectorBaseline(
                                            (Integer) record.get("build"),
                                            stringField(record, "route"),
                                            (Boolean) record.get("ofLate"),
                                            doubleField(record, "mean"),
                                            doubleField(record, "deviation"),
                                            doubleField(record, "samples")));
                    case PODS -> pods.add(readPod(record));
                    default ->
                            learnedValues.add(
                                    new LearnedState.KeyBuild(
                                            (Long) record.get("key"),
                                            (Integer) record.get("build")));
                }
            }
            if (!decoder.isEnd()) {
                throw new AvroRuntimeException("bytes after the last record");
            }
        }

        private static StateSnapshot.PodSnapshot readPod(GenericRecord record) {
            PodEntry entry =
                    new PodEntry(
                            stringField(record, "id"),
                            stringField(record, "zone"),
                            stringField(record, "kind"),
                            (Integer) record.get("cell"),
                            (Integer) record.get("build"),
                            PodEntry.State.valueOf(stringField(record, "state")),
                            doubleField(record, "weight"),
                            (Long) record.get("startedNs"));
            return new StateSnapshot.PodSnapshot(
                    stringField(record, "address"),
                    new LearnedState.PodStats(
                            entry,
                            weightedMean(record, "slowness", "slownessWeight"),
                            weightedMean(record, "late", "lateWeight"),
                            (Integer) record.get("strikes")));
        }

        private static String stringField(GenericRecord record, String field) {
            return record.get(field).toString();
        }

        private static LearnedState.WeightedMean weightedMean(
                GenericRecord record, String meanField, String weightField) {
            return new LearnedState.WeightedMean(
                    doubleField(record, meanField), doubleField(record, weightField));
        }

        /**
         * Returns a number that must be finite and not negative, as are all that this program
         * writes. Any other number would corrupt every sum to which it is added.
         */
        private static double doubleField(GenericRecord record, String field) {
            double value = (Double) record.get(field);
            if (!(value >= 0 && value < Double.MAX_VALUE)) {
                throw new AvroRuntimeException(field + " is negative or not finite: " + value);
            }
            return value;
        }
    }
}
