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
 * A table of a {@link TomlFile}. Each getter names the key, what stands in for it where it is
 * absent, and its bounds; a value of another type or beyond its bounds is a {@link
 * InvalidInputException} with file, line and column.
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
    private static final Map<String, Integer> SHIFT_BY_UNIT =
            Map.of("B", 0, "KiB", 10, "MiB", 20, "GiB", 30);

    private final String fileName;
    private final String path;

    /** Null where the table is absent. */
    private final TomlTable table;

    private final Set<String> requestedKeys = new LinkedHashSet<>();
    private final Map<String, TomlSection> subsections = new LinkedHashMap<>();
    private final List<TomlSection> listedSections = new ArrayList<>();

    TomlSection(String fileName, String path, TomlTable table) {
        this.fileName = fileName;
        this.path = path;
        this.table = table;
    }

    /** Whether the file has this table, be it empty. */
    public boolean isPresent() {
        return table != null;
    }

    public boolean hasKey(String key) {
        return findValue(key) != null;
    }

    /** A text, which must be there. */
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
            throw keyError(key, "needs a text in quotes");
        }
        return value == null ? defaultValue : (String) value;
    }

    /** A path, which must be there; relative ones start from the process's folder. */
    public Path getPath(String key) {
        try {
            return Path.of(getString(key));
        } catch (InvalidPathException e) {
            throw keyError(key, "needs a path");
        }
    }

    /** A span of time such as "250ms", "10s", "5m", "12h" or "3d", in nanoseconds. */
    public long getDurationNs(String key, String defaultValue, String min, String max) {
        String text = getString(key, defaultValue);
        Long durationNs = text == null ? null : parseDurationNs(text);
        if (durationNs == null) {
            throw text == null
                    ? missingKeyError(key)
                    : keyError(
                            key,
                            "needs a time such as \"250ms\", \"10s\", \"5m\", \"12h\" or \"3d\"");
        }
        if (durationNs < parseDurationNs(min) || durationNs > parseDurationNs(max)) {
            throw keyError(key, "needs a time from " + min + " to " + max);
        }
        return durationNs;
    }

    private static Long parseDurationNs(String text) {
        Matcher matcher = DURATION.matcher(text);
        return matcher.matches()
                ? (Long)
                        Math.round(
                                Double.parseDouble(matcher.group(1))
                                        * NS_PER_UNIT.get(matcher.group(2)))
                : null;
    }

    /** A number of bytes such as "512KiB" or "64MiB". */
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

    /** One of an enum's words, in small letters, with - for _. */
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

    /** A table within this one; where there is none it is empty. */
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

    /** The tables of a list, such as those under [[section.key]]; none where it is absent. */
    @SuppressWarnings("deprecation") // the array's check of its element type
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

    /** The texts of a list; none where it is absent. */
    @SuppressWarnings("deprecation") // the array's check of its element type
    public List<String> getStrings(String key) {
        Object value = findValue(key);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array) || !array.containsStrings() && !array.isEmpty()) {
            throw keyError(key, "needs a list of texts in quotes");
        }
        return array.toList().stream().map(String.class::cast).toList();
    }

    /** The fault to throw for a key that is read but does not fit. */
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

    private Object findValue(String key) {
        requestedKeys.add(key);
        return table == null ? null : table.get(List.of(key));
    }

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
