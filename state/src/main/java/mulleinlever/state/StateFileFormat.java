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
 * The bytes of a file of state; docs/state.md describes them. A magic, a version, then sections of
 * records, each with its records' schema, so that Avro can read what a somewhat older or newer
 * writer wrote. Each section's head and body have a checksum of their own, and no length is
 * believed before its head's has proved true.
 */
final class StateFileFormat {
    static final int FORMAT_VERSION = 1;
    static final byte[] MAGIC = {(byte) 0x89, 'M', 'L', 'S', 'T', '\r', '\n', 0x1a};
    private static final int HEAD = 20;

    /** Our schemas take less than a thousand bytes; nothing honest comes near this. */
    private static final int LONGEST_SCHEMA = 1 << 16;

    private static final int END = sectionTag("END ");

    /** What one kind of section holds. */
    private enum Section {
        HEAD,
        NEWS,
        LINK,
        ROUT,
        BASE,
        PODS,
        KEYS;

        private final int kind = StateFileFormat.sectionTag((name() + " ").substring(0, 4));
        private final Schema schema = schema(name());

        private static Schema schema(String of) {
            String file =
                    switch (of) {
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

    static int sectionTag(String name) {
        return ByteBuffer.wrap(name.getBytes(StandardCharsets.US_ASCII)).getInt();
    }

    private static String name(int kind) {
        String text =
                new String(
                        ByteBuffer.allocate(4).putInt(kind).array(), StandardCharsets.ISO_8859_1);
        return text.chars().allMatch(c -> c >= ' ' && c <= '~')
                ? text.trim()
                : String.format("%08x", kind);
    }

    // ---- Writing.

    static byte[] encode(StateSnapshot kept) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(MAGIC);
        out.writeBytes(ByteBuffer.allocate(4).putInt(FORMAT_VERSION).array());
        writeSection(out, Section.HEAD, List.of(kept.head()), StateFileFormat::put);
        writeSection(out, Section.NEWS, List.of(kept.rolloutStatus()), StateFileFormat::put);
        writeSection(
                out,
                Section.LINK,
                only(kept, LearnedState.ConnectionStats.class),
                StateFileFormat::put);
        writeSection(
                out, Section.ROUT, only(kept, LearnedState.RouteStats.class), StateFileFormat::put);
        writeSection(
                out,
                Section.BASE,
                only(kept, LearnedState.DetectorBaseline.class),
                StateFileFormat::put);
        writeSection(out, Section.PODS, kept.pods(), StateFileFormat::put);
        writeSection(
                out, Section.KEYS, only(kept, LearnedState.KeyBuild.class), StateFileFormat::put);
        writeSection(
                out,
                END,
                new byte[0],
                Section.values().length,
                ByteBuffer.allocate(8).putLong(out.size()).array());
        return out.toByteArray();
    }

    private static <T> List<T> only(StateSnapshot kept, Class<T> type) {
        return kept.learnedValues().stream().filter(type::isInstance).map(type::cast).toList();
    }

    private interface Put<T> {
        void into(GenericRecord r, T value);
    }

    private static <T> void writeSection(
            ByteArrayOutputStream to, Section s, List<T> all, Put<T> put) {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(records, null);
        GenericDatumWriter<GenericRecord> writer = new GenericDatumWriter<>(s.schema);
        try {
            for (T one : all) {
                GenericRecord r = new GenericData.Record(s.schema);
                put.into(r, one);
                writer.write(r, encoder);
            }
            encoder.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        writeSection(
                to,
                s.kind,
                s.schema.toString().getBytes(StandardCharsets.UTF_8),
                all.size(),
                records.toByteArray());
    }

    static void writeSection(
            ByteArrayOutputStream to, int kind, byte[] schema, int count, byte[] records) {
        ByteBuffer head =
                ByteBuffer.allocate(HEAD)
                        .putInt(kind)
                        .putInt(schema.length)
                        .putInt(count)
                        .putInt(records.length);
        head.putInt(crc(head.array(), 0, HEAD - 4));
        to.writeBytes(head.array());
        to.writeBytes(schema);
        to.writeBytes(records);
        CRC32C crc = new CRC32C();
        crc.update(schema);
        crc.update(records);
        to.writeBytes(ByteBuffer.allocate(4).putInt((int) crc.getValue()).array());
    }

    private static int crc(byte[] bytes, int from, int to) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, to - from);
        return (int) crc.getValue();
    }

    private static void put(GenericRecord r, StateSnapshot.Header h) {
        r.put("writer", h.writer());
        r.put("instance", h.instance());
        r.put("machine", h.machine());
        r.put("zone", h.zone());
        r.put("start", h.start());
        r.put("sequence", h.sequence());
        r.put("unixMs", h.unixMs());
        r.put("listVersion", h.listVersion());
    }

    private static void put(GenericRecord r, RolloutStatus n) {
        r.put("build", n.build());
        r.put("stage", n.stage());
        r.put("phase", n.phase().name());
        r.put("cap", n.cap());
    }

    private static void put(GenericRecord r, LearnedState.ConnectionStats l) {
        put(r, "refused", "refusedWeight", l.refused());
        put(r, "unanswered", "unansweredWeight", l.unanswered());
    }

    private static void put(GenericRecord r, LearnedState.RouteStats l) {
        r.put("route", l.route());
        r.put("build", l.build());
        put(r, "timesNs", "timesWeight", l.times());
        put(r, "usualNs", "usualWeight", l.usual());
    }

    private static void put(GenericRecord r, LearnedState.DetectorBaseline l) {
        r.put("build", l.build());
        r.put("route", l.route());
        r.put("ofLate", l.ofLate());
        r.put("mean", l.mean());
        r.put("deviation", l.deviation());
        r.put("samples", l.samples());
    }

    private static void put(GenericRecord r, StateSnapshot.PodSnapshot p) {
        PodEntry is = p.learned().is();
        r.put("id", is.id());
        r.put("address", p.address());
        r.put("zone", is.zone());
        r.put("kind", is.kind());
        r.put("cell", is.cell());
        r.put("build", is.build());
        r.put("state", is.state().name());
        r.put("weight", is.weight());
        r.put("startedNs", is.startedNs());
        put(r, "slowness", "slownessWeight", p.learned().slowness());
        put(r, "late", "lateWeight", p.learned().late());
        r.put("strikes", p.learned().strikes());
    }

    private static void put(GenericRecord r, LearnedState.KeyBuild k) {
        r.put("key", k.key());
        r.put("build", k.build());
    }

    private static void put(
            GenericRecord r, String mean, String weight, LearnedState.WeightedMean f) {
        r.put(mean, f.mean());
        r.put(weight, f.weight());
    }

    // ---- Reading.

    /**
     * Reads a whole file.
     *
     * @param file what faults name it
     * @param leftOut hears of each section that a later writer added and we do not know
     */
    static StateSnapshot decode(String file, byte[] bytes, Consumer<String> leftOut)
            throws StateFileException {
        return new Reader(file, bytes, leftOut).read();
    }

    private static final class Reader {
        private final String file;
        private final ByteBuffer in;
        private final Consumer<String> leftOut;
        private StateSnapshot.Header head;
        private RolloutStatus news;
        private final List<StateSnapshot.PodSnapshot> pods = new ArrayList<>();
        private final List<LearnedState> learned = new ArrayList<>();
        private int sections;

        Reader(String file, byte[] bytes, Consumer<String> leftOut) {
            this.file = file;
            this.in = ByteBuffer.wrap(bytes);
            this.leftOut = leftOut;
        }

        private StateFileException fault(StateFileException.Kind kind, int at, String what) {
            return new StateFileException(kind, file + ": at byte " + at + ": " + what);
        }

        StateSnapshot read() throws StateFileException {
            byte[] magic = new byte[Math.min(MAGIC.length, in.remaining())];
            in.get(magic);
            for (int i = 0; i < magic.length; i++) {
                if (magic[i] != MAGIC[i]) {
                    throw fault(StateFileException.Kind.NOT_A_STATE_FILE, i, "not a file of state");
                }
            }
            need(4, "the version");
            int version = in.getInt();
            if (version > FORMAT_VERSION) {
                throw fault(
                        StateFileException.Kind.UNSUPPORTED_VERSION,
                        8,
                        "format " + version + ", and we know up to " + FORMAT_VERSION);
            }
            if (version < 1) {
                throw fault(StateFileException.Kind.CORRUPT, 8, "no such format: " + version);
            }
            while (section()) {
                sections++;
            }
            if (in.hasRemaining()) {
                throw fault(
                        StateFileException.Kind.CORRUPT,
                        in.position(),
                        in.remaining() + " bytes behind the end");
            }
            if (head == null || news == null) {
                throw fault(StateFileException.Kind.CORRUPT, 12, "no head or no news");
            }
            return new StateSnapshot(head, news, List.copyOf(pods), List.copyOf(learned));
        }

        private void need(long n, String what) throws StateFileException {
            if (in.remaining() < n) {
                throw fault(
                        StateFileException.Kind.TRUNCATED, in.position(), "ends within " + what);
            }
        }

        /** False at the end. */
        private boolean section() throws StateFileException {
            int from = in.position();
            need(HEAD, "a section's head");
            int kind = in.getInt();
            int schemaLength = in.getInt();
            int count = in.getInt();
            int length = in.getInt();
            if (in.getInt() != crc(in.array(), from, from + HEAD - 4)) {
                throw fault(
                        StateFileException.Kind.CORRUPT,
                        from,
                        "a section's head differs from its checksum");
            }
            String name = name(kind);
            if (schemaLength < 0
                    || schemaLength > LONGEST_SCHEMA
                    || length < 0
                    || count < 0
                    || count > length) {
                throw fault(
                        StateFileException.Kind.CORRUPT,
                        from,
                        "lengths that can't be in section " + name);
            }
            int body = in.position();
            need(schemaLength + (long) length + 4, "section " + name);
            in.position(body + schemaLength + length);
            if (in.getInt() != crc(in.array(), body, body + schemaLength + length)) {
                throw fault(
                        StateFileException.Kind.CORRUPT,
                        body,
                        "section " + name + " differs from its checksum");
            }
            if (kind == END) {
                if (length != 8 || in.getLong(body) != from || count != sections) {
                    throw fault(
                            StateFileException.Kind.CORRUPT,
                            from,
                            "the end does not fit what comes before it");
                }
                return false;
            }
            try {
                take(
                        kind,
                        name,
                        new String(in.array(), body, schemaLength, StandardCharsets.UTF_8),
                        count,
                        body + schemaLength,
                        length);
            } catch (IOException | RuntimeException e) {
                throw fault(
                        StateFileException.Kind.CORRUPT,
                        body,
                        "section " + name + " makes no sense: " + e.getMessage());
            }
            return true;
        }

        private void take(int kind, String name, String schema, int count, int from, int length)
                throws IOException {
            Section s = null;
            for (Section known : Section.values()) {
                s = known.kind == kind ? known : s;
            }
            if (s == null) {
                leftOut.accept("section " + name + " of a later writer");
                return;
            }
            GenericDatumReader<GenericRecord> reader =
                    new GenericDatumReader<>(new Schema.Parser().parse(schema), s.schema);
            BinaryDecoder decoder =
                    DecoderFactory.get().binaryDecoder(in.array(), from, length, null);
            for (int i = 0; i < count; i++) {
                GenericRecord r = reader.read(null, decoder);
                switch (s) {
                    case HEAD ->
                            head =
                                    new StateSnapshot.Header(
                                            text(r, "writer"),
                                            text(r, "instance"),
                                            text(r, "machine"),
                                            text(r, "zone"),
                                            (Long) r.get("start"),
                                            (Long) r.get("sequence"),
                                            (Long) r.get("unixMs"),
                                            (Long) r.get("listVersion"));
                    case NEWS ->
                            news =
                                    new RolloutStatus(
                                            (Integer) r.get("build"),
                                            (Integer) r.get("stage"),
                                            RolloutStatus.Phase.valueOf(text(r, "phase")),
                                            number(r, "cap"),
                                            0);
                    case LINK ->
                            learned.add(
                                    new LearnedState.ConnectionStats(
                                            figure(r, "refused", "refusedWeight"),
                                            figure(r, "unanswered", "unansweredWeight")));
                    case ROUT ->
                            learned.add(
                                    new LearnedState.RouteStats(
                                            text(r, "route"),
                                            (Integer) r.get("build"),
                                            figure(r, "timesNs", "timesWeight"),
                                            figure(r, "usualNs", "usualWeight")));
                    case BASE ->
                            learned.add(
                                    new LearnedState.DetectorBaseline(
                                            (Integer) r.get("build"),
                                            text(r, "route"),
                                            (Boolean) r.get("ofLate"),
                                            number(r, "mean"),
                                            number(r, "deviation"),
                                            number(r, "samples")));
                    case PODS -> pods.add(pod(r));
                    default ->
                            learned.add(
                                    new LearnedState.KeyBuild(
                                            (Long) r.get("key"), (Integer) r.get("build")));
                }
            }
            if (!decoder.isEnd()) {
                throw new AvroRuntimeException("bytes behind its last record");
            }
        }

        private static StateSnapshot.PodSnapshot pod(GenericRecord r) {
            PodEntry is =
                    new PodEntry(
                            text(r, "id"),
                            text(r, "zone"),
                            text(r, "kind"),
                            (Integer) r.get("cell"),
                            (Integer) r.get("build"),
                            PodEntry.State.valueOf(text(r, "state")),
                            number(r, "weight"),
                            (Long) r.get("startedNs"));
            return new StateSnapshot.PodSnapshot(
                    text(r, "address"),
                    new LearnedState.PodStats(
                            is,
                            figure(r, "slowness", "slownessWeight"),
                            figure(r, "late", "lateWeight"),
                            (Integer) r.get("strikes")));
        }

        private static String text(GenericRecord r, String field) {
            return r.get(field).toString();
        }

        private static LearnedState.WeightedMean figure(
                GenericRecord r, String mean, String weight) {
            return new LearnedState.WeightedMean(number(r, mean), number(r, weight));
        }

        /** No figure of ours is below 0 or endless; one that is would poison every sum it joins. */
        private static double number(GenericRecord r, String field) {
            double x = (Double) r.get(field);
            if (!(x >= 0 && x < Double.MAX_VALUE)) {
                throw new AvroRuntimeException(field + " is " + x);
            }
            return x;
        }
    }
}
