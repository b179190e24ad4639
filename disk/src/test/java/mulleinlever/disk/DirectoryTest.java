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

class DirectoryTest {
    @TempDir Path tempDir;

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String text(Directory d, String name) throws IOException {
        return new String(d.read(name, 1000), StandardCharsets.US_ASCII);
    }

    private static void write(Directory d, String name, String... parts) throws IOException {
        try (Directory.FileOutput out = d.create(name)) {
            for (String p : parts) {
                out.write(bytes(p));
            }
            out.force();
        }
    }

    /** The folder and the one in memory agree on what calls do. */
    @Test
    void implementationsBehaveAlike() throws IOException {
        FileSystemDirectory real = new FileSystemDirectory(tempDir.resolve("a/b"));
        assertThrows(NoSuchFileException.class, real::list);
        real.createDirectories();
        for (Directory d : List.of(real, new FaultInjectingDirectory(1))) {
            write(d, "b", "one", "two");
            write(d, "a", "x");
            assertEquals(List.of("a", "b"), d.list());
            assertEquals("onetwo", text(d, "b"));
            d.rename("b", "a");
            assertEquals("onetwo", text(d, "a"));
            write(d, "a", "short");
            assertEquals("short", text(d, "a"));
            d.forceDirectory();
            assertThrows(Directory.FileTooLargeException.class, () -> d.read("a", 4));
            assertThrows(NoSuchFileException.class, () -> d.read("b", 4));
            assertThrows(NoSuchFileException.class, () -> d.rename("b", "c"));
            d.delete("a");
            d.delete("a");
            assertEquals(List.of(), d.list());
            Closeable lock = d.tryLock("lock");
            assertNotNull(lock);
            assertNull(d.tryLock("lock"));
            lock.close();
            d.tryLock("lock").close();
        }
    }

    @Test
    void forcedDataSurvivesCrashAndUnforcedMayNot() throws IOException {
        Set<String> seen = new HashSet<>();
        for (int seed = 0; seed < 200; seed++) {
            FaultInjectingDirectory d = new FaultInjectingDirectory(seed);
            Directory.FileOutput kept = d.create("kept");
            kept.write(bytes("sure"));
            kept.force();
            d.forceDirectory();
            kept.write(bytes("AB"));
            kept.write(bytes("CD"));
            write(d, "tmp", "new");
            d.rename("tmp", "new");
            FaultInjectingDirectory after = d.copyAfterCrash(seed);
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
    void faultHitsRequestedCall() throws IOException {
        for (int call = 0; call < 5; call++) {
            FaultInjectingDirectory d = new FaultInjectingDirectory(1);
            d.injectFault(FaultInjectingDirectory.Fault.IO_ERROR, call);
            assertThrows(
                    IOException.class,
                    () -> {
                        write(d, "a", "x");
                        d.list();
                    });
        }
        FaultInjectingDirectory torn = new FaultInjectingDirectory(1);
        torn.injectFault(FaultInjectingDirectory.Fault.TORN_WRITE, 1);
        assertThrows(IOException.class, () -> write(torn, "a", "1234"));
        assertArrayEquals("12".getBytes(StandardCharsets.US_ASCII), torn.read("a", 9));
        FaultInjectingDirectory dead = new FaultInjectingDirectory(1);
        dead.injectFault(FaultInjectingDirectory.Fault.CRASH, 0);
        assertThrows(FaultInjectingDirectory.SimulatedCrashError.class, () -> dead.create("a"));
        assertThrows(FaultInjectingDirectory.SimulatedCrashError.class, dead::list);
    }
}
