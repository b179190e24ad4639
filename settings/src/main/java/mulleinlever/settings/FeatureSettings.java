package mulleinlever.settings;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is switched on beside the platform's own settings, from TOML files of ours: read, checked
 * and given defaults here and nowhere else. Times are nanoseconds.
 */
public record FeatureSettings(StateSettings stateSettings) {
    /** Nothing is switched on. */
    public static final FeatureSettings NONE = new FeatureSettings(null);

    private static final String STATE = "state";

    /**
     * What is kept over a restart, and how: null where nothing is.
     *
     * @param folder where the files lie; one sidecar's own
     * @param captureIntervalNs from one capture to the next
     * @param jitterRatio the part by which that varies, so that many sidecars do not write at once
     * @param retainedFileCount how many files stay
     * @param maxFileBytes the longest file that is read or written
     * @param readTimeoutNs after so long the start goes on without
     * @param finalWriteTimeoutNs how long the last write may hold up the end of the process
     * @param maxCaptureSliceNs the longest that a capture holds the event loop at a time
     */
    public record StateSettings(
            Path folder,
            long captureIntervalNs,
            double jitterRatio,
            int retainedFileCount,
            long maxFileBytes,
            long readTimeoutNs,
            long finalWriteTimeoutNs,
            long maxCaptureSliceNs) {}

    /**
     * Reads the files in the order given; each table may stand in one of them.
     *
     * @throws InvalidInputException naming file, line and column
     */
    public static FeatureSettings read(List<Path> files) {
        FeatureSettings all = NONE;
        Map<String, Path> from = new HashMap<>();
        for (Path file : files) {
            FeatureSettings one = fromToml(TomlFile.read(file));
            if (one.stateSettings != null) {
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
    public static FeatureSettings fromToml(TomlFile file) {
        TomlSection s = file.getSection(STATE);
        StateSettings remember = s.isPresent() ? remember(s) : null;
        file.rejectUnknownKeys();
        return new FeatureSettings(remember);
    }

    private static StateSettings remember(TomlSection s) {
        return new StateSettings(
                s.getPath("folder"),
                s.getDurationNs("every", "10s", "50ms", "1h"),
                s.getDouble("jitter", 0.2, 0, 0.9),
                (int) s.getLong("keep", 3, 2, 100),
                s.getSizeBytes("most_bytes", "64MiB", "64KiB", "1GiB"),
                s.getDurationNs("read_within", "500ms", "10ms", "30s"),
                s.getDurationNs("last_within", "300ms", "0ms", "10s"),
                s.getDurationNs("slice", "0.5ms", "0.05ms", "10ms"));
    }
}
