package mulleinlever.settings;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A table of a {@link TomlFile}. A getter takes the key, the default value for an absent key, and
 * the inclusive bounds. It throws an {@link InvalidInputException} with file, line and column if
 * the value has another type or is out of bounds, or if a required key is absent.
 */
public final class TomlSection {
    private static final Pattern DURATION =
            Pattern.compile("(\\d{1,9}(?:\\.\\d{1,3})?) ?(ms|s|m|h|d)");
    private static final Pattern SIZE = Pattern.compile("(\\d{1,9}) ?(B|KiB|MiB|GiB)");
    private static final Map<String, Long> NS_PER_UNIT =
            Map.of(
                    "ms",
                    1_000_000L,
                    "s",
                    1_000_000_000L,
                    "m",
                    60_000_000_000L,
                    "h",
                    3_600_000_000_000L,
                    "d",
                    86_400_000_000_000L);

    /** The binary logarithm of each unit's number of bytes. */
    private static final Map<String, Integer> SHIFT_BY_UNIT =
            Map.of("B", 0, "KiB", 10, "MiB", 20, "GiB", 30);

    private final String fileName;

    /** The name of the table with those of the tables around it, such as {@code state}. */
    private final String path;

    /** The parsed table; null if the file does not have it. */
    private final TomlTable table;

    private final Set<String> requestedKeys = new LinkedHashSet<>();
    private final Map<String, TomlSection> subsections = new LinkedHashMap<>();
    private final List<TomlSection> listedSections = new ArrayList<>();

    TomlSection(String fileName, String path, TomlTable table) {
        this.fileName = fileName;
        this.path = path;
        this.table = table;
    }

    /** Returns whether the file has this table; an empty table is present. */
    public boolean isPresent() {
        return table != null;
    }

    public boolean hasKey(String key) {
        return findValue(key) != null;
    }

    /** Returns a required string. */
    public String getString(String key) {
        String value = getString(key, null);
        if (value == null) {
            throw missingKeyError(key);
        }
        return value;
    }

    public String getString(String key, String defaultValue) {
        Object value = findValue(key);
        if (value != null && !(value instanceof String)) {
            throw keyError(key, "needs a quoted string");
        }
        return value == null ? defaultValue : (String) value;
    }

    /**
     * Returns a required path. A relative path is resolved against the working directory of the
     * process.
     */
    public Path getPath(String key) {
        try {
            return Path.of(getString(key));
        } catch (InvalidPathException e) {
            throw keyError(key, "needs a path");
        }
    }

    /**
     * Returns a duration in nanoseconds, written as "250ms", "10s", "5m", "12h" or "3d".
     *
     * @param defaultValue the default in the same notation; null if the key is required
     */
    public long getDurationNs(String key, String defaultValue, String min, String max) {
        String text = getString(key, defaultValue);
        Long durationNs = text == null ? null : parseDurationNs(text);
        if (durationNs == null) {
            throw text == null
                    ? missingKeyError(key)
                    : keyError(
                            key,
                            "needs a duration such as \"250ms\", \"10s\", \"5m\", \"12h\""
                                    + " or \"3d\"");
        }
        if (durationNs < parseDurationNs(min) || durationNs > parseDurationNs(max)) {
            throw keyError(key, "needs a duration from " + min + " to " + max);
        }
        return durationNs;
    }

    /** Returns the duration in nanoseconds, or null if the text is not a duration. */
    private static Long parseDurationNs(String text) {
        Matcher matcher = DURATION.matcher(text);
        return matcher.matches()
                ? (Long)
                        Math.round(
                                Double.parseDouble(matcher.group(1))
                                        * NS_PER_UNIT.get(matcher.group(2)))
                : null;
    }

    /**
     * Returns a number of bytes, written as "512KiB" or "64MiB".
     *
     * @param defaultValue the default in the same notation, not null
     */
    public long getSizeBytes(String key, String defaultValue, String min, String max) {
        Long sizeBytes = parseSizeBytes(getString(key, defaultValue));
        if (sizeBytes == null) {
            throw keyError(key, "needs a size such as \"512KiB\" or \"64MiB\"");
        }
        if (sizeBytes < parseSizeBytes(min) || sizeBytes > parseSizeBytes(max)) {
            throw keyError(key, "needs a size from " + min + " to " + max);
        }
        return sizeBytes;
    }

    /** Returns the number of bytes, or null if the text is not a size. */
    private static Long parseSizeBytes(String text) {
        Matcher matcher = SIZE.matcher(text);
        return matcher.matches()
                ? (Long) (Long.parseLong(matcher.group(1)) << SHIFT_BY_UNIT.get(matcher.group(2)))
                : null;
    }

    public long getLong(String key, long defaultValue, long min, long max) {
        Object value = findValue(key);
        if (value != null && !(value instanceof Long)) {
            throw keyError(key, "needs a whole number");
        }
        long number = value == null ? defaultValue : (Long) value;
        if (number < min || number > max) {
            throw keyError(key, "needs a whole number from " + min + " to " + max);
        }
        return number;
    }

    public double getDouble(String key, double defaultValue, double min, double max) {
        Object value = findValue(key);
        if (value != null && !(value instanceof Number)) {
            throw keyError(key, "needs a number");
        }
        double number = value == null ? defaultValue : ((Number) value).doubleValue();
        if (!(number >= min && number <= max)) {
            throw keyError(key, "needs a number from " + min + " to " + max);
        }
        return number;
    }

    public boolean getBoolean(String key, boolean defaultValue) {
        Object value = findValue(key);
        if (value != null && !(value instanceof Boolean)) {
            throw keyError(key, "needs true or false");
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /**
     * Returns an enum constant, written in lower case with hyphens for underscores.
     *
     * @param defaultValue the default; null if the key is required
     */
    public <E extends Enum<E>> E getEnum(String key, Class<E> type, E defaultValue) {
        String value = getString(key, null);
        List<String> words = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            String word = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
            words.add(word);
            if (word.equals(value)) {
                return constant;
            }
        }
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        throw value == null
                ? missingKeyError(key)
                : keyError(key, "needs one of " + String.join(", ", words));
    }

    /**
     * Returns a nested table. If there is none, the section is empty and {@link #isPresent} returns
     * false.
     */
    public TomlSection getSection(String key) {
        return subsections.computeIfAbsent(
                key,
                k -> {
                    Object value = findValue(k);
                    if (value != null && !(value instanceof TomlTable)) {
                        throw keyError(k, "needs to be a table");
                    }
                    return new TomlSection(fileName, path + "." + k, (TomlTable) value);
                });
    }

    /**
     * Returns the tables of an array of tables, written as {@code [[section.key]]}; an empty list
     * if the key is absent.
     */
    @SuppressWarnings("deprecation") // containsTables()
    public List<TomlSection> getSections(String key) {
        Object value = findValue(key);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array) || !array.containsTables() && !array.isEmpty()) {
            throw keyError(key, "needs to be a list of tables, [[" + path + "." + key + "]]");
        }
        List<TomlSection> sections = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            sections.add(
                    new TomlSection(fileName, path + "." + key + "[" + i + "]", array.getTable(i)));
        }
        listedSections.addAll(sections);
        return sections;
    }

    /** Returns the strings of an array; an empty list if the key is absent. */
    @SuppressWarnings("deprecation") // containsStrings()
    public List<String> getStrings(String key) {
        Object value = findValue(key);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array) || !array.containsStrings() && !array.isEmpty()) {
            throw keyError(key, "needs a list of quoted strings");
        }
        return array.toList().stream().map(String.class::cast).toList();
    }

    /**
     * Returns the exception to throw for a key with an invalid value.
     *
     * @param problem the text that follows the key in the message, such as "needs a path"
     */
    public InvalidInputException keyError(String key, String problem) {
        TomlPosition position =
                table == null || findValue(key) == null
                        ? null
                        : table.inputPositionOf(List.of(key));
        return new InvalidInputException(
                TomlFile.positionPrefix(fileName, position) + path + "." + key + " " + problem);
    }

    private InvalidInputException missingKeyError(String key) {
        return new InvalidInputException(fileName + ": " + path + "." + key + " is missing");
    }

    /** Returns the value of a key, or null if it is absent, and records the key as known. */
    private Object findValue(String key) {
        requestedKeys.add(key);
        return table == null ? null : table.get(List.of(key));
    }

    /**
     * Checks this table and the tables within it for keys that were never read.
     *
     * @throws InvalidInputException for the first such key
     */
    void rejectUnknownKeys() {
        if (table == null) {
            return;
        }
        for (String key : table.keySet()) {
            if (!requestedKeys.contains(key)) {
                throw new InvalidInputException(
                        TomlFile.positionPrefix(fileName, table.inputPositionOf(List.of(key)))
                                + "no such key: "
                                + path
                                + "."
                                + key
                                + SpellingSuggestion.suggestionSuffix(key, requestedKeys));
            }
        }
        subsections.values().forEach(TomlSection::rejectUnknownKeys);
        listedSections.forEach(TomlSection::rejectUnknownKeys);
    }
}
