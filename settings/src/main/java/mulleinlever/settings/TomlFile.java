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
 * One file of ours, in TOML. Its tables are asked for by name and their keys by type; what was
 * never asked for is a fault, since a misspelt key would else pass for its default. Every fault is
 * one line that names file, line and column.
 */
public final class TomlFile {
    /** No honest file of settings is longer; the parser would hold several times as much. */
    private static final long MAX_FILE_BYTES = 1 << 20;

    private final String fileName;
    private final TomlTable root;
    private final Map<String, TomlSection> requestedSections = new LinkedHashMap<>();

    private TomlFile(String fileName, TomlTable root) {
        this.fileName = fileName;
        this.root = root;
    }

    /**
     * Reads a file whole.
     *
     * @throws InvalidInputException where it can't be read or is no TOML
     */
    public static TomlFile read(Path file) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new InvalidInputException(
                        file + ": is longer than " + MAX_FILE_BYTES + " bytes");
            }
            return parse(file.toString(), Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new InvalidInputException(file + ": there is no such file");
        } catch (MalformedInputException e) {
            throw new InvalidInputException(file + ": is not UTF-8");
        } catch (IOException e) {
            throw new InvalidInputException(file + ": can't be read: " + e.getMessage());
        }
    }

    /**
     * Reads a text.
     *
     * @param fileName what faults name it
     * @throws InvalidInputException where it is no TOML; of several errors the first is told
     */
    public static TomlFile parse(String fileName, String text) {
        TomlParseResult result = Toml.parse(text);
        if (result.hasErrors()) {
            TomlParseError error = result.errors().get(0);
            throw new InvalidInputException(
                    positionPrefix(fileName, error.position())
                            + error.getMessage().lines().findFirst().orElse("no TOML"));
        }
        return new TomlFile(fileName, result);
    }

    /**
     * A table at the top of the file; where there is none it is empty, and says that it is absent.
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
     * To be called when all was asked for.
     *
     * @throws InvalidInputException at the first key that nothing asked for, with the nearest that
     *     something did
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

    static String positionPrefix(String fileName, TomlPosition position) {
        return position == null
                ? fileName + ": "
                : fileName + ":" + position.line() + ":" + position.column() + ": ";
    }
}
