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

/** Tests the state that a sidecar process keeps across restarts, kills and disk faults. */
@Timeout(120)
class StatePersistenceTest extends SidecarTestBase {
    private static final long MAX_FILE_BYTES = 1 << 20;

    /**
     * The number of times that the process is killed; {@code -Dkills} sets more for a long run
     * outside of CI.
     */
    private static final int KILL_COUNT = Integer.getInteger("kills", 8);

    private Path stateFolder;

    StatePersistenceTest() throws IOException {}

    @BeforeEach
    void enableStatePersistence() throws IOException {
        stateFolder = folder.resolve("state");
        extraArguments.addAll(List.of("--with", writeSettings("").toString()));
    }

    private Path writeSettings(String extraLines) throws IOException {
        return Files.writeString(
                folder.resolve("state.toml"),
                "[state]\nfolder = '"
                        + stateFolder
                        + "'\nevery = '50ms'\nslice = '0.05ms'\nread_within = '1s'\n"
                        + extraLines);
    }

    private StateStore.LoadResult readNewest() throws IOException {
        return StateStore.readNewest(new FileSystemDirectory(stateFolder), MAX_FILE_BYTES, "n0");
    }

    private long newestSequence() {
        try {
            return StateStore.parseSequence(readNewest().fileName());
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
        // The first and the third pod are in the sidecar's own zone, which its reqs prefer.
        startPod((q, out) -> sendRow(out, "v"));
        startPod((q, out) -> sendRow(out, "v"));
        startPod(
                (q, out) -> {
                    Thread.sleep(60);
                    return sendRow(out, "v");
                });
        startSidecar();
        assertTrue(logText().contains("state: no state restored: no valid file in"), logText());
        try (Client client = new Client()) {
            for (int i = 0; i < 30; i++) {
                assertEquals("TDvC", client.execute(selectSql("1", 800)));
            }
        }
        stop();
        // The last snapshot was written at the shutdown, so the next start finds no older one.
        long lastWriteUnixMs = readNewest().snapshot().header().unixMs();
        assertTrue(System.currentTimeMillis() - lastWriteUnixMs < 3_000);
        startSidecar();
        String restoreLine =
                logText()
                        .lines()
                        .filter(l -> l.contains("state: state-"))
                        .findFirst()
                        .orElseThrow();
        assertTrue(
                restoreLine.matches(
                        ".*state-\\d{12}\\.mls, \\d\\.\\d+ s old: .*[23] pods, 1 routes.*"),
                restoreLine);
        // A pod that listens at another address now is not the one that was slow.
        kill();
        pods.set(2, new FakeServer((in, out) -> {}));
        startSidecar();
        restoreLine =
                logText()
                        .lines()
                        .filter(l -> l.contains("state: state-"))
                        .findFirst()
                        .orElseThrow();
        assertTrue(restoreLine.contains("1 pods at another address"), restoreLine);
    }

    @Test
    void restoresNewestCompleteFileAfterKillUnderLoad() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startPod((q, out) -> sendRow(out, "v"));
        SplittableRandom random = new SplittableRandom(6);
        long lastSequence = 0;
        for (int i = 0; i < KILL_COUNT; i++) {
            startSidecar();
            assertFalse(logText().contains("passed over"), logText());
            assertTrue(
                    lastSequence == 0
                            || logText().contains("state: " + StateStore.fileName(lastSequence)),
                    logText());
            AtomicInteger servedCount = new AtomicInteger();
            startDaemonThread(
                    () -> {
                        try (Client client = new Client()) {
                            while (true) {
                                servedCount.addAndGet(
                                        client.execute(selectSql("1", 800)).equals("TDvC") ? 1 : 0);
                            }
                        }
                    });
            long startSequence = newestSequence();
            awaitTrue(() -> newestSequence() > startSequence && servedCount.get() > 20);
            Thread.sleep(random.nextInt(150));
            long sequenceBeforeKill = newestSequence();
            kill();
            lastSequence = newestSequence();
            assertTrue(
                    lastSequence >= sequenceBeforeKill && sequenceBeforeKill > startSequence,
                    lastSequence
                            + " is the newest file, before the kill it was "
                            + sequenceBeforeKill);
        }
    }

    @Test
    void secondSidecarInSameFolderServesWithoutPersistence() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        Process first = process;
        try {
            startSidecar();
            assertTrue(
                    logText().contains("state: off: another sidecar holds " + stateFolder),
                    logText());
            try (Client client = new Client()) {
                assertEquals("TDvC", client.execute(selectSql("1", 800)));
            }
            stop();
        } finally {
            first.destroyForcibly().waitFor();
        }
    }

    @Test
    void hangingDiskFailsNoReqAndDelaysNeitherStartNorShutdown() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        Files.createDirectories(stateFolder);
        // Opening a pipe blocks until its other end is opened, which never happens here.
        createPipe(StateStore.fileName(40));
        startSidecar();
        assertTrue(logText().contains("took longer than 1000 ms"), logText());
        try (Client client = new Client()) {
            assertEquals("TDvC", client.execute(selectSql("1", 800)));
        }
        stop();
        Files.delete(stateFolder.resolve(StateStore.fileName(40)));
        startSidecar();
        long startSequence = newestSequence();
        for (long n = startSequence + 3; n < startSequence + 60; n++) {
            createPipe(StateStore.fileName(n) + ".tmp");
        }
        awaitTrue(() -> newestSequence() > startSequence);
        try (Client client = new Client()) {
            for (int i = 0; i < 100; i++) {
                assertEquals("TDvC", client.execute(selectSql("1", 800)));
                Thread.sleep(5);
            }
        }
        assertTrue(newestSequence() < startSequence + 60);
        stop();
        assertTrue(logText().contains("the last write was not done within 300 ms"), logText());
    }

    private void createPipe(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("mkfifo", stateFolder.resolve(name).toString())
                        .start()
                        .waitFor());
    }

    @Test
    void corruptFileIsSkippedForPreviousOne() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> newestSequence() >= 3);
        stop();
        long lastSequence = newestSequence();
        Path file = stateFolder.resolve(StateStore.fileName(lastSequence));
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 4;
        Files.write(file, bytes);
        startSidecar();
        assertTrue(
                logText()
                        .contains(
                                "passed over " + StateStore.fileName(lastSequence) + ": at byte "),
                logText());
        assertTrue(
                logText().contains("state: " + StateStore.fileName(lastSequence - 1)), logText());
    }

    @Test
    void configReloadsAndSnapshotsDoNotInterfere() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        startSidecar();
        for (int i = 0; i < 20; i++) {
            sendSighup();
            Thread.sleep(7);
        }
        long startSequence = newestSequence();
        awaitTrue(() -> newestSequence() > startSequence + 2);
        assertTrue(logText().contains("reload: discovery at"), logText());
        try (Client client = new Client()) {
            assertEquals("TDvC", client.execute(selectSql("1", 800)));
        }
    }

    @Test
    void invalidSettingsFailStartupWithLineAndColumn() throws Exception {
        startPod((q, out) -> sendRow(out, "v"));
        writeSettings("evry = '1s'\n");
        // Not by startSidecar(), which waits until the sidecar answers.
        var builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        ServeMain.class.getName(),
                        "serve",
                        "--with",
                        folder.resolve("state.toml").toString());
        port = 1;
        builder.environment().put("LB_CONFIG", writeConfig(256).toString());
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(folder.resolve("log").toFile())
                        .start();
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        assertTrue(
                logText().contains("state.toml:6:1: no such key: state.evry; did you mean every?"),
                logText());
    }
}
