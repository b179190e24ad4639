package mulleinlever.settings;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is switched on beside the platform's own settings, from TOML files of ours: read, checked
 * and given defaults here and nowhere else. Times are nanoseconds.
 */
public record FeatureSettings(StateSettings remember) {
    /** Nothing is switched on. */
    public static final FeatureSettings NONE = new FeatureSettings(null);

    private static final String STATE = "state";

    /**
     * What is kept over a restart, and how: null where nothing is.
     *
     * @param folder where the files lie; one sidecar's own
     * @param everyNs from one capture to the next
     * @param jitter the part by which that varies, so that many sidecars do not write at once
     * @param keep how many files stay
     * @param mostBytes the longest file that is read or written
     * @param readWithinNs after so long the start goes on without
     * @param lastWithinNs how long the last write may hold up the end of the process
     * @param sliceNs the longest that a capture holds the event loop at a time
     */
    public record StateSettings(
            Path folder,
            long everyNs,
            double jitter,
            int keep,
            long mostBytes,
            long readWithinNs,
            long lastWithinNs,
            long sliceNs) {}

    /**
     * Reads the files in the order given; each table may stand in one of them.
     *
     * @throws InvalidInputException naming file, line and column
     */
    public static FeatureSettings read(List<Path> files) {
        FeatureSettings all = NONE;
        Map<String, Path> from = new HashMap<>();
        for (Path file : files) {
            FeatureSettings one = of(TomlFile.read(file));
            if (one.remember != null) {
                Path before = from.put(STATE, file);
                if (before != null) {
                    throw new InvalidInputException(
                            file + ": the table " + STATE + " stands in " + before + " too");
                }
                all = one;
            }
        }
        return all;
    }

    /** What one file holds. */
    public static FeatureSettings of(TomlFile file) {
        TomlSection s = file.section(STATE);
        StateSettings remember = s.present() ? remember(s) : null;
        file.done();
        return new FeatureSettings(remember);
    }

    private static StateSettings remember(TomlSection s) {
        return new StateSettings(
                s.path("folder"),
                s.duration("every", "10s", "50ms", "1h"),
                s.number("jitter", 0.2, 0, 0.9),
                (int) s.whole("keep", 3, 2, 100),
                s.size("most_bytes", "64MiB", "64KiB", "1GiB"),
                s.duration("read_within", "500ms", "10ms", "30s"),
                s.duration("last_within", "300ms", "0ms", "10s"),
                s.duration("slice", "0.5ms", "0.05ms", "10ms"));
    }
}
