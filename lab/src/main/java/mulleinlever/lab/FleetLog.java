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
 * Reads the logs of a whole fleet, a file a sidecar, and adds them up by second: what each {@code
 * count} line tells, and how many lines of each other kind there were. For one id, its story over
 * all sidecars in order of time.
 *
 * <p>A line begins with the seconds since its sidecar's start; where whoever collects the logs put
 * a time of its own before that, that one is used, since it is the same for all.
 */
@Command(
        name = "fleetlog",
        mixinStandardHelpOptions = true,
        description = "The logs of a fleet added up by second, or the story of one req.")
final class FleetLog implements Callable<Integer> {
    private static final Pattern LINE =
            Pattern.compile("\\s*([0-9.]+)\\s+(?:([0-9.]+)\\s+)?([a-z]+): (.*)");
    private static final Pattern PAIR = Pattern.compile("([a-z_]+)=(-?[0-9.]+)");

    /** What stands at a moment, where the rest are counts since the line before. */
    private static final List<String> STANDS =
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
                    "ease",
                    "list_age");

    private final TreeMap<Long, Map<String, Double>> seconds = new TreeMap<>();
    private final List<ReqLogLine> told = new ArrayList<>();

    private record ReqLogLine(double timeSeconds, String sidecar, String text) {}

    @Parameters(
            index = "0",
            paramLabel = "FOLDER",
            description = "Where the logs lie, a file a sidecar, ending in .log.")
    private Path folder;

    @Parameters(index = "1", arity = "0..1", paramLabel = "ID", description = "The req to follow.")
    private String id;

    /**
     * Reads all files of a folder whose names end in .log.
     *
     * @param id the req to follow, or null for none
     * @throws IOException where a file can't be read
     */
    static FleetLog read(Path folder, String id) throws IOException {
        FleetLog all = new FleetLog();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path f : files.filter(p -> p.toString().endsWith(".log")).sorted().toList()) {
                String name = f.getFileName().toString().replace(".log", "");
                for (String line :
                        new String(Files.readAllBytes(f), StandardCharsets.UTF_8).split("\n")) {
                    all.take(name, line, id);
                }
            }
        }
        all.told.sort(Comparator.comparingDouble(ReqLogLine::timeSeconds));
        return all;
    }

    private void take(String sidecar, String line, String id) {
        Matcher m = LINE.matcher(line);
        if (!m.matches()) {
            return;
        }
        double at = Double.parseDouble(m.group(1));
        if (id != null && line.contains(id)) {
            told.add(new ReqLogLine(at, sidecar, m.group(3) + ": " + m.group(4)));
        }
        Map<String, Double> second = seconds.computeIfAbsent((long) at, s -> new LinkedHashMap<>());
        if (!m.group(3).equals("count")) {
            second.merge("said_" + m.group(3), 1.0, Double::sum);
            return;
        }
        second.merge("sidecars", 1.0, Double::sum);
        for (Matcher p = PAIR.matcher(m.group(4)); p.find(); ) {
            second.merge(p.group(1), Double.parseDouble(p.group(2)), Double::sum);
        }
    }

    /** Lines of the id that was asked for, in order of time: seconds, sidecar, what it said. */
    List<String> reqTimeline() {
        return told.stream()
                .map(
                        t ->
                                String.format(
                                        Locale.ROOT,
                                        "%9.3f %s %s",
                                        t.timeSeconds,
                                        t.sidecar,
                                        t.text))
                .toList();
    }

    /**
     * A row a second, a column for each figure told in any; what stands at a moment as the mean
     * over the sidecars.
     */
    void printTable(PrintStream out) {
        List<String> columns = new ArrayList<>();
        seconds.values()
                .forEach(
                        s ->
                                s.keySet().stream()
                                        .filter(k -> !columns.contains(k))
                                        .forEach(columns::add));
        out.println("second " + String.join(" ", columns));
        seconds.forEach(
                (at, s) -> {
                    StringBuilder row = new StringBuilder(String.format("%6d", at));
                    double n = Math.max(1, s.getOrDefault("sidecars", 0.0));
                    for (String c : columns) {
                        double x = s.getOrDefault(c, 0.0);
                        row.append(
                                String.format(
                                        Locale.ROOT,
                                        " %" + c.length() + "s",
                                        STANDS.contains(c)
                                                ? String.format(Locale.ROOT, "%.2f", x / n)
                                                : String.valueOf(Math.round(x))));
                    }
                    out.println(row);
                });
    }

    @Override
    public Integer call() throws IOException {
        FleetLog all = read(folder, id);
        if (id != null) {
            all.reqTimeline().forEach(System.out::println);
        } else {
            all.printTable(System.out);
        }
        return 0;
    }
}
