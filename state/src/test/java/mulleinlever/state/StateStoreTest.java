package mulleinlever.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import mulleinlever.disk.Directory;
import mulleinlever.disk.FaultInjectingDirectory;
import mulleinlever.disk.FaultInjectingDirectory.Fault;
import mulleinlever.disk.FileSystemDirectory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that the store survives crashes, failing and hanging disks, and other writers, by injecting
 * faults into the directory.
 */
@Timeout(60)
class StateStoreTest {
    private static final long SECOND_NS = 1_000_000_000L;
    private static final long MAX_FILE_BYTES = 1 << 20;

    private final List<String> log = new CopyOnWriteArrayList<>();
    @TempDir Path tempDir;

    /** Returns a store that retains two files. */
    private StateStore newStore(Directory directory) {
        return new StateStore(directory, 2, MAX_FILE_BYTES, "n3", log::add);
    }

    private static StateSnapshot snapshot(long unixMs) {
        StateSnapshot sample = SampleSnapshots.snapshot(unixMs, 5);
        return new StateSnapshot(
                new StateSnapshot.Header("w", "n3", "m", "a", 1, 0, unixMs, 41),
                sample.rolloutStatus(),
                sample.pods(),
                sample.learnedValues());
    }

    /**
     * Offers one snapshot for each capture time from {@code firstUnixMs} to {@code endUnixMs},
     * exclusive, and waits after each until it has been written or has failed.
     */
    private static void writeSnapshots(StateStore store, int firstUnixMs, int endUnixMs)
            throws Exception {
        for (int unixMs = firstUnixMs; unixMs < endUnixMs; unixMs++) {
            assertTrue(store.offer(snapshot(unixMs)));
            store.awaitPendingWrites();
        }
    }

    private StateStore.LoadResult readNewest(Directory directory) throws IOException {
        return StateStore.readNewest(directory, MAX_FILE_BYTES, "n3");
    }

    @Test
    void loadsNewestAndPrunesOlderFiles() throws Exception {
        FaultInjectingDirectory directory = new FaultInjectingDirectory(1);
        StateStore store = newStore(directory);
        assertNull(store.awaitLoad(store.openAsync(), SECOND_NS).snapshot());
        writeSnapshots(store, 1, 6);
        store.close(SECOND_NS);
        assertEquals(List.of("state-000000000004.mls", "state-000000000005.mls"), directory.list());
        StateStore.LoadResult loaded = newStore(directory).openAsync().get();
        assertEquals(snapshot(5).withSequence(5), loaded.snapshot());
        assertEquals(List.of(), log);
    }

    /**
     * Crashes at each disk access in turn, with 40 random choices of the unforced data that
     * survives. Guards against a rename or a deletion that takes effect before the data it relies
     * on has been forced.
     */
    @Test
    void crashAtAnyCallLeavesLastForcedOrNewerFileWhole() throws Exception {
        int callCount = 0;
        FaultInjectingDirectory withoutFaults = new FaultInjectingDirectory(0);
        StateStore countedStore = newStore(withoutFaults);
        countedStore.openAsync().get();
        writeSnapshots(countedStore, 1, 5);
        callCount = withoutFaults.callCount();
        assertTrue(callCount > 30);
        int newerThanForcedCount = 0;
        for (int call = 0; call < callCount; call++) {
            FaultInjectingDirectory directory = new FaultInjectingDirectory(call);
            directory.injectFault(Fault.CRASH, call);
            StateStore store = newStore(directory);
            int lastForced = 0;
            store.openAsync();
            for (int i = 1; i < 5 && !directory.hasCrashed(); i++) {
                store.offer(snapshot(i));
                store.awaitPendingWrites();
                lastForced = directory.hasCrashed() ? lastForced : i;
            }
            assertTrue(directory.hasCrashed());
            for (int seed = 0; seed < 40; seed++) {
                FaultInjectingDirectory afterCrash = directory.copyAfterCrash(seed);
                StateStore.LoadResult loaded = readNewest(afterCrash);
                long loadedUnixMs =
                        loaded.snapshot() == null ? 0 : loaded.snapshot().header().unixMs();
                assertTrue(
                        loadedUnixMs >= lastForced && loadedUnixMs <= lastForced + 1,
                        "call " + call + ": " + loadedUnixMs + " after " + lastForced);
                newerThanForcedCount += loadedUnixMs > lastForced ? 1 : 0;
                if (loadedUnixMs > 0) {
                    assertEquals(
                            snapshot(loadedUnixMs).withSequence(loadedUnixMs), loaded.snapshot());
                }
                // Files left by the crash do not disturb the next store, which removes temporary
                // ones.
                StateStore nextStore = newStore(afterCrash);
                nextStore.openAsync().get();
                nextStore.offer(snapshot(9));
                nextStore.awaitPendingWrites();
                assertEquals(9, readNewest(afterCrash).snapshot().header().unixMs());
                assertTrue(afterCrash.list().stream().noneMatch(n -> n.endsWith(".tmp")));
            }
        }
        assertTrue(newerThanForcedCount > 0);
    }

    @Test
    void failedCallLosesAtMostOneWrite() throws Exception {
        for (Fault fault : List.of(Fault.IO_ERROR, Fault.NO_SPACE, Fault.TORN_WRITE)) {
            for (int call = 0; call < 30; call++) {
                FaultInjectingDirectory directory = new FaultInjectingDirectory(call);
                directory.injectFault(fault, call);
                StateStore store = newStore(directory);
                store.openAsync().get();
                writeSnapshots(store, 1, 5);
                long loadedUnixMs =
                        readNewest(directory.copyAfterCrash(1)).snapshot().header().unixMs();
                assertTrue(loadedUnixMs >= 3, fault + " at call " + call + ": " + loadedUnixMs);
                store.close(SECOND_NS);
            }
        }
        assertTrue(log.stream().anyMatch(line -> line.contains("No space left on device")));
        assertTrue(
                log.stream()
                        .anyMatch(
                                line ->
                                        line.startsWith(
                                                "snapshots are written again, the last one as state-")));
    }

    @Test
    void hungDiskNeverBlocksCaller() throws Exception {
        FaultInjectingDirectory directory = new FaultInjectingDirectory(1);
        StateStore store = newStore(directory);
        store.openAsync().get();
        writeSnapshots(store, 1, 2);
        directory.blockCalls();
        long startNs = System.nanoTime();
        int acceptedCount = 0;
        for (int i = 2; i < 100; i++) {
            acceptedCount += store.offer(snapshot(i)) ? 1 : 0;
        }
        assertTrue(acceptedCount <= 2, acceptedCount + " accepted");
        assertNull(newStore(directory).awaitLoad(newStore(directory).openAsync(), SECOND_NS / 50));
        assertTrue(log.get(0).endsWith("took longer than 20 ms"), log.toString());
        store.close(SECOND_NS / 20);
        assertTrue(log.get(1).startsWith("the last write was not done"), log.toString());
        assertTrue(System.nanoTime() - startNs < 5 * SECOND_NS);
        directory.unblockCalls();
    }

    @Test
    void secondStoreInSameDirectoryIsDisabled() throws Exception {
        for (Directory directory :
                List.of(new FaultInjectingDirectory(1), new FileSystemDirectory(tempDir))) {
            StateStore first = newStore(directory);
            first.openAsync().get();
            writeSnapshots(first, 1, 2);
            StateStore second = newStore(directory);
            assertNull(second.openAsync().get());
            writeSnapshots(second, 5, 6);
            assertEquals(1, readNewest(directory).snapshot().header().unixMs());
            assertEquals("off: another sidecar holds " + directory, log.get(0));
            first.close(SECOND_NS);
            StateStore third = newStore(directory);
            assertNotNull(third.openAsync().get().snapshot());
            third.close(SECOND_NS);
            second.close(SECOND_NS);
            log.clear();
        }
    }

    @Test
    void stopsWritingWhenAnotherWriterIsDetected() throws Exception {
        FaultInjectingDirectory directory = new FaultInjectingDirectory(1);
        StateStore store = newStore(directory);
        store.openAsync().get();
        writeSnapshots(store, 1, 3);
        directory.addForcedFile(
                StateStore.fileName(3), StateFileFormat.encode(snapshot(3).withSequence(3)));
        writeSnapshots(store, 4, 6);
        assertEquals(
                List.of(
                        "off: another sidecar writes to in-memory directory: state-000000000003.mls"),
                log);
        assertEquals(3, readNewest(directory).snapshot().header().unixMs());
    }

    @Test
    void skipsInvalidAndForeignFiles() throws Exception {
        FaultInjectingDirectory directory = new FaultInjectingDirectory(1);
        directory.addForcedFile(
                StateStore.fileName(1), StateFileFormat.encode(snapshot(1).withSequence(1)));
        byte[] corrupt = StateFileFormat.encode(snapshot(2));
        corrupt[corrupt.length / 2] ^= 1;
        directory.addForcedFile(StateStore.fileName(2), corrupt);
        StateSnapshot foreign = snapshot(3);
        directory.addForcedFile(
                StateStore.fileName(3),
                StateFileFormat.encode(
                        new StateSnapshot(
                                new StateSnapshot.Header("w", "n4", "m", "a", 1, 3, 3, 1),
                                foreign.rolloutStatus(),
                                foreign.pods(),
                                foreign.learnedValues())));
        directory.addForcedFile(StateStore.fileName(4), new byte[(int) MAX_FILE_BYTES + 1]);
        directory.addForcedFile(StateStore.fileName(5), new byte[0]);
        byte[] newerFormat = StateFileFormat.encode(snapshot(6));
        newerFormat[11] = 2;
        directory.addForcedFile(StateStore.fileName(6), newerFormat);
        directory.addForcedFile("state-7.mls", new byte[3]);
        directory.addForcedFile("notes.txt", new byte[3]);
        StateStore.LoadResult loaded = readNewest(directory);
        assertEquals(StateStore.fileName(1), loaded.fileName());
        assertEquals(5, loaded.notes().size());
        assertTrue(
                loaded.notes().get(0).contains("format 2, and we know up to 1"),
                loaded.notes().get(0));
        assertTrue(
                loaded.notes().get(3).endsWith("belongs to n4, not to n3"), loaded.notes().get(3));
        // The next file gets a higher number than all of them.
        StateStore store = newStore(directory);
        store.openAsync().get();
        writeSnapshots(store, 7, 8);
        assertEquals(StateStore.fileName(7), readNewest(directory).fileName());
    }

    @Test
    void logsMissingDirectoryOnce() throws Exception {
        Path file = Files.writeString(tempDir.resolve("file"), "x");
        StateStore store = newStore(new FileSystemDirectory(file));
        assertNull(store.openAsync().get());
        writeSnapshots(store, 1, 4);
        assertEquals(2, log.size(), log.toString());
        assertTrue(
                log.get(0).startsWith("no state restored: ")
                        && log.get(1).startsWith("snapshot not written: "),
                log.toString());
        store.close(SECOND_NS);
        log.clear();
        Path removedDirectory = Files.createDirectory(tempDir.resolve("gone"));
        StateStore otherStore = newStore(new FileSystemDirectory(removedDirectory));
        otherStore.openAsync().get();
        writeSnapshots(otherStore, 1, 2);
        for (String name : new FileSystemDirectory(removedDirectory).list()) {
            Files.delete(removedDirectory.resolve(name));
        }
        Files.delete(removedDirectory);
        writeSnapshots(otherStore, 2, 5);
        assertEquals(1, log.size(), log.toString());
        Files.createDirectory(removedDirectory);
        writeSnapshots(otherStore, 5, 6);
        assertEquals(
                5,
                readNewest(new FileSystemDirectory(removedDirectory)).snapshot().header().unixMs());
        assertTrue(log.get(1).startsWith("snapshots are written again"), log.toString());
        otherStore.close(SECOND_NS);
    }

    @Test
    void doesNotWriteSnapshotAboveMaxBytes() throws Exception {
        FaultInjectingDirectory directory = new FaultInjectingDirectory(1);
        StateStore store = new StateStore(directory, 2, 3000, "n3", log::add);
        store.openAsync().get(1, TimeUnit.SECONDS);
        store.offer(snapshot(1));
        store.awaitPendingWrites();
        assertEquals(List.of(), directory.list());
        assertTrue(
                log.get(0)
                        .matches("snapshot not written: \\d+ bytes, more than the maximum of 3000"),
                log.toString());
        assertFalse(log.size() > 1);
    }
}
