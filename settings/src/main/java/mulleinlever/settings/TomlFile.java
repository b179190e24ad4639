package mulleinlever.settings;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A settings file of this project in TOML. Callers get tables by name and values by key and type,
 * and finally call {@link #rejectUnknownKeys}: a key that was never read is an error, since a
 * misspelled key would otherwise silently leave its setting at the default. The message of each
 * error is a single line with the file and, where known, line and column.
 */
public final class TomlFile {
    /**
     * The maximum size of a file. Real settings files are far smaller, and the parser needs several
     * times the file's size in memory.
     */
    private static final long MAX_FILE_BYTES = 1 << 20;

    private final String fileName;
    private final TomlTable root;
    private final Map<String, TomlSection> requestedSections = new LinkedHashMap<>();

    private TomlFile(String fileName, TomlTable root) {
        this.fileName = fileName;
        this.root = root;
    }

    /**
     * Reads and parses a file.
     *
     * @throws InvalidInputException if the file can't be read, is too long or is not valid TOML
     */
    public static TomlFile read(Path file) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new InvalidInputException(
                        file + ": is longer than " + MAX_FILE_BYTES + " bytes");
            }
            return parse(file.toString(), Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new InvalidInputException(file + ": no such file");
        } catch (MalformedInputException e) {
            throw new InvalidInputException(file + ": is not UTF-8");
        } catch (IOException e) {
            throw new InvalidInputException(file + ": can't be read: " + e.getMessage());
        }
    }

    /**
     * Parses a text.
     *
     * @param fileName the file's name for error messages
     * @throws InvalidInputException if the text is not valid TOML; the message holds the first
     *     error
     */
    public static TomlFile parse(String fileName, String text) {
        TomlParseResult result = Toml.parse(text);
        if (result.hasErrors()) {
            TomlParseError error = result.errors().get(0);
            throw new InvalidInputException(
                    positionPrefix(fileName, error.position())
                            + error.getMessage().lines().findFirst().orElse("not valid TOML"));
        }
        return new TomlFile(fileName, result);
    }

    /**
     * Returns a top-level table. If the file does not have it, the section is empty and {@link
     * TomlSection#isPresent} returns false.
     *
     * @throws InvalidInputException if the name is that of a plain value
     */
    public TomlSection getSection(String name) {
        return requestedSections.computeIfAbsent(
                name,
                k -> {
                    Object value = root.get(List.of(k));
                    if (value != null && !(value instanceof TomlTable)) {
                        throw new InvalidInputException(
                                positionPrefix(fileName, root.inputPositionOf(List.of(k)))
                                        + k
                                        + " needs to be a table");
                    }
                    return new TomlSection(fileName, k, (TomlTable) value);
                });
    }

    /**
     * Checks that the file has no other tables and keys than those that were read. To be called
     * after the last read.
     *
     * @throws InvalidInputException for the first table or key that was not read; the message
     *     suggests the closest known name
     */
    public void rejectUnknownKeys() {
        for (String key : root.keySet()) {
            if (!requestedSections.containsKey(key)) {
                throw new InvalidInputException(
                        positionPrefix(fileName, root.inputPositionOf(List.of(key)))
                                + "no such table: "
                                + key
                                + SpellingSuggestion.suggestionSuffix(
                                        key, requestedSections.keySet()));
            }
        }
        requestedSections.values().forEach(TomlSection::rejectUnknownKeys);
    }

    /**
     * Returns the start of an error message, such as "state.toml:6:1: ".
     *
     * @param position the position in the file; null if it is not known
     */
    static String positionPrefix(String fileName, TomlPosition position) {
        return position == null
                ? fileName + ": "
                : fileName + ":" + position.line() + ":" + position.column() + ": ";
    }
}
