package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import mulleinlever.disk.FileSystemDirectory;
import mulleinlever.state.StateStore;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What is kept over real restarts and real kills of a real process. */
@Timeout(120)
class StatePersistenceTest extends SidecarTestBase {
    private static final long MOST = 1 << 20;

    /** How often the process is killed; more for a long run, outside CI. */
    private static final int KILLS = Integer.getInteger("kills", 8);

    private Path state;

    StatePersistenceTest() throws IOException {}

    @BeforeEach
    void enableStatePersistence() throws IOException {
        state = folder.resolve("state");
        extraArguments.addAll(List.of("--with", settings("").toString()));
    }

    private Path settings(String more) throws IOException {
        return Files.writeString(
                folder.resolve("state.toml"),
                "[state]\nfolder = '"
                        + state
                        + "'\nevery = '50ms'\nslice = '0.05ms'\nread_within = '1s'\n"
                        + more);
    }

    private StateStore.LoadResult newest() throws IOException {
        return StateStore.readNewest(new FileSystemDirectory(state), MOST, "n0");
    }

    private long sequence() {
        try {
            return StateStore.parseSequence(newest().fileName());
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    private void kill() throws Exception {
        process.destroyForcibly().waitFor();
    }

    private void stop() throws Exception {
        process.destroy();
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
    }

    @Test
    void learnedStateIsRestoredAfterRestart() throws Exception {
        // The first and the third are in the sidecar's own zone, where its reqs go first.
        startPod((q, out) -> sendRow(out, "v"));
        startPod((q, out) -> sendRow(out, "v"));
        startPod(
                (q, out) -> {
                    Thread.sleep(60);
                    return sendRow(out, "v");
                });
        startSidecar();
        assertTrue(logText().contains("state: nothing taken: no whole file in"), logText());
        try (Client c = new Client()) {
            for (int i = 0; i < 30; i++) {
                assertEquals("TDvC", c.execute(selectSql("1", 800)));
            }
        }
        stop();
        // The last write came with the end: nothing older is what the next start finds.
        long last = newest().snapshot().head().unixMs();
        assertTrue(System.currentTimeMillis() - last < 3_000);
        startSidecar();
        String taken =
                logText()
                        .lines()
                        .filter(l -> l.contains("state: state-"))
                        .findFirst()
                        .orElseThrow();
        assertTrue(
                taken.matches(".*state-\\d{12}\\.mls, \\d\\.\\d+ s old: .*[23] pods, 1 routes.*"),
                taken);
        // A pod that listens elsewhere now is not the one that was slow.
        kill();
        pods.set(2, new FakeServer((in, out) -> {}));
        startSidecar();
        taken =
                logText()
                        .lines()
                        .filter(l -> l.contains("state: state-"))
                        .findFirst()
                        .orElseThrow();
        assertTrue(taken.contains("1 pods at another address"), taken);
    }

    @Test
    void restoresNewestCompleteFileAfterKillUnderLoad() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startPod((q, out) -> sendRow(out, "v"));
        SplittableRandom random = new SplittableRandom(6);
        long before = 0;
        for (int i = 0; i < KILLS; i++) {
            startSidecar();
            assertFalse(logText().contains("passed over"), logText());
            assertTrue(
                    before == 0 || logText().contains("state: " + StateStore.fileName(before)),
                    logText());
            AtomicInteger served = new AtomicInteger();
            startDaemonThread(
                    () -> {
                        try (Client c = new Client()) {
                            while (true) {
                                served.addAndGet(
                                        c.execute(selectSql("1", 800)).equals("TDvC") ? 1 : 0);
                            }
                        }
                    });
            long from = sequence();
            awaitTrue(() -> sequence() > from && served.get() > 20);
            Thread.sleep(random.nextInt(150));
            long seen = sequence();
            kill();
            before = sequence();
            assertTrue(before >= seen && seen > from, before + " after " + seen);
        }
    }

    @Test
    void secondSidecarInSameFolderServesWithoutPersistence() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        Process first = process;
        try {
            startSidecar();
            assertTrue(logText().contains("state: off: another sidecar holds " + state), logText());
            try (Client c = new Client()) {
                assertEquals("TDvC", c.execute(selectSql("1", 800)));
            }
            stop();
        } finally {
            first.destroyForcibly().waitFor();
        }
    }

    @Test
    void hangingDiskFailsNoReqAndDelaysNeitherStartNorShutdown() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        Files.createDirectories(state);
        // Whoever opens a pipe waits for its other end: for ever here.
        pipe(StateStore.fileName(40));
        startSidecar();
        assertTrue(logText().contains("took longer than 1000 ms"), logText());
        try (Client c = new Client()) {
            assertEquals("TDvC", c.execute(selectSql("1", 800)));
        }
        stop();
        Files.delete(state.resolve(StateStore.fileName(40)));
        startSidecar();
        long at = sequence();
        for (long n = at + 3; n < at + 60; n++) {
            pipe(StateStore.fileName(n) + ".tmp");
        }
        awaitTrue(() -> sequence() > at);
        try (Client c = new Client()) {
            for (int i = 0; i < 100; i++) {
                assertEquals("TDvC", c.execute(selectSql("1", 800)));
                Thread.sleep(5);
            }
        }
        assertTrue(sequence() < at + 60);
        stop();
        assertTrue(logText().contains("the last write was not done within 300 ms"), logText());
    }

    private void pipe(String name) throws Exception {
        assertEquals(
                0, new ProcessBuilder("mkfifo", state.resolve(name).toString()).start().waitFor());
    }

    @Test
    void corruptFileIsSkippedForPreviousOne() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> sequence() >= 3);
        stop();
        long last = sequence();
        Path file = state.resolve(StateStore.fileName(last));
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 4;
        Files.write(file, bytes);
        startSidecar();
        assertTrue(
                logText().contains("passed over " + StateStore.fileName(last) + ": at byte "),
                logText());
        assertTrue(logText().contains("state: " + StateStore.fileName(last - 1)), logText());
    }

    @Test
    void configReloadsAndSnapshotsDoNotInterfere() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        for (int i = 0; i < 20; i++) {
            sendHangup();
            Thread.sleep(7);
        }
        long at = sequence();
        awaitTrue(() -> sequence() > at + 2);
        assertTrue(logText().contains("reload: discovery at"), logText());
        try (Client c = new Client()) {
            assertEquals("TDvC", c.execute(selectSql("1", 800)));
        }
    }

    @Test
    void invalidSettingsFailStartupWithLineAndColumn() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        settings("evry = '1s'\n");
        // Not by startSidecar(), which waits for an answer.
        var b =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        ServeMain.class.getName(),
                        "serve",
                        "--with",
                        folder.resolve("state.toml").toString());
        port = 1;
        b.environment().put("LB_CONFIG", writeConfig(256).toString());
        process =
                b.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        assertTrue(
                logText().contains("state.toml:6:1: no such key: state.evry; did you mean every?"),
                logText());
    }
}
