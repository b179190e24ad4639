package mulleinlever.settings;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings of optional features, read from this project's own TOML files, apart from the
 * platform's configuration. This class is the only place that defines their keys, bounds and
 * defaults.
 *
 * @param stateSettings the settings of the state kept over restarts; null if that is disabled
 */
public record FeatureSettings(StateSettings stateSettings) {
    /** The settings with every feature disabled. */
    public static final FeatureSettings NONE = new FeatureSettings(null);

    private static final String STATE_TABLE = "state";

    /**
     * The settings of the state that a sidecar keeps over restarts: the table {@code state}.
     *
     * @param folder the folder of the state files, which no other sidecar may use
     * @param snapshotIntervalNs the mean interval between two snapshots, in nanoseconds
     * @param jitterRatio the share of the interval by which it varies at random, so that many
     *     sidecars do not write at the same time
     * @param retainedFileCount the number of files to retain
     * @param maxFileBytes the maximum size of a file that is read or written
     * @param readTimeoutNs the maximum time that the start waits for the saved state to be read, in
     *     nanoseconds; after that the sidecar starts without it
     * @param finalWriteTimeoutNs the maximum time for which the last write delays the end of the
     *     process, in nanoseconds
     * @param maxSnapshotSliceNs the maximum time for which a snapshot occupies the event loop at a
     *     stretch, in nanoseconds
     */
    public record StateSettings(
            Path folder,
            long snapshotIntervalNs,
            double jitterRatio,
            int retainedFileCount,
            long maxFileBytes,
            long readTimeoutNs,
            long finalWriteTimeoutNs,
            long maxSnapshotSliceNs) {}

    /**
     * Reads the settings from several files. Each table may be present in only one of them.
     *
     * @throws InvalidInputException if a file can't be read, has an unknown table or key or an
     *     invalid value, or repeats a table of an earlier file
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
                                    + " is in "
                                    + earlierFile
                                    + " as well");
                }
                merged = settings;
            }
        }
        return merged;
    }

    /**
     * Returns the settings in one file.
     *
     * @throws InvalidInputException if the file has an unknown table or key, or an invalid value
     */
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
