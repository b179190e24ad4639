package mulleinlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs the program in a process of its own and checks its standard output, standard error and exit
 * code. Guards against errors on standard output and against changes of command lines in use.
 */
class MainTest {
    @TempDir Path folder;

    private record ProcessResult(int exitCode, String stdout, String stderr) {}

    private ProcessResult run(String input, String... args)
            throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "mulleinlever.cli.Main"));
        command.addAll(Arrays.asList(args));
        Path in = Files.writeString(folder.resolve("in"), input);
        var builder =
                new ProcessBuilder(command)
                        .redirectInput(in.toFile())
                        .redirectOutput(folder.resolve("out").toFile())
                        .redirectError(folder.resolve("err").toFile());
        builder.environment().remove("LB_CONFIG");
        Process process = builder.start();
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        return new ProcessResult(
                process.exitValue(),
                Files.readString(folder.resolve("out"), StandardCharsets.UTF_8),
                Files.readString(folder.resolve("err"), StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @CsvSource({
        "--help, 0, Usage: mulleinlever",
        "serve --help, 0, Usage: mulleinlever serve",
        "drill --help, 0, Usage: mulleinlever drill",
        "'', 2, a command is missing",
        "sreve, 2, serve",
        "drill x, 2, Usage: mulleinlever drill",
        "serve --wiht x, 2, --with",
        "serve --with gone.toml, 2, config: LB_CONFIG needs"
    })
    void printsHelpToStdoutAndErrorsToStderr(String arguments, int exitCode, String expectedText)
            throws Exception {
        ProcessResult result = run("", arguments.isEmpty() ? new String[0] : arguments.split(" "));
        assertEquals(exitCode, result.exitCode, result.stderr);
        String output = exitCode == 0 ? result.stdout : result.stderr;
        assertTrue(output.contains(expectedText), output);
        assertEquals("", exitCode == 0 ? result.stderr : result.stdout);
    }

    @Test
    void versionMatchesBuild() throws Exception {
        ProcessResult result = run("", "--version");
        assertTrue(
                result.stdout.matches("mulleinlever \\d+\\.\\d+\\.\\d+(-SNAPSHOT)?\\R"),
                result.stdout);
    }

    @Test
    void existingCommandLinesKeepWorking() throws Exception {
        ProcessResult drill = run("TICK\ttimeNs=1\tframe=7\nEND\n", "drill");
        assertEquals(new ProcessResult(0, "EOR\tframe=7\n", ""), drill);
        ProcessResult invalid = run("HELLO\n", "drill");
        assertEquals(2, invalid.exitCode);
        assertEquals("line 1: expected TICK, found HELLO\n", invalid.stderr);
        ProcessResult serve = run("", "serve");
        assertEquals(2, serve.exitCode);
        assertTrue(
                serve.stderr.endsWith("config: LB_CONFIG needs the path of the configuration\n"),
                serve.stderr);
    }
}
