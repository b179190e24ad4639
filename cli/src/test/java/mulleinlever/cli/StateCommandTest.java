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

class StateCommandTest {
    private static final long SECOND = 1_000_000_000L;

    @TempDir Path folder;
    private String out;
    private String err;

    private int run(Object... args) {
        StringWriter o = new StringWriter();
        StringWriter e = new StringWriter();
        CommandLine line =
                Commands.createCommandLine().setOut(new PrintWriter(o)).setErr(new PrintWriter(e));
        int code = line.execute(Arrays.stream(args).map(String::valueOf).toArray(String[]::new));
        out = o.toString();
        err = e.toString();
        return code;
    }

    @BeforeEach
    void writeThreeFiles() throws Exception {
        StateStore k = new StateStore(new FileSystemDirectory(folder), 9, 1 << 20, "n3", l -> {});
        k.openAsync().get();
        for (int i = 0; i < 3; i++) {
            while (!k.isIdle()) {
                Thread.sleep(1);
            }
            k.offer(kept(System.currentTimeMillis()));
        }
        k.close(SECOND);
    }

    private static StateSnapshot kept(long unixMs) {
        LearnedState.WeightedMean f = new LearnedState.WeightedMean(2.5, 4);
        PodEntry is = new PodEntry("s-1", "a", "m", 0, 42, PodEntry.State.READY, 1, 0);
        return new StateSnapshot(
                new StateSnapshot.Header("1.2.3", "n3", "m1", "a", 9, 0, unixMs, 41),
                new RolloutStatus(42, 1, RolloutStatus.Phase.ON_TRIAL, 0.25, 0),
                List.of(
                        new StateSnapshot.PodSnapshot(
                                "10.0.0.1:6543", new LearnedState.PodStats(is, f, f, 3))),
                List.of(
                        new LearnedState.ConnectionStats(f, f),
                                new LearnedState.RouteStats(
                                        "get", 42, new LearnedState.WeightedMean(5e6, 3), f),
                        new LearnedState.DetectorBaseline(42, "", true, 0.2, 0.05, 50),
                                new LearnedState.KeyBuild(77, 42)));
    }

    @Test
    void showPrintsAllSavedState() throws Exception {
        assertEquals(0, run("state", "show", folder));
        for (String part :
                List.of(
                        "sidecar n3, zone a",
                        "number 3, captured 20",
                        " s ago",
                        "build 42 stage 1 ON_TRIAL",
                        "2.50 of 4.0",
                        "5.0 of 3.0",
                        "10.0.0.1:6543",
                        "1 keys that can't go back")) {
            assertTrue(out.contains(part), part + " in " + out);
        }
        assertEquals(0, run("state", "show", "--json", folder.resolve(StateStore.fileName(2))));
        JsonNode all = new ObjectMapper().readTree(out);
        assertEquals(2, all.at("/head/sequence").asInt());
        assertEquals("10.0.0.1:6543", all.at("/pods/0/address").asText());
        assertEquals(3, all.at("/pods/0/learned/strikes").asInt());
        assertEquals(77, all.at("/keys/0/key").asInt());
        assertEquals(2.5, all.at("/links/0/refused/mean").asDouble());
        assertEquals("ON_TRIAL", all.at("/news/phase").asText());
        assertEquals(0.2, all.at("/baselines/0/mean").asDouble());
        assertEquals(5e6, all.at("/routes/0/times/mean").asDouble());
    }

    @Test
    void checkReportsEachFaultByExitCode() throws Exception {
        Path sound = folder.resolve(StateStore.fileName(1));
        byte[] bytes = Files.readAllBytes(sound);
        assertEquals(0, run("state", "check", sound, folder.resolve(StateStore.fileName(3))));
        assertTrue(out.contains("state-000000000001.mls: sound, number 1 of n3, 1 pods"), out);
        assertEquals(3, run("state", "check", folder.resolve("none")));
        assertEquals(
                4, run("state", "check", Files.writeString(folder.resolve("x"), "hello, world")));
        byte[] newer = bytes.clone();
        newer[11]++;
        assertEquals(5, run("state", "check", sound, Files.write(folder.resolve("x"), newer)));
        assertEquals(folder + "/x: at byte 8: format 2, and we know up to 1\n", err);
        assertEquals(
                6,
                run(
                        "state",
                        "check",
                        Files.write(folder.resolve("x"), Arrays.copyOf(bytes, 99)),
                        sound));
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
        Files.writeString(folder.resolve(StateStore.fileName(4)), "not whole");
        Files.writeString(folder.resolve(StateStore.fileName(5) + ".tmp"), "unfinished");
        Files.writeString(folder.resolve("notes.tmp"), "not ours");
        assertEquals(0, run("state", "prune", "--dry-run", folder));
        assertEquals(4, out.lines().filter(l -> l.startsWith("would delete state-")).count());
        assertEquals(0, run("state", "prune", "--keep", 2, folder));
        assertEquals(
                List.of("lock", "notes.tmp", StateStore.fileName(2), StateStore.fileName(3)),
                new FileSystemDirectory(folder).list());
        try (var lock = new FileSystemDirectory(folder).tryLock(StateStore.LOCK_FILE_NAME)) {
            assertEquals(1, run("state", "prune", folder));
            assertTrue(err.contains("a sidecar that runs holds it") && lock != null, err);
        }
        assertEquals(1, run("state", "prune", folder.resolve("none")));
        assertEquals(folder.resolve("none") + ": no such file or folder\n", err);
        assertEquals(2, run("state", "prune", "--keep", -1, folder));
        assertEquals(2, run("state"));
    }

    @Test
    void showOfFolderReportsSkippedFiles() throws Exception {
        Files.writeString(folder.resolve(StateStore.fileName(4)), "not whole");
        assertEquals(0, run("state", "show", folder));
        assertEquals(folder + "/state-000000000004.mls: at byte 0: not a file of state\n", err);
        assertEquals(3, run("state", "show", Files.createDirectory(folder.resolve("empty"))));
    }
}
