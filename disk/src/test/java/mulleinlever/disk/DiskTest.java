package mulleinlever.disk;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DiskTest {
    @TempDir Path folder;

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String text(Disk d, String name) throws IOException {
        return new String(d.read(name, 1000), StandardCharsets.US_ASCII);
    }

    private static void write(Disk d, String name, String... parts) throws IOException {
        try (Disk.Out out = d.create(name)) {
            for (String p : parts) {
                out.write(bytes(p));
            }
            out.force();
        }
    }

    /** The folder and the one in memory agree on what calls do. */
    @Test
    void bothDoTheSame() throws IOException {
        FolderDisk real = new FolderDisk(folder.resolve("a/b"));
        assertThrows(NoSuchFileException.class, real::list);
        real.make();
        for (Disk d : List.of(real, new FaultyDisk(1))) {
            write(d, "b", "one", "two");
            write(d, "a", "x");
            assertEquals(List.of("a", "b"), d.list());
            assertEquals("onetwo", text(d, "b"));
            d.rename("b", "a");
            assertEquals("onetwo", text(d, "a"));
            write(d, "a", "short");
            assertEquals("short", text(d, "a"));
            d.force();
            assertThrows(Disk.TooLong.class, () -> d.read("a", 4));
            assertThrows(NoSuchFileException.class, () -> d.read("b", 4));
            assertThrows(NoSuchFileException.class, () -> d.rename("b", "c"));
            d.delete("a");
            d.delete("a");
            assertEquals(List.of(), d.list());
            Closeable lock = d.lock("lock");
            assertNotNull(lock);
            assertNull(d.lock("lock"));
            lock.close();
            d.lock("lock").close();
        }
    }

    @Test
    void forcedOutlastsACrashAndTheRestMayOrMayNot() throws IOException {
        Set<String> seen = new HashSet<>();
        for (int seed = 0; seed < 200; seed++) {
            FaultyDisk d = new FaultyDisk(seed);
            Disk.Out kept = d.create("kept");
            kept.write(bytes("sure"));
            kept.force();
            d.force();
            kept.write(bytes("AB"));
            kept.write(bytes("CD"));
            write(d, "tmp", "new");
            d.rename("tmp", "new");
            FaultyDisk after = d.afterCrash(seed);
            String left = text(after, "kept");
            assertTrue(left.startsWith("sure"), left);
            seen.add(
                    left.replace('\0', '0')
                            + after.list().contains("new")
                            + after.list().contains("tmp"));
            if (after.list().contains("new")) {
                assertEquals("new", text(after, "new"));
            }
        }
        // Torn, out of order, and each naming with or without the one before it.
        for (String possible :
                List.of(
                        "suretruefalse",
                        "sureABCDtruefalse",
                        "sure00CDfalsefalse",
                        "sureA",
                        "surefalsetrue")) {
            assertTrue(
                    seen.stream().anyMatch(s -> s.startsWith(possible)), possible + " of " + seen);
        }
    }

    @Test
    void troubleComesWhereItWasAskedFor() throws IOException {
        for (int call = 0; call < 5; call++) {
            FaultyDisk d = new FaultyDisk(1);
            d.trouble(FaultyDisk.Trouble.FAILS, call);
            assertThrows(
                    IOException.class,
                    () -> {
                        write(d, "a", "x");
                        d.list();
                    });
        }
        FaultyDisk torn = new FaultyDisk(1);
        torn.trouble(FaultyDisk.Trouble.TEARS, 1);
        assertThrows(IOException.class, () -> write(torn, "a", "1234"));
        assertArrayEquals("12".getBytes(StandardCharsets.US_ASCII), torn.read("a", 9));
        FaultyDisk dead = new FaultyDisk(1);
        dead.trouble(FaultyDisk.Trouble.CRASHES, 0);
        assertThrows(FaultyDisk.Crash.class, () -> dead.create("a"));
        assertThrows(FaultyDisk.Crash.class, dead::list);
    }
}
