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

    private static final String STATE_TABLE = "state";

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
        FeatureSettings merged = NONE;
        Map<String, Path> fileByTable = new HashMap<>();
        for (Path file : files) {
            FeatureSettings settings = fromToml(TomlFile.read(file));
            if (settings.stateSettings != null) {
                Path earlierFile = fileByTable.put(STATE_TABLE, file);
                if (earlierFile != null) {
                    throw new InvalidInputException(
                            file
                                    + ": the table "
                                    + STATE_TABLE
                                    + " stands in "
                                    + earlierFile
                                    + " too");
                }
                merged = settings;
            }
        }
        return merged;
    }

    /** What one file holds. */
    public static FeatureSettings fromToml(TomlFile file) {
        TomlSection section = file.getSection(STATE_TABLE);
        StateSettings state = section.isPresent() ? readStateSettings(section) : null;
        file.rejectUnknownKeys();
        return new FeatureSettings(state);
    }

    private static StateSettings readStateSettings(TomlSection section) {
        return new StateSettings(
                section.getPath("folder"),
                section.getDurationNs("every", "10s", "50ms", "1h"),
                section.getDouble("jitter", 0.2, 0, 0.9),
                (int) section.getLong("keep", 3, 2, 100),
                section.getSizeBytes("most_bytes", "64MiB", "64KiB", "1GiB"),
                section.getDurationNs("read_within", "500ms", "10ms", "30s"),
                section.getDurationNs("last_within", "300ms", "0ms", "10s"),
                section.getDurationNs("slice", "0.5ms", "0.05ms", "10ms"));
    }
}
