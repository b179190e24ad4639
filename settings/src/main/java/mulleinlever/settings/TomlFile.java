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
    private static final long LONGEST = 1 << 20;

    private final String name;
    private final TomlTable root;
    private final Map<String, TomlSection> asked = new LinkedHashMap<>();

    private TomlFile(String name, TomlTable root) {
        this.name = name;
        this.root = root;
    }

    /**
     * Reads a file whole.
     *
     * @throws InvalidInputException where it can't be read or is no TOML
     */
    public static TomlFile read(Path file) {
        try {
            if (Files.size(file) > LONGEST) {
                throw new InvalidInputException(file + ": is longer than " + LONGEST + " bytes");
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
     * @param name what faults name it
     * @throws InvalidInputException where it is no TOML; of several errors the first is told
     */
    public static TomlFile parse(String name, String text) {
        TomlParseResult result = Toml.parse(text);
        if (result.hasErrors()) {
            TomlParseError e = result.errors().get(0);
            throw new InvalidInputException(
                    positionPrefix(name, e.position())
                            + e.getMessage().lines().findFirst().orElse("no TOML"));
        }
        return new TomlFile(name, result);
    }

    /**
     * A table at the top of the file; where there is none it is empty, and says that it is absent.
     */
    public TomlSection getSection(String key) {
        return asked.computeIfAbsent(
                key,
                k -> {
                    Object value = root.get(List.of(k));
                    if (value != null && !(value instanceof TomlTable)) {
                        throw new InvalidInputException(
                                positionPrefix(name, root.inputPositionOf(List.of(k)))
                                        + k
                                        + " needs to be a table");
                    }
                    return new TomlSection(name, k, (TomlTable) value);
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
            if (!asked.containsKey(key)) {
                throw new InvalidInputException(
                        positionPrefix(name, root.inputPositionOf(List.of(key)))
                                + "no such table: "
                                + key
                                + SpellingSuggestion.suggestionSuffix(key, asked.keySet()));
            }
        }
        asked.values().forEach(TomlSection::rejectUnknownKeys);
    }

    static String positionPrefix(String name, TomlPosition p) {
        return p == null ? name + ": " : name + ":" + p.line() + ":" + p.column() + ": ";
    }
}
