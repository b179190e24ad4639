package mulleinlever.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Reads the logs of a fleet, one file per sidecar, and sums them by second: the values of the
 * {@code count} lines, and the number of lines with each other label. Given the id of a req, lists
 * the lines of all sidecars that contain it, in order of time.
 *
 * <p>A line begins with the seconds since the start of its sidecar. If the log collector has put a
 * time of its own before that, it is used instead, because it is the same for all sidecars.
 */
@Command(
        name = "fleetlog",
        mixinStandardHelpOptions = true,
        description = "Sums the logs of a fleet by second, or lists all log lines of one req.")
final class FleetLog implements Callable<Integer> {
    private static final Pattern LINE_PATTERN =
            Pattern.compile("\\s*([0-9.]+)\\s+(?:([0-9.]+)\\s+)?([a-z]+): (.*)");
    private static final Pattern VALUE_PATTERN = Pattern.compile("([a-z_]+)=(-?[0-9.]+)");

    /** Values at a moment; all others are counts since the preceding line. */
    private static final List<String> GAUGES =
            List.of(
                    "clients",
                    "links",
                    "room",
                    "open",
                    "first",
                    "further",
                    "ready",
                    "usable",
                    "fit",
                    "cold",
                    "dark",
                    "remembered",
                    "no_place",
                    "ease",
                    "list_age",
                    "pool_mb",
                    "req_mb",
                    "resp_mb",
                    "loop_ms",
                    "unconfirmed_ms");

    private final TreeMap<Long, Map<String, Double>> valuesBySecond = new TreeMap<>();
    private final List<ReqLogLine> reqLines = new ArrayList<>();

    /** A log line that contains the id. */
    private record ReqLogLine(double timeSeconds, String sidecar, String text) {}

    @Parameters(
            index = "0",
            paramLabel = "FOLDER",
            description =
                    "The folder of the logs, one file per sidecar, with names ending in .log.")
    private Path folder;

    @Parameters(
            index = "1",
            arity = "0..1",
            paramLabel = "ID",
            description = "The id of the req whose lines to list.")
    private String id;

    /**
     * Reads all files of a folder whose names end in .log.
     *
     * @param id the req whose lines to collect, or null for none
     * @throws IOException if a file can't be read
     */
    static FleetLog read(Path folder, String id) throws IOException {
        FleetLog log = new FleetLog();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(p -> p.toString().endsWith(".log")).sorted().toList()) {
                String name = file.getFileName().toString().replace(".log", "");
                for (String line :
                        new String(Files.readAllBytes(file), StandardCharsets.UTF_8).split("\n")) {
                    log.addLine(name, line, id);
                }
            }
        }
        log.reqLines.sort(Comparator.comparingDouble(ReqLogLine::timeSeconds));
        return log;
    }

    private void addLine(String sidecar, String line, String id) {
        Matcher match = LINE_PATTERN.matcher(line);
        if (!match.matches()) {
            return;
        }
        double timeSeconds = Double.parseDouble(match.group(1));
        if (id != null && line.contains(id)) {
            reqLines.add(
                    new ReqLogLine(timeSeconds, sidecar, match.group(3) + ": " + match.group(4)));
        }
        Map<String, Double> values =
                valuesBySecond.computeIfAbsent((long) timeSeconds, s -> new LinkedHashMap<>());
        if (!match.group(3).equals("count")) {
            values.merge("said_" + match.group(3), 1.0, Double::sum);
            return;
        }
        values.merge("sidecars", 1.0, Double::sum);
        for (Matcher pair = VALUE_PATTERN.matcher(match.group(4)); pair.find(); ) {
            values.merge(pair.group(1), Double.parseDouble(pair.group(2)), Double::sum);
        }
    }

    /**
     * Returns the lines that contain the id, in order of time: seconds, sidecar, label and text.
     */
    List<String> reqTimeline() {
        return reqLines.stream()
                .map(
                        line ->
                                String.format(
                                        Locale.ROOT,
                                        "%9.3f %s %s",
                                        line.timeSeconds,
                                        line.sidecar,
                                        line.text))
                .toList();
    }

    /**
     * Prints a row for each second and a column for each value that occurs. Values at a moment are
     * means over the sidecars, all others sums.
     */
    void printTable(PrintStream out) {
        List<String> columns = new ArrayList<>();
        valuesBySecond
                .values()
                .forEach(
                        values ->
                                values.keySet().stream()
                                        .filter(k -> !columns.contains(k))
                                        .forEach(columns::add));
        out.println("second " + String.join(" ", columns));
        valuesBySecond.forEach(
                (second, values) -> {
                    StringBuilder row = new StringBuilder(String.format("%6d", second));
                    double sidecarCount = Math.max(1, values.getOrDefault("sidecars", 0.0));
                    for (String column : columns) {
                        double value = values.getOrDefault(column, 0.0);
                        row.append(
                                String.format(
                                        Locale.ROOT,
                                        " %" + column.length() + "s",
                                        GAUGES.contains(column)
                                                ? String.format(
                                                        Locale.ROOT, "%.2f", value / sidecarCount)
                                                : String.valueOf(Math.round(value))));
                    }
                    out.println(row);
                });
    }

    @Override
    public Integer call() throws IOException {
        FleetLog log = read(folder, id);
        if (id != null) {
            log.reqTimeline().forEach(System.out::println);
        } else {
            log.printTable(System.out);
        }
        return 0;
    }
}
