package mulleinlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import mulleinlever.RolloutStatus;
import mulleinlever.disk.FileSystemDirectory;
import mulleinlever.state.StateSnapshot;
import mulleinlever.state.StateStore;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/**
 * Checks the output and exit codes of the state commands. Guards against a damaged file that is
 * taken for an intact one, and against pruning files that are intact, foreign or in use.
 */
class StateCommandTest {
    private static final long SECOND_NS = 1_000_000_000L;

    @TempDir Path folder;
    private String stdout;
    private String stderr;

    private int run(Object... args) {
        StringWriter outWriter = new StringWriter();
        StringWriter errWriter = new StringWriter();
        CommandLine commandLine =
                Commands.createCommandLine()
                        .setOut(new PrintWriter(outWriter))
                        .setErr(new PrintWriter(errWriter));
        int exitCode =
                commandLine.execute(
                        Arrays.stream(args).map(String::valueOf).toArray(String[]::new));
        stdout = outWriter.toString();
        stderr = errWriter.toString();
        return exitCode;
    }

    @BeforeEach
    void writeThreeFiles() throws Exception {
        StateStore store =
                new StateStore(new FileSystemDirectory(folder), 9, 1 << 20, "n3", l -> {});
        store.openAsync().get();
        for (int i = 0; i < 3; i++) {
            while (!store.isIdle()) {
                Thread.sleep(1);
            }
            store.offer(snapshot(System.currentTimeMillis()));
        }
        store.close(SECOND_NS);
    }

    private static StateSnapshot snapshot(long unixMs) {
        LearnedState.WeightedMean mean = new LearnedState.WeightedMean(2.5, 4);
        PodEntry pod = new PodEntry("s-1", "a", "m", 0, 42, PodEntry.State.READY, 1, 0);
        return new StateSnapshot(
                new StateSnapshot.Header("1.2.3", "n3", "m1", "a", 9, 0, unixMs, 41),
                new RolloutStatus(42, 1, RolloutStatus.Phase.ON_TRIAL, 0.25, 0),
                List.of(
                        new StateSnapshot.PodSnapshot(
                                "10.0.0.1:6543", new LearnedState.PodStats(pod, mean, mean, 3))),
                List.of(
                        new LearnedState.ConnectionStats(mean, mean),
                                new LearnedState.RouteStats(
                                        "get", 42, new LearnedState.WeightedMean(5e6, 3), mean),
                        new LearnedState.DetectorBaseline(42, "", true, 0.2, 0.05, 50),
                                new LearnedState.KeyBuild(77, 42)));
    }

    @Test
    void showPrintsAllSavedState() throws Exception {
        assertEquals(0, run("state", "show", folder));
        for (String part :
                List.of(
                        "sidecar n3, zone a",
                        "sequence number 3, captured 20",
                        " s ago",
                        "build 42 stage 1 ON_TRIAL",
                        "2.50 of 4.0",
                        "5.0 of 3.0",
                        "10.0.0.1:6543",
                        "1 one-way keys")) {
            assertTrue(stdout.contains(part), part + " in " + stdout);
        }
        assertEquals(0, run("state", "show", "--json", folder.resolve(StateStore.fileName(2))));
        JsonNode json = new ObjectMapper().readTree(stdout);
        assertEquals(2, json.at("/head/sequence").asInt());
        assertEquals("10.0.0.1:6543", json.at("/pods/0/address").asText());
        assertEquals(3, json.at("/pods/0/learned/strikes").asInt());
        assertEquals(77, json.at("/keys/0/key").asInt());
        assertEquals(2.5, json.at("/links/0/refused/mean").asDouble());
        assertEquals("ON_TRIAL", json.at("/news/phase").asText());
        assertEquals(0.2, json.at("/baselines/0/mean").asDouble());
        assertEquals(5e6, json.at("/routes/0/times/mean").asDouble());
    }

    @Test
    void checkReportsEachFaultByExitCode() throws Exception {
        Path intact = folder.resolve(StateStore.fileName(1));
        byte[] bytes = Files.readAllBytes(intact);
        assertEquals(0, run("state", "check", intact, folder.resolve(StateStore.fileName(3))));
        assertTrue(
                stdout.contains("state-000000000001.mls: sound, number 1 of n3, 1 pods"), stdout);
        assertEquals(3, run("state", "check", folder.resolve("none")));
        assertEquals(
                4, run("state", "check", Files.writeString(folder.resolve("x"), "hello, world")));
        byte[] newer = bytes.clone();
        newer[11]++;
        assertEquals(5, run("state", "check", intact, Files.write(folder.resolve("x"), newer)));
        assertEquals(folder + "/x: at byte 8: format 2, and we know up to 1\n", stderr);
        assertEquals(
                6,
                run(
                        "state",
                        "check",
                        Files.write(folder.resolve("x"), Arrays.copyOf(bytes, 99)),
                        intact));
        byte[] corrupt = bytes.clone();
        corrupt[500] ^= 1;
        assertEquals(
                7,
                run(
                        "state",
                        "check",
                        Files.write(folder.resolve("x"), corrupt),
                        folder.resolve("none")));
        assertEquals(7, run("state", "show", folder.resolve("x")));
    }

    @Test
    void pruneKeepsNewestIntactFiles() throws Exception {
        Files.writeString(folder.resolve(StateStore.fileName(4)), "damaged");
        Files.writeString(folder.resolve(StateStore.fileName(5) + ".tmp"), "unfinished");
        Files.writeString(folder.resolve("notes.tmp"), "foreign");
        assertEquals(0, run("state", "prune", "--dry-run", folder));
        assertEquals(4, stdout.lines().filter(l -> l.startsWith("would delete state-")).count());
        assertEquals(0, run("state", "prune", "--keep", 2, folder));
        assertEquals(
                List.of("lock", "notes.tmp", StateStore.fileName(2), StateStore.fileName(3)),
                new FileSystemDirectory(folder).list());
        try (var lock = new FileSystemDirectory(folder).tryLock(StateStore.LOCK_FILE_NAME)) {
            assertEquals(1, run("state", "prune", folder));
            assertTrue(
                    stderr.contains("in use by a running sidecar; nothing was deleted")
                            && lock != null,
                    stderr);
        }
        assertEquals(1, run("state", "prune", folder.resolve("none")));
        assertEquals(folder.resolve("none") + ": no such file or folder\n", stderr);
        assertEquals(2, run("state", "prune", "--keep", -1, folder));
        assertEquals(2, run("state"));
    }

    @Test
    void showOfFolderReportsSkippedFiles() throws Exception {
        Files.writeString(folder.resolve(StateStore.fileName(4)), "damaged");
        assertEquals(0, run("state", "show", folder));
        assertEquals(folder + "/state-000000000004.mls: at byte 0: not a file of state\n", stderr);
        assertEquals(3, run("state", "show", Files.createDirectory(folder.resolve("empty"))));
    }
}
