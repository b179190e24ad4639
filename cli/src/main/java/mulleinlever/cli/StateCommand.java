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

/** Shows, checks and prunes the state files that sidecars keep over restarts. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description = "Shows, checks or prunes the state that a sidecar keeps over restarts.",
        subcommands = {StateCommand.Show.class, StateCommand.Check.class, StateCommand.Prune.class})
final class StateCommand implements Runnable {
    /** The maximum size of a file to read: the upper bound of the setting {@code most_bytes}. */
    private static final long MAX_FILE_BYTES = 1L << 30;

    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(), "a subcommand is missing: show, check or prune");
    }

    /**
     * Reads a state file.
     *
     * @param notes receives a message for each part of the file that was left out
     */
    private static StateSnapshot readFile(Path file, List<String> notes) throws StateFileException {
        Path absoluteFile = file.toAbsolutePath();
        return StateStore.readFile(
                new FileSystemDirectory(absoluteFile.getParent()),
                absoluteFile.getFileName().toString(),
                MAX_FILE_BYTES,
                notes::add);
    }

    /** Returns a message that starts with a file's bare name, with the file's folder before it. */
    private static String withFolder(Path file, String message) {
        return file.getParent() == null ? message : file.getParent() + "/" + message;
    }

    /** Prints the content of a state file as tables or as JSON. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Shows a state file, or the newest intact one of a folder.")
    static final class Show implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(
                paramLabel = "FILE",
                description = "A state file, or the state folder of a sidecar.")
        private Path file;

        @Option(names = "--json", description = "Prints one JSON object instead of tables.")
        private boolean asJson;

        @Override
        public Integer call() throws IOException {
            List<String> notes = new ArrayList<>();
            PrintWriter err = spec.commandLine().getErr();
            try {
                StateSnapshot snapshot;
                if (Files.isDirectory(file)) {
                    StateStore.LoadResult loaded =
                            StateStore.readNewest(
                                    new FileSystemDirectory(file), MAX_FILE_BYTES, null);
                    loaded.notes().forEach(line -> err.println(file + "/" + line));
                    if (loaded.snapshot() == null) {
                        err.println(file + ": no intact state file");
                        return StateFileException.Kind.UNREADABLE.exitCode;
                    }
                    snapshot = loaded.snapshot();
                } else {
                    snapshot = readFile(file, notes);
                }
                notes.forEach(n -> err.println(withFolder(file, n)));
                spec.commandLine().getOut().println(asJson ? toJson(snapshot) : toTables(snapshot));
                return 0;
            } catch (StateFileException e) {
                err.println(withFolder(file, e.getMessage()));
                return e.kind.exitCode;
            }
        }

        private static String toJson(StateSnapshot snapshot) throws JsonProcessingException {
            Map<String, Object> root = new LinkedHashMap<>();
            root.put("head", snapshot.header());
            Map<String, Object> rolloutStatus = new LinkedHashMap<>();
            rolloutStatus.put("build", snapshot.rolloutStatus().build());
            rolloutStatus.put("stage", snapshot.rolloutStatus().stage());
            rolloutStatus.put("phase", snapshot.rolloutStatus().phase());
            rolloutStatus.put("cap", snapshot.rolloutStatus().cap());
            root.put("news", rolloutStatus);
            root.put("links", learnedValuesOf(snapshot, LearnedState.ConnectionStats.class));
            root.put("routes", learnedValuesOf(snapshot, LearnedState.RouteStats.class));
            root.put("baselines", learnedValuesOf(snapshot, LearnedState.DetectorBaseline.class));
            root.put("pods", snapshot.pods());
            root.put("keys", learnedValuesOf(snapshot, LearnedState.KeyBuild.class));
            return new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .writeValueAsString(root);
        }

        private static <T> List<T> learnedValuesOf(StateSnapshot snapshot, Class<T> type) {
            return snapshot.learnedValues().stream()
                    .filter(type::isInstance)
                    .map(type::cast)
                    .toList();
        }

        /**
         * Formats a snapshot as text. A cell "M of W" holds a mean and the number of outcomes,
         * after decay, that it stands for.
         */
        private static String toTables(StateSnapshot snapshot) {
            StateSnapshot.Header header = snapshot.header();
            long ageNs =
                    StateDecay.computeAgeNs(
                            header.unixMs(), System.currentTimeMillis() * 1_000_000L);
            StringBuilder text = new StringBuilder();
            appendLine(
                    text,
                    "sidecar %s, zone %s, machine %s, version %s",
                    header.instance(),
                    orUnknown(header.zone()),
                    orUnknown(header.machine()),
                    header.writer());
            appendLine(
                    text,
                    "sequence number %d, captured %s, %s",
                    header.sequence(),
                    Instant.ofEpochMilli(header.unixMs()),
                    ageNs == StateDecay.UNKNOWN_AGE_NS
                            ? "in the future"
                            : ageNs / 1_000_000_000L + " s ago");
            appendLine(
                    text,
                    "build %d stage %d %s, exposure cap %.2f; list version %d",
                    snapshot.rolloutStatus().build(),
                    snapshot.rolloutStatus().stage(),
                    snapshot.rolloutStatus().phase(),
                    snapshot.rolloutStatus().cap(),
                    header.listVersion());
            for (LearnedState.ConnectionStats connections :
                    learnedValuesOf(snapshot, LearnedState.ConnectionStats.class)) {
                appendLine(
                        text,
                        "connections refused %s, tries unanswered %s",
                        formatMean(connections.refused()),
                        formatMean(connections.unanswered()));
            }
            appendLine(text, "%n%-20s %6s %16s %16s", "route", "build", "time ms", "usual time ms");
            for (LearnedState.RouteStats route :
                    learnedValuesOf(snapshot, LearnedState.RouteStats.class)) {
                appendLine(
                        text,
                        "%-20s %6d %16s %16s",
                        route.route(),
                        route.build(),
                        formatMeanMs(route.times()),
                        formatMeanMs(route.usual()));
            }
            appendLine(
                    text,
                    "%n%-20s %6s %-16s %8s %10s %8s",
                    "baseline",
                    "build",
                    "outcomes",
                    "mean",
                    "deviation",
                    "seconds");
            for (LearnedState.DetectorBaseline baseline :
                    learnedValuesOf(snapshot, LearnedState.DetectorBaseline.class)) {
                appendLine(
                        text,
                        "%-20s %6d %-16s %8.3f %10.3f %8.0f",
                        baseline.route().isEmpty() ? "all" : baseline.route(),
                        baseline.build(),
                        baseline.ofLate() ? "late" : "failed, flagged",
                        baseline.mean(),
                        baseline.deviation(),
                        baseline.samples());
            }
            appendLine(
                    text,
                    "%n%-20s %-22s %-8s %6s %-9s %14s %14s %7s",
                    "pod",
                    "address",
                    "zone",
                    "build",
                    "state",
                    "slowness",
                    "late",
                    "strikes");
            for (StateSnapshot.PodSnapshot pod : snapshot.pods()) {
                PodEntry entry = pod.learned().is();
                appendLine(
                        text,
                        "%-20s %-22s %-8s %6d %-9s %14s %14s %7d",
                        entry.id(),
                        pod.address(),
                        entry.zone(),
                        entry.build(),
                        entry.state().name().toLowerCase(Locale.ROOT),
                        formatMean(pod.learned().slowness()),
                        formatMean(pod.learned().late()),
                        pod.learned().strikes());
            }
            appendLine(
                    text,
                    "%n%d one-way keys",
                    learnedValuesOf(snapshot, LearnedState.KeyBuild.class).size());
            return text.toString().stripTrailing();
        }

        private static void appendLine(StringBuilder text, String format, Object... args) {
            text.append(String.format(Locale.ROOT, format, args)).append('\n');
        }

        private static String orUnknown(String text) {
            return text.isEmpty() ? "unknown" : text;
        }

        private static String formatMean(LearnedState.WeightedMean mean) {
            return mean.weight() == 0
                    ? "-"
                    : String.format(Locale.ROOT, "%.2f of %.1f", mean.mean(), mean.weight());
        }

        private static String formatMeanMs(LearnedState.WeightedMean meanNs) {
            return meanNs.weight() == 0
                    ? "-"
                    : String.format(
                            Locale.ROOT, "%.1f of %.1f", meanNs.mean() / 1e6, meanNs.weight());
        }
    }

    /** Checks that state files are intact. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Checks state files and reports what is wrong with them.",
            footer = {
                "",
                "Exit codes: 0 all are intact, 3 not readable, 4 not a state file, 5 newer format,",
                "6 truncated, 7 corrupt, 8 too large; with several faulty files, that of the first."
            })
    static final class Check implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "FILE", arity = "1..*", description = "State files.")
        private List<Path> files;

        @Override
        public Integer call() {
            int exitCode = 0;
            for (Path file : files) {
                List<String> notes = new ArrayList<>();
                try {
                    StateSnapshot snapshot = readFile(file, notes);
                    spec.commandLine()
                            .getOut()
                            .println(
                                    file
                                            + ": sound, number "
                                            + snapshot.header().sequence()
                                            + " of "
                                            + snapshot.header().instance()
                                            + ", "
                                            + snapshot.pods().size()
                                            + " pods");
                } catch (StateFileException e) {
                    notes.add(e.getMessage());
                    exitCode = exitCode == 0 ? e.kind.exitCode : exitCode;
                }
                notes.forEach(n -> spec.commandLine().getErr().println(withFolder(file, n)));
            }
            return exitCode;
        }
    }

    /** Deletes files that an ended sidecar or a crash left behind. */
    @Command(
            name = "prune",
            mixinStandardHelpOptions = true,
            description =
                    "Deletes unfinished and damaged files, and all but the newest intact files.")
    static final class Prune implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(
                paramLabel = "FOLDER",
                description = "The state folder of a sidecar that is not running.")
        private Path folder;

        @Option(
                names = "--keep",
                paramLabel = "N",
                description = "The number of intact files to retain (default: ${DEFAULT-VALUE}).")
        private int retainedFileCount = 1;

        @Option(names = "--dry-run", description = "Only prints what would be deleted.")
        private boolean dryRun;

        @Override
        public Integer call() throws IOException {
            if (retainedFileCount < 0) {
                throw new ParameterException(spec.commandLine(), "--keep needs 0 or more");
            }
            FileSystemDirectory directory = new FileSystemDirectory(folder);
            List<String> names = new ArrayList<>(directory.list());
            Collections.reverse(names);
            try (Closeable lock = directory.tryLock(StateStore.LOCK_FILE_NAME)) {
                if (lock == null) {
                    spec.commandLine()
                            .getErr()
                            .println(folder + ": in use by a running sidecar; nothing was deleted");
                    return 1;
                }
                int intactFileCount = 0;
                for (String name : names) {
                    String reason = StateStore.isTemporaryFile(name) ? "unfinished" : null;
                    if (StateStore.parseSequence(name) >= 0) {
                        try {
                            StateStore.readFile(directory, name, MAX_FILE_BYTES, note -> {});
                            reason = intactFileCount++ < retainedFileCount ? null : "older";
                        } catch (StateFileException e) {
                            // A file of a newer format is intact for the version that wrote it.
                            reason =
                                    e.kind == StateFileException.Kind.UNSUPPORTED_VERSION
                                            ? null
                                            : "not intact: " + e.getMessage();
                        }
                    }
                    if (reason != null) {
                        spec.commandLine()
                                .getOut()
                                .println(
                                        (dryRun ? "would delete " : "deleted ")
                                                + name
                                                + ", "
                                                + reason);
                        if (!dryRun) {
                            directory.delete(name);
                        }
                    }
                }
                directory.forceDirectory();
                return 0;
            }
        }
    }
}
