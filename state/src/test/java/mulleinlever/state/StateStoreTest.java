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
    @TempDir Path folder;

    private StateStore keeper(Directory disk) {
        return new StateStore(disk, 2, MOST, "n3", log::add);
    }

    private static StateSnapshot state(long unixMs) {
        StateSnapshot k = SampleSnapshots.kept(unixMs, 5);
        return new StateSnapshot(
                new StateSnapshot.Header("w", "n3", "m", "a", 1, 0, unixMs, 41),
                k.news(),
                k.pods(),
                k.learned());
    }

    /** Hands over states of growing age one after the other; each is written before the next. */
    private static void write(StateStore k, int from, int to) throws Exception {
        for (int i = from; i < to; i++) {
            assertTrue(k.offer(state(i)));
            k.drain();
        }
    }

    private StateStore.LoadResult found(Directory disk) throws IOException {
        return StateStore.newest(disk, MOST, "n3");
    }

    @Test
    void theNewestIsFoundAndFewAreKept() throws Exception {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        StateStore k = keeper(disk);
        assertNull(k.await(k.open(), SECOND).kept());
        write(k, 1, 6);
        k.close(SECOND);
        assertEquals(List.of("state-000000000004.mls", "state-000000000005.mls"), disk.list());
        StateStore.LoadResult f = keeper(disk).open().get();
        assertEquals(state(5).numbered(5), f.kept());
        assertEquals(List.of(), log);
    }

    /** At every call of the disk in turn, and whatever is left of what was not forced. */
    @Test
    void endedAtAnyStepTheNewestForcedOrALaterOneIsFoundWhole() throws Exception {
        int calls = 0;
        FaultInjectingDirectory counting = new FaultInjectingDirectory(0);
        StateStore all = keeper(counting);
        all.open().get();
        write(all, 1, 5);
        calls = counting.calls();
        assertTrue(calls > 30);
        int later = 0;
        for (int call = 0; call < calls; call++) {
            FaultInjectingDirectory disk = new FaultInjectingDirectory(call);
            disk.trouble(Fault.CRASHES, call);
            StateStore k = keeper(disk);
            int forced = 0;
            k.open();
            for (int i = 1; i < 5 && !disk.crashed(); i++) {
                k.offer(state(i));
                k.drain();
                forced = disk.crashed() ? forced : i;
            }
            assertTrue(disk.crashed());
            for (int seed = 0; seed < 40; seed++) {
                FaultInjectingDirectory after = disk.afterCrash(seed);
                StateStore.LoadResult f = found(after);
                long at = f.kept() == null ? 0 : f.kept().head().unixMs();
                assertTrue(
                        at >= forced && at <= forced + 1,
                        "call " + call + ": " + at + " after " + forced);
                later += at > forced ? 1 : 0;
                if (at > 0) {
                    assertEquals(state(at).numbered(at), f.kept());
                }
                // What is left unfinished is in nobody's way.
                StateStore next = keeper(after);
                next.open().get();
                next.offer(state(9));
                next.drain();
                assertEquals(9, found(after).kept().head().unixMs());
                assertTrue(after.list().stream().noneMatch(n -> n.endsWith(".tmp")));
            }
        }
        assertTrue(later > 0);
    }

    @Test
    void aCallThatFailsCostsOneWriteAtMost() throws Exception {
        for (Fault t : List.of(Fault.FAILS, Fault.IS_FULL, Fault.TEARS)) {
            for (int call = 0; call < 30; call++) {
                FaultInjectingDirectory disk = new FaultInjectingDirectory(call);
                disk.trouble(t, call);
                StateStore k = keeper(disk);
                k.open().get();
                write(k, 1, 5);
                long at = found(disk.afterCrash(1)).kept().head().unixMs();
                assertTrue(at >= 3, t + " at call " + call + ": " + at);
                k.close(SECOND);
            }
        }
        assertTrue(log.stream().anyMatch(l -> l.contains("No space left on device")));
        assertTrue(log.stream().anyMatch(l -> l.startsWith("written again, as state-")));
    }

    @Test
    void aDiskThatHangsCostsFreshnessOnly() throws Exception {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        StateStore k = keeper(disk);
        k.open().get();
        write(k, 1, 2);
        disk.hang();
        long from = System.nanoTime();
        int taken = 0;
        for (int i = 2; i < 100; i++) {
            taken += k.offer(state(i)) ? 1 : 0;
        }
        assertTrue(taken <= 2, taken + " wait");
        assertNull(keeper(disk).await(keeper(disk).open(), SECOND / 50));
        assertTrue(log.get(0).endsWith("took longer than 20 ms"), log.toString());
        k.close(SECOND / 20);
        assertTrue(log.get(1).startsWith("the last write was not done"), log.toString());
        assertTrue(System.nanoTime() - from < 5 * SECOND);
        disk.goOn();
    }

    @Test
    void ofTwoInOneFolderTheSecondRunsWithout() throws Exception {
        for (Directory disk :
                List.of(new FaultInjectingDirectory(1), new FileSystemDirectory(folder))) {
            StateStore first = keeper(disk);
            first.open().get();
            write(first, 1, 2);
            StateStore second = keeper(disk);
            assertNull(second.open().get());
            write(second, 5, 6);
            assertEquals(1, found(disk).kept().head().unixMs());
            assertEquals("off: another sidecar holds " + disk, log.get(0));
            first.close(SECOND);
            StateStore third = keeper(disk);
            assertNotNull(third.open().get().kept());
            third.close(SECOND);
            second.close(SECOND);
            log.clear();
        }
    }

    @Test
    void whereTheLockDoesNotReachTheOneThatSeesTheOtherStops() throws Exception {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        StateStore k = keeper(disk);
        k.open().get();
        write(k, 1, 3);
        disk.put(StateStore.name(3), StateFileFormat.write(state(3).numbered(3)));
        write(k, 4, 6);
        assertEquals(
                List.of("off: another sidecar writes to faulty disk: state-000000000003.mls"), log);
        assertEquals(3, found(disk).kept().head().unixMs());
    }

    @Test
    void whatIsNotWholeOrNotOursIsPassedOver() throws Exception {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        disk.put(StateStore.name(1), StateFileFormat.write(state(1).numbered(1)));
        byte[] corrupt = StateFileFormat.write(state(2));
        corrupt[corrupt.length / 2] ^= 1;
        disk.put(StateStore.name(2), corrupt);
        StateSnapshot foreign = state(3);
        disk.put(
                StateStore.name(3),
                StateFileFormat.write(
                        new StateSnapshot(
                                new StateSnapshot.Header("w", "n4", "m", "a", 1, 3, 3, 1),
                                foreign.news(),
                                foreign.pods(),
                                foreign.learned())));
        disk.put(StateStore.name(4), new byte[(int) MOST + 1]);
        disk.put(StateStore.name(5), new byte[0]);
        byte[] newer = StateFileFormat.write(state(6));
        newer[11] = 2;
        disk.put(StateStore.name(6), newer);
        disk.put("state-7.mls", new byte[3]);
        disk.put("notes.txt", new byte[3]);
        StateStore.LoadResult f = found(disk);
        assertEquals(StateStore.name(1), f.file());
        assertEquals(5, f.passedOver().size());
        assertTrue(
                f.passedOver().get(0).contains("format 2, and we know up to 1"),
                f.passedOver().get(0));
        assertTrue(f.passedOver().get(3).endsWith("is of n4, not of n3"), f.passedOver().get(3));
        // The next one written is newer than all of them.
        StateStore k = keeper(disk);
        k.open().get();
        write(k, 7, 8);
        assertEquals(StateStore.name(7), found(disk).file());
    }

    @Test
    void aFolderThatIsNoneOrGoesAwayIsSaidOnce() throws Exception {
        Path file = Files.writeString(folder.resolve("file"), "x");
        StateStore k = keeper(new FileSystemDirectory(file));
        assertNull(k.open().get());
        write(k, 1, 4);
        assertEquals(2, log.size(), log.toString());
        assertTrue(
                log.get(0).startsWith("nothing taken: ") && log.get(1).startsWith("not written: "),
                log.toString());
        k.close(SECOND);
        log.clear();
        Path gone = Files.createDirectory(folder.resolve("gone"));
        StateStore other = keeper(new FileSystemDirectory(gone));
        other.open().get();
        write(other, 1, 2);
        for (String name : new FileSystemDirectory(gone).list()) {
            Files.delete(gone.resolve(name));
        }
        Files.delete(gone);
        write(other, 2, 5);
        assertEquals(1, log.size(), log.toString());
        Files.createDirectory(gone);
        write(other, 5, 6);
        assertEquals(5, found(new FileSystemDirectory(gone)).kept().head().unixMs());
        assertTrue(log.get(1).startsWith("written again"), log.toString());
        other.close(SECOND);
    }

    @Test
    void whatIsTooLongIsNotWritten() throws Exception {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        StateStore k = new StateStore(disk, 2, 3000, "n3", log::add);
        k.open().get(1, TimeUnit.SECONDS);
        k.offer(state(1));
        k.drain();
        assertEquals(List.of(), disk.list());
        assertTrue(log.get(0).matches("not written: \\d+ bytes, more than 3000"), log.toString());
        assertFalse(log.size() > 1);
    }
}
