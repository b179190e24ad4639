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
import mulleinlever.disk.Disk;
import mulleinlever.disk.FaultyDisk;
import mulleinlever.disk.FaultyDisk.Trouble;
import mulleinlever.disk.FolderDisk;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class KeeperTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MOST = 1 << 20;

    private final List<String> log = new CopyOnWriteArrayList<>();
    @TempDir Path folder;

    private Keeper keeper(Disk disk) {
        return new Keeper(disk, 2, MOST, "n3", log::add);
    }

    private static Kept state(long unixMs) {
        Kept k = Sample.kept(unixMs, 5);
        return new Kept(
                new Kept.Head("w", "n3", "m", "a", 1, 0, unixMs, 41),
                k.news(),
                k.pods(),
                k.learned());
    }

    /** Hands over states of growing age one after the other; each is written before the next. */
    private static void write(Keeper k, int from, int to) throws Exception {
        for (int i = from; i < to; i++) {
            assertTrue(k.offer(state(i)));
            k.drain();
        }
    }

    private Keeper.Found found(Disk disk) throws IOException {
        return Keeper.newest(disk, MOST, "n3");
    }

    @Test
    void theNewestIsFoundAndFewAreKept() throws Exception {
        FaultyDisk disk = new FaultyDisk(1);
        Keeper k = keeper(disk);
        assertNull(k.await(k.open(), SECOND).kept());
        write(k, 1, 6);
        k.close(SECOND);
        assertEquals(List.of("state-000000000004.mls", "state-000000000005.mls"), disk.list());
        Keeper.Found f = keeper(disk).open().get();
        assertEquals(state(5).numbered(5), f.kept());
        assertEquals(List.of(), log);
    }

    /** At every call of the disk in turn, and whatever is left of what was not forced. */
    @Test
    void endedAtAnyStepTheNewestForcedOrALaterOneIsFoundWhole() throws Exception {
        int calls = 0;
        FaultyDisk counting = new FaultyDisk(0);
        Keeper all = keeper(counting);
        all.open().get();
        write(all, 1, 5);
        calls = counting.calls();
        assertTrue(calls > 30);
        int later = 0;
        for (int call = 0; call < calls; call++) {
            FaultyDisk disk = new FaultyDisk(call);
            disk.trouble(Trouble.CRASHES, call);
            Keeper k = keeper(disk);
            int forced = 0;
            k.open();
            for (int i = 1; i < 5 && !disk.crashed(); i++) {
                k.offer(state(i));
                k.drain();
                forced = disk.crashed() ? forced : i;
            }
            assertTrue(disk.crashed());
            for (int seed = 0; seed < 40; seed++) {
                FaultyDisk after = disk.afterCrash(seed);
                Keeper.Found f = found(after);
                long at = f.kept() == null ? 0 : f.kept().head().unixMs();
                assertTrue(
                        at >= forced && at <= forced + 1,
                        "call " + call + ": " + at + " after " + forced);
                later += at > forced ? 1 : 0;
                if (at > 0) {
                    assertEquals(state(at).numbered(at), f.kept());
                }
                // What is left unfinished is in nobody's way.
                Keeper next = keeper(after);
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
        for (Trouble t : List.of(Trouble.FAILS, Trouble.IS_FULL, Trouble.TEARS)) {
            for (int call = 0; call < 30; call++) {
                FaultyDisk disk = new FaultyDisk(call);
                disk.trouble(t, call);
                Keeper k = keeper(disk);
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
        FaultyDisk disk = new FaultyDisk(1);
        Keeper k = keeper(disk);
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
        for (Disk disk : List.of(new FaultyDisk(1), new FolderDisk(folder))) {
            Keeper first = keeper(disk);
            first.open().get();
            write(first, 1, 2);
            Keeper second = keeper(disk);
            assertNull(second.open().get());
            write(second, 5, 6);
            assertEquals(1, found(disk).kept().head().unixMs());
            assertEquals("off: another sidecar holds " + disk, log.get(0));
            first.close(SECOND);
            Keeper third = keeper(disk);
            assertNotNull(third.open().get().kept());
            third.close(SECOND);
            second.close(SECOND);
            log.clear();
        }
    }

    @Test
    void whereTheLockDoesNotReachTheOneThatSeesTheOtherStops() throws Exception {
        FaultyDisk disk = new FaultyDisk(1);
        Keeper k = keeper(disk);
        k.open().get();
        write(k, 1, 3);
        disk.put(Keeper.name(3), Format.write(state(3).numbered(3)));
        write(k, 4, 6);
        assertEquals(
                List.of("off: another sidecar writes to faulty disk: state-000000000003.mls"), log);
        assertEquals(3, found(disk).kept().head().unixMs());
    }

    @Test
    void whatIsNotWholeOrNotOursIsPassedOver() throws Exception {
        FaultyDisk disk = new FaultyDisk(1);
        disk.put(Keeper.name(1), Format.write(state(1).numbered(1)));
        byte[] corrupt = Format.write(state(2));
        corrupt[corrupt.length / 2] ^= 1;
        disk.put(Keeper.name(2), corrupt);
        Kept foreign = state(3);
        disk.put(
                Keeper.name(3),
                Format.write(
                        new Kept(
                                new Kept.Head("w", "n4", "m", "a", 1, 3, 3, 1),
                                foreign.news(),
                                foreign.pods(),
                                foreign.learned())));
        disk.put(Keeper.name(4), new byte[(int) MOST + 1]);
        disk.put(Keeper.name(5), new byte[0]);
        byte[] newer = Format.write(state(6));
        newer[11] = 2;
        disk.put(Keeper.name(6), newer);
        disk.put("state-7.mls", new byte[3]);
        disk.put("notes.txt", new byte[3]);
        Keeper.Found f = found(disk);
        assertEquals(Keeper.name(1), f.file());
        assertEquals(5, f.passedOver().size());
        assertTrue(
                f.passedOver().get(0).contains("format 2, and we know up to 1"),
                f.passedOver().get(0));
        assertTrue(f.passedOver().get(3).endsWith("is of n4, not of n3"), f.passedOver().get(3));
        // The next one written is newer than all of them.
        Keeper k = keeper(disk);
        k.open().get();
        write(k, 7, 8);
        assertEquals(Keeper.name(7), found(disk).file());
    }

    @Test
    void aFolderThatIsNoneOrGoesAwayIsSaidOnce() throws Exception {
        Path file = Files.writeString(folder.resolve("file"), "x");
        Keeper k = keeper(new FolderDisk(file));
        assertNull(k.open().get());
        write(k, 1, 4);
        assertEquals(2, log.size(), log.toString());
        assertTrue(
                log.get(0).startsWith("nothing taken: ") && log.get(1).startsWith("not written: "),
                log.toString());
        k.close(SECOND);
        log.clear();
        Path gone = Files.createDirectory(folder.resolve("gone"));
        Keeper other = keeper(new FolderDisk(gone));
        other.open().get();
        write(other, 1, 2);
        for (String name : new FolderDisk(gone).list()) {
            Files.delete(gone.resolve(name));
        }
        Files.delete(gone);
        write(other, 2, 5);
        assertEquals(1, log.size(), log.toString());
        Files.createDirectory(gone);
        write(other, 5, 6);
        assertEquals(5, found(new FolderDisk(gone)).kept().head().unixMs());
        assertTrue(log.get(1).startsWith("written again"), log.toString());
        other.close(SECOND);
    }

    @Test
    void whatIsTooLongIsNotWritten() throws Exception {
        FaultyDisk disk = new FaultyDisk(1);
        Keeper k = new Keeper(disk, 2, 3000, "n3", log::add);
        k.open().get(1, TimeUnit.SECONDS);
        k.offer(state(1));
        k.drain();
        assertEquals(List.of(), disk.list());
        assertTrue(log.get(0).matches("not written: \\d+ bytes, more than 3000"), log.toString());
        assertFalse(log.size() > 1);
    }
}
