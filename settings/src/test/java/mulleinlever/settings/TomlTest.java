package mulleinlever.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the defaults, bounds and error messages of the TOML settings. Guards against a misspelled
 * or repeated table or key that is ignored silently, and against messages that do not name the
 * place.
 */
class TomlTest {
    @TempDir Path folder;

    /** Parses a text in which "|" stands for a line break. */
    private static FeatureSettings parse(String text) {
        return FeatureSettings.fromToml(TomlFile.parse("x.toml", text.replace('|', '\n')));
    }

    @Test
    void absentTableDisablesFeatureAndAbsentKeysUseDefaults() {
        assertNull(parse("# nothing").stateSettings());
        FeatureSettings.StateSettings settings =
                parse("[state]|folder = '/var/x'|every = \"1.5s\"").stateSettings();
        assertEquals(
                new FeatureSettings.StateSettings(
                        Path.of("/var/x"),
                        1_500_000_000L,
                        0.2,
                        3,
                        64 << 20,
                        500_000_000,
                        300_000_000,
                        500_000),
                settings);
    }

    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '`',
            value = {
                "[stat]|folder = 'x', x.toml:1:1: no such table: stat; did you mean state?",
                "[quite_other], x.toml:1:1: no such table: quite_other",
                "[state]|  foldr = 'x', x.toml: state.folder is missing",
                "[state]|folder = 'x'|  evry = '1s', x.toml:3:3: no such key: state.evry; did you mean every?",
                "[state]|folder = 3, x.toml:2:1: state.folder needs a quoted string",
                "[state]|folder = 'x'|every = '10', x.toml:3:1: state.every needs a duration such as \"250ms\"",
                "[state]|folder = 'x'|every = '10ms', x.toml:3:1: state.every needs a duration from 50ms to 1h",
                "[state]|folder = 'x'|keep = 1, x.toml:3:1: state.keep needs a whole number from 2 to 100",
                "[state]|folder = 'x'|keep = 2.5, x.toml:3:1: state.keep needs a whole number",
                "[state]|folder = 'x'|jitter = nan, x.toml:3:1: state.jitter needs a number from 0.0 to 0.9",
                "[state]|folder = 'x'|most_bytes = '1 TB', x.toml:3:1: state.most_bytes needs a size such as",
                "state = 3, x.toml:1:1: state needs to be a table",
                "[state]|folder = 'x, x.toml:2:",
                "[state]|folder = 'x'|folder = 'y', x.toml:3:1: "
            })
    void errorsReportFileLineAndColumn(String text, String message) {
        InvalidInputException fault = assertThrows(InvalidInputException.class, () -> parse(text));
        assertTrue(fault.getMessage().startsWith(message), fault.getMessage());
        assertEquals(1, fault.getMessage().lines().count());
    }

    @Test
    void mergesFilesAndRejectsDuplicateTables() throws IOException {
        Path empty = Files.writeString(folder.resolve("empty.toml"), "");
        Path first = Files.writeString(folder.resolve("one.toml"), "[state]\nfolder = 'x'\n");
        Path second = Files.writeString(folder.resolve("two.toml"), "[state]\nfolder = 'y'\n");
        assertEquals(
                Path.of("x"), FeatureSettings.read(List.of(empty, first)).stateSettings().folder());
        InvalidInputException duplicate =
                assertThrows(
                        InvalidInputException.class,
                        () -> FeatureSettings.read(List.of(first, empty, second)));
        assertEquals(
                second + ": the table state is in " + first + " as well", duplicate.getMessage());
        Path missing = folder.resolve("gone.toml");
        assertEquals(
                missing + ": no such file",
                assertThrows(
                                InvalidInputException.class,
                                () -> FeatureSettings.read(List.of(missing)))
                        .getMessage());
        Path invalidUtf8 = Files.write(folder.resolve("bytes.toml"), new byte[] {'a', (byte) 0xff});
        assertEquals(
                invalidUtf8 + ": is not UTF-8",
                assertThrows(
                                InvalidInputException.class,
                                () -> FeatureSettings.read(List.of(invalidUtf8)))
                        .getMessage());
    }

    /** Returns the Levenshtein distance by recursion over the three possible first edits. */
    private static int recursiveDistance(String from, String to) {
        if (from.isEmpty() || to.isEmpty()) {
            return from.length() + to.length();
        }
        int substituted =
                recursiveDistance(from.substring(1), to.substring(1))
                        + (from.charAt(0) == to.charAt(0) ? 0 : 1);
        return Math.min(
                substituted,
                1
                        + Math.min(
                                recursiveDistance(from.substring(1), to),
                                recursiveDistance(from, to.substring(1))));
    }

    @Test
    void levenshteinDistanceMatchesRecursiveModel() {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 300; i++) {
            String[] words = new String[2];
            for (int w = 0; w < 2; w++) {
                words[w] =
                        random.ints(random.nextInt(6), 'a', 'd')
                                .collect(
                                        StringBuilder::new,
                                        StringBuilder::appendCodePoint,
                                        StringBuilder::append)
                                .toString();
            }
            assertEquals(
                    recursiveDistance(words[0], words[1]),
                    SpellingSuggestion.levenshteinDistance(words[0], words[1]));
        }
    }
}
