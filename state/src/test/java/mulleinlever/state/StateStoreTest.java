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

@Timeout(60)
class StateStoreTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MOST = 1 << 20;

    private final List<String> log = new CopyOnWriteArrayList<>();
    @TempDir Path tempDir;

    private StateStore keeper(Directory disk) {
        return new StateStore(disk, 2, MOST, "n3", log::add);
    }

    private static StateSnapshot state(long unixMs) {
        StateSnapshot k = SampleSnapshots.snapshot(unixMs, 5);
        return new StateSnapshot(
                new StateSnapshot.Header("w", "n3", "m", "a", 1, 0, unixMs, 41),
                k.rolloutStatus(),
                k.pods(),
                k.learnedValues());
    }

    /** Hands over states of growing age one after the other; each is written before the next. */
    private static void write(StateStore k, int from, int to) throws Exception {
        for (int i = from; i < to; i++) {
            assertTrue(k.offer(state(i)));
            k.awaitPendingWrites();
        }
    }

    private StateStore.LoadResult found(Directory disk) throws IOException {
        return StateStore.readNewest(disk, MOST, "n3");
    }

    @Test
    void loadsNewestAndPrunesOlderFiles() throws Exception {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        StateStore k = keeper(disk);
        assertNull(k.awaitLoad(k.openAsync(), SECOND).snapshot());
        write(k, 1, 6);
        k.close(SECOND);
        assertEquals(List.of("state-000000000004.mls", "state-000000000005.mls"), disk.list());
        StateStore.LoadResult f = keeper(disk).openAsync().get();
        assertEquals(state(5).withSequence(5), f.snapshot());
        assertEquals(List.of(), log);
    }

    /** At every call of the disk in turn, and whatever is left of what was not forced. */
    @Test
    void crashAtAnyCallLeavesLastForcedOrNewerFileWhole() throws Exception {
        int calls = 0;
        FaultInjectingDirectory counting = new FaultInjectingDirectory(0);
        StateStore all = keeper(counting);
        all.openAsync().get();
        write(all, 1, 5);
        calls = counting.callCount();
        assertTrue(calls > 30);
        int later = 0;
        for (int call = 0; call < calls; call++) {
            FaultInjectingDirectory disk = new FaultInjectingDirectory(call);
            disk.injectFault(Fault.CRASH, call);
            StateStore k = keeper(disk);
            int forced = 0;
            k.openAsync();
            for (int i = 1; i < 5 && !disk.hasCrashed(); i++) {
                k.offer(state(i));
                k.awaitPendingWrites();
                forced = disk.hasCrashed() ? forced : i;
            }
            assertTrue(disk.hasCrashed());
            for (int seed = 0; seed < 40; seed++) {
                FaultInjectingDirectory after = disk.copyAfterCrash(seed);
                StateStore.LoadResult f = found(after);
                long at = f.snapshot() == null ? 0 : f.snapshot().head().unixMs();
                assertTrue(
                        at >= forced && at <= forced + 1,
                        "call " + call + ": " + at + " after " + forced);
                later += at > forced ? 1 : 0;
                if (at > 0) {
                    assertEquals(state(at).withSequence(at), f.snapshot());
                }
                // What is left unfinished is in nobody's way.
                StateStore next = keeper(after);
                next.openAsync().get();
                next.offer(state(9));
                next.awaitPendingWrites();
                assertEquals(9, found(after).snapshot().head().unixMs());
                assertTrue(after.list().stream().noneMatch(n -> n.endsWith(".tmp")));
            }
        }
        assertTrue(later > 0);
    }

    @Test
    void failedCallLosesAtMostOneWrite() throws Exception {
        for (Fault t : List.of(Fault.IO_ERROR, Fault.NO_SPACE, Fault.TORN_WRITE)) {
            for (int call = 0; call < 30; call++) {
                FaultInjectingDirectory disk = new FaultInjectingDirectory(call);
                disk.injectFault(t, call);
                StateStore k = keeper(disk);
                k.openAsync().get();
                write(k, 1, 5);
                long at = found(disk.copyAfterCrash(1)).snapshot().head().unixMs();
                assertTrue(at >= 3, t + " at call " + call + ": " + at);
                k.close(SECOND);
            }
        }
        assertTrue(log.stream().anyMatch(l -> l.contains("No space left on device")));
        assertTrue(log.stream().anyMatch(l -> l.startsWith("written again, as state-")));
    }

    @Test
    void hungDiskNeverBlocksCaller() throws Exception {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        StateStore k = keeper(disk);
        k.openAsync().get();
        write(k, 1, 2);
        disk.blockCalls();
        long from = System.nanoTime();
        int taken = 0;
        for (int i = 2; i < 100; i++) {
            taken += k.offer(state(i)) ? 1 : 0;
        }
        assertTrue(taken <= 2, taken + " wait");
        assertNull(keeper(disk).awaitLoad(keeper(disk).openAsync(), SECOND / 50));
        assertTrue(log.get(0).endsWith("took longer than 20 ms"), log.toString());
        k.close(SECOND / 20);
        assertTrue(log.get(1).startsWith("the last write was not done"), log.toString());
        assertTrue(System.nanoTime() - from < 5 * SECOND);
        disk.unblockCalls();
    }

    @Test
    void secondStoreInSameDirectoryIsDisabled() throws Exception {
        for (Directory disk :
                List.of(new FaultInjectingDirectory(1), new FileSystemDirectory(tempDir))) {
            StateStore first = keeper(disk);
            first.openAsync().get();
            write(first, 1, 2);
            StateStore second = keeper(disk);
            assertNull(second.openAsync().get());
            write(second, 5, 6);
            assertEquals(1, found(disk).snapshot().head().unixMs());
            assertEquals("off: another sidecar holds " + disk, log.get(0));
            first.close(SECOND);
            StateStore third = keeper(disk);
            assertNotNull(third.openAsync().get().snapshot());
            third.close(SECOND);
            second.close(SECOND);
            log.clear();
        }
    }

    @Test
    void stopsWritingWhenAnotherWriterIsDetected() throws Exception {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        StateStore k = keeper(disk);
        k.openAsync().get();
        write(k, 1, 3);
        disk.addForcedFile(
                StateStore.fileName(3), StateFileFormat.encode(state(3).withSequence(3)));
        write(k, 4, 6);
        assertEquals(
                List.of("off: another sidecar writes to faulty disk: state-000000000003.mls"), log);
        assertEquals(3, found(disk).snapshot().head().unixMs());
    }

    @Test
    void skipsInvalidAndForeignFiles() throws Exception {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        disk.addForcedFile(
                StateStore.fileName(1), StateFileFormat.encode(state(1).withSequence(1)));
        byte[] corrupt = StateFileFormat.encode(state(2));
        corrupt[corrupt.length / 2] ^= 1;
        disk.addForcedFile(StateStore.fileName(2), corrupt);
        StateSnapshot foreign = state(3);
        disk.addForcedFile(
                StateStore.fileName(3),
                StateFileFormat.encode(
                        new StateSnapshot(
                                new StateSnapshot.Header("w", "n4", "m", "a", 1, 3, 3, 1),
                                foreign.rolloutStatus(),
                                foreign.pods(),
                                foreign.learnedValues())));
        disk.addForcedFile(StateStore.fileName(4), new byte[(int) MOST + 1]);
        disk.addForcedFile(StateStore.fileName(5), new byte[0]);
        byte[] newer = StateFileFormat.encode(state(6));
        newer[11] = 2;
        disk.addForcedFile(StateStore.fileName(6), newer);
        disk.addForcedFile("state-7.mls", new byte[3]);
        disk.addForcedFile("notes.txt", new byte[3]);
        StateStore.LoadResult f = found(disk);
        assertEquals(StateStore.fileName(1), f.fileName());
        assertEquals(5, f.skippedFiles().size());
        assertTrue(
                f.skippedFiles().get(0).contains("format 2, and we know up to 1"),
                f.skippedFiles().get(0));
        assertTrue(
                f.skippedFiles().get(3).endsWith("is of n4, not of n3"), f.skippedFiles().get(3));
        // The next one written is newer than all of them.
        StateStore k = keeper(disk);
        k.openAsync().get();
        write(k, 7, 8);
        assertEquals(StateStore.fileName(7), found(disk).fileName());
    }

    @Test
    void logsMissingDirectoryOnce() throws Exception {
        Path file = Files.writeString(tempDir.resolve("file"), "x");
        StateStore k = keeper(new FileSystemDirectory(file));
        assertNull(k.openAsync().get());
        write(k, 1, 4);
        assertEquals(2, log.size(), log.toString());
        assertTrue(
                log.get(0).startsWith("nothing taken: ") && log.get(1).startsWith("not written: "),
                log.toString());
        k.close(SECOND);
        log.clear();
        Path gone = Files.createDirectory(tempDir.resolve("gone"));
        StateStore other = keeper(new FileSystemDirectory(gone));
        other.openAsync().get();
        write(other, 1, 2);
        for (String name : new FileSystemDirectory(gone).list()) {
            Files.delete(gone.resolve(name));
        }
        Files.delete(gone);
        write(other, 2, 5);
        assertEquals(1, log.size(), log.toString());
        Files.createDirectory(gone);
        write(other, 5, 6);
        assertEquals(5, found(new FileSystemDirectory(gone)).snapshot().head().unixMs());
        assertTrue(log.get(1).startsWith("written again"), log.toString());
        other.close(SECOND);
    }

    @Test
    void doesNotWriteSnapshotAboveMaxBytes() throws Exception {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        StateStore k = new StateStore(disk, 2, 3000, "n3", log::add);
        k.openAsync().get(1, TimeUnit.SECONDS);
        k.offer(state(1));
        k.awaitPendingWrites();
        assertEquals(List.of(), disk.list());
        assertTrue(log.get(0).matches("not written: \\d+ bytes, more than 3000"), log.toString());
        assertFalse(log.size() > 1);
    }
}
