package mulleinlever.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import mulleinlever.disk.FileSystemDirectory;
import mulleinlever.state.StateDecay;
import mulleinlever.state.StateFileException;
import mulleinlever.state.StateSnapshot;
import mulleinlever.state.StateStore;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What sidecars keep over a restart: shown, checked, cleared away. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description = "What a sidecar keeps over a restart.",
        subcommands = {StateCommand.Show.class, StateCommand.Check.class, StateCommand.Prune.class})
final class StateCommand implements Runnable {
    private static final long MOST_BYTES = 1L << 30;

    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "one of show, check and prune is missing");
    }

    private static StateSnapshot read(Path file, List<String> leftOut) throws StateFileException {
        Path whole = file.toAbsolutePath();
        return StateStore.readFile(
                new FileSystemDirectory(whole.getParent()),
                whole.getFileName().toString(),
                MOST_BYTES,
                leftOut::add);
    }

    /** A fault's message begins with the file's name alone. */
    private static String located(Path file, String message) {
        return file.getParent() == null ? message : file.getParent() + "/" + message;
    }

    /** The whole content of one file, for reading or for scripts. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Shows one file, or the newest whole one of a folder.")
    static final class Show implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(
                paramLabel = "FILE",
                description = "A file of state, or the folder of a sidecar.")
        private Path file;

        @Option(names = "--json", description = "One JSON object instead of tables.")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            List<String> notes = new ArrayList<>();
            PrintWriter err = spec.commandLine().getErr();
            try {
                StateSnapshot kept;
                if (Files.isDirectory(file)) {
                    StateStore.LoadResult found =
                            StateStore.readNewest(new FileSystemDirectory(file), MOST_BYTES, null);
                    found.skippedFiles().forEach(l -> err.println(file + "/" + l));
                    if (found.snapshot() == null) {
                        err.println(file + ": no whole file of state");
                        return StateFileException.Kind.UNREADABLE.exitCode;
                    }
                    kept = found.snapshot();
                } else {
                    kept = read(file, notes);
                }
                notes.forEach(n -> err.println(located(file, n)));
                spec.commandLine().getOut().println(json ? json(kept) : table(kept));
                return 0;
            } catch (StateFileException e) {
                err.println(located(file, e.getMessage()));
                return e.kind.exitCode;
            }
        }

        private static String json(StateSnapshot kept) throws JsonProcessingException {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("head", kept.head());
            Map<String, Object> news = new LinkedHashMap<>();
            news.put("build", kept.rolloutStatus().build());
            news.put("stage", kept.rolloutStatus().stage());
            news.put("phase", kept.rolloutStatus().phase());
            news.put("cap", kept.rolloutStatus().cap());
            all.put("news", news);
            all.put("links", only(kept, LearnedState.ConnectionStats.class));
            all.put("routes", only(kept, LearnedState.RouteStats.class));
            all.put("baselines", only(kept, LearnedState.DetectorBaseline.class));
            all.put("pods", kept.pods());
            all.put("keys", only(kept, LearnedState.KeyBuild.class));
            return new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .writeValueAsString(all);
        }

        private static <T> List<T> only(StateSnapshot kept, Class<T> type) {
            return kept.learnedValues().stream().filter(type::isInstance).map(type::cast).toList();
        }

        private static String table(StateSnapshot kept) {
            StateSnapshot.Header h = kept.head();
            long ageNs =
                    StateDecay.computeAgeNs(h.unixMs(), System.currentTimeMillis() * 1_000_000L);
            StringBuilder s = new StringBuilder();
            line(
                    s,
                    "sidecar %s, zone %s, machine %s, program %s",
                    h.instance(),
                    or(h.zone()),
                    or(h.machine()),
                    h.writer());
            line(
                    s,
                    "number %d, captured %s, %s",
                    h.sequence(),
                    Instant.ofEpochMilli(h.unixMs()),
                    ageNs == StateDecay.UNKNOWN_AGE_NS
                            ? "later than now"
                            : ageNs / 1_000_000_000L + " s ago");
            line(
                    s,
                    "build %d stage %d %s, cap %.2f; list %d",
                    kept.rolloutStatus().build(),
                    kept.rolloutStatus().stage(),
                    kept.rolloutStatus().phase(),
                    kept.rolloutStatus().cap(),
                    h.listVersion());
            for (LearnedState.ConnectionStats l : only(kept, LearnedState.ConnectionStats.class)) {
                line(
                        s,
                        "links refused %s, tries unanswered %s",
                        share(l.refused()),
                        share(l.unanswered()));
            }
            line(s, "%n%-20s %6s %16s %16s", "route", "build", "takes ms", "usually ms");
            for (LearnedState.RouteStats r : only(kept, LearnedState.RouteStats.class)) {
                line(s, "%-20s %6d %16s %16s", r.route(), r.build(), ms(r.times()), ms(r.usual()));
            }
            line(
                    s,
                    "%n%-20s %6s %-16s %8s %10s %8s",
                    "baseline",
                    "build",
                    "of",
                    "mean",
                    "deviation",
                    "seconds");
            for (LearnedState.DetectorBaseline b :
                    only(kept, LearnedState.DetectorBaseline.class)) {
                line(
                        s,
                        "%-20s %6d %-16s %8.3f %10.3f %8.0f",
                        b.route().isEmpty() ? "all" : b.route(),
                        b.build(),
                        b.ofLate() ? "late" : "failed, flagged",
                        b.mean(),
                        b.deviation(),
                        b.samples());
            }
            line(
                    s,
                    "%n%-20s %-22s %-8s %6s %-9s %14s %14s %7s",
                    "pod",
                    "address",
                    "zone",
                    "build",
                    "state",
                    "slowness",
                    "late",
                    "strikes");
            for (StateSnapshot.PodSnapshot p : kept.pods()) {
                PodEntry is = p.learned().is();
                line(
                        s,
                        "%-20s %-22s %-8s %6d %-9s %14s %14s %7d",
                        is.id(),
                        p.address(),
                        is.zone(),
                        is.build(),
                        is.state().name().toLowerCase(Locale.ROOT),
                        share(p.learned().slowness()),
                        share(p.learned().late()),
                        p.learned().strikes());
            }
            line(s, "%n%d keys that can't go back", only(kept, LearnedState.KeyBuild.class).size());
            return s.toString().stripTrailing();
        }

        private static void line(StringBuilder to, String format, Object... args) {
            to.append(String.format(Locale.ROOT, format, args)).append('\n');
        }

        private static String or(String text) {
            return text.isEmpty() ? "unknown" : text;
        }

        private static String share(LearnedState.WeightedMean f) {
            return f.weight() == 0
                    ? "-"
                    : String.format(Locale.ROOT, "%.2f of %.1f", f.mean(), f.weight());
        }

        private static String ms(LearnedState.WeightedMean f) {
            return f.weight() == 0
                    ? "-"
                    : String.format(Locale.ROOT, "%.1f of %.1f", f.mean() / 1e6, f.weight());
        }
    }

    /** Whether files are whole. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Checks files and tells what is wrong.",
            footer = {
                "",
                "Exit codes: 0 all are sound, 3 can't be read, 4 no file of state, 5 of a later format,",
                "6 cut short, 7 corrupt, 8 too long; of several files the first fault's."
            })
    static final class Check implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "FILE", arity = "1..*", description = "Files of state.")
        private List<Path> files;

        @Override
        public Integer call() {
            int code = 0;
            for (Path file : files) {
                List<String> notes = new ArrayList<>();
                try {
                    StateSnapshot kept = read(file, notes);
                    spec.commandLine()
                            .getOut()
                            .println(
                                    file
                                            + ": sound, number "
                                            + kept.head().sequence()
                                            + " of "
                                            + kept.head().instance()
                                            + ", "
                                            + kept.pods().size()
                                            + " pods");
                } catch (StateFileException e) {
                    notes.add(e.getMessage());
                    code = code == 0 ? e.kind.exitCode : code;
                }
                notes.forEach(n -> spec.commandLine().getErr().println(located(file, n)));
            }
            return code;
        }
    }

    /** What a sidecar that is gone, or a fault, left behind. */
    @Command(
            name = "prune",
            mixinStandardHelpOptions = true,
            description =
                    "Deletes what is unfinished or not whole, and all but the newest whole files.")
    static final class Prune implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(
                paramLabel = "FOLDER",
                description = "The folder of a sidecar that does not run.")
        private Path folder;

        @Option(
                names = "--keep",
                paramLabel = "N",
                description = "So many whole files stay (${DEFAULT-VALUE}).")
        private int keep = 1;

        @Option(names = "--dry-run", description = "Only tells what would be deleted.")
        private boolean dryRun;

        @Override
        public Integer call() throws IOException {
            if (keep < 0) {
                throw new ParameterException(spec.commandLine(), "--keep needs 0 or more");
            }
            FileSystemDirectory disk = new FileSystemDirectory(folder);
            List<String> names = new ArrayList<>(disk.list());
            Collections.reverse(names);
            try (Closeable lock = disk.tryLock(StateStore.LOCK_FILE_NAME)) {
                if (lock == null) {
                    spec.commandLine()
                            .getErr()
                            .println(folder + ": a sidecar that runs holds it; nothing is deleted");
                    return 1;
                }
                int whole = 0;
                for (String name : names) {
                    String why = StateStore.isTemporaryFile(name) ? "unfinished" : null;
                    if (StateStore.parseSequence(name) >= 0) {
                        try {
                            StateStore.readFile(disk, name, MOST_BYTES, l -> {});
                            why = whole++ < keep ? null : "older";
                        } catch (StateFileException e) {
                            // What a later program wrote is sound to that one.
                            why =
                                    e.kind == StateFileException.Kind.UNSUPPORTED_VERSION
                                            ? null
                                            : "not whole: " + e.getMessage();
                        }
                    }
                    if (why != null) {
                        spec.commandLine()
                                .getOut()
                                .println(
                                        (dryRun ? "would delete " : "deleted ")
                                                + name
                                                + ", "
                                                + why);
                        if (!dryRun) {
                            disk.delete(name);
                        }
                    }
                }
                disk.forceDirectory();
                return 0;
            }
        }
    }
}
