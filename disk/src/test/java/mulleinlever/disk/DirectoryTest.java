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

/**
 * Tests that the directory in memory behaves like one of the file system, and that it injects
 * faults as requested.
 */
class DirectoryTest {
    @TempDir Path tempDir;

    private static ByteBuffer asciiBytes(String content) {
        return ByteBuffer.wrap(content.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readText(Directory directory, String name) throws IOException {
        return new String(directory.read(name, 1000), StandardCharsets.US_ASCII);
    }

    private static void write(Directory directory, String name, String... parts)
            throws IOException {
        try (Directory.FileOutput out = directory.create(name)) {
            for (String part : parts) {
                out.write(asciiBytes(part));
            }
            out.force();
        }
    }

    @Test
    void implementationsBehaveAlike() throws IOException {
        FileSystemDirectory onFileSystem = new FileSystemDirectory(tempDir.resolve("a/b"));
        assertThrows(NoSuchFileException.class, onFileSystem::list);
        onFileSystem.createDirectories();
        for (Directory directory : List.of(onFileSystem, new FaultInjectingDirectory(1))) {
            write(directory, "b", "one", "two");
            write(directory, "a", "x");
            assertEquals(List.of("a", "b"), directory.list());
            assertEquals("onetwo", readText(directory, "b"));
            directory.rename("b", "a");
            assertEquals("onetwo", readText(directory, "a"));
            write(directory, "a", "short");
            assertEquals("short", readText(directory, "a"));
            directory.forceDirectory();
            assertThrows(Directory.FileTooLargeException.class, () -> directory.read("a", 4));
            assertThrows(NoSuchFileException.class, () -> directory.read("b", 4));
            assertThrows(NoSuchFileException.class, () -> directory.rename("b", "c"));
            directory.delete("a");
            directory.delete("a");
            assertEquals(List.of(), directory.list());
            Closeable lock = directory.tryLock("lock");
            assertNotNull(lock);
            assertNull(directory.tryLock("lock"));
            lock.close();
            directory.tryLock("lock").close();
        }
    }

    @Test
    void forcedDataSurvivesCrashAndUnforcedMayNot() throws IOException {
        Set<String> outcomes = new HashSet<>();
        for (int seed = 0; seed < 200; seed++) {
            FaultInjectingDirectory directory = new FaultInjectingDirectory(seed);
            Directory.FileOutput kept = directory.create("kept");
            kept.write(asciiBytes("sure"));
            kept.force();
            directory.forceDirectory();
            kept.write(asciiBytes("AB"));
            kept.write(asciiBytes("CD"));
            write(directory, "tmp", "new");
            directory.rename("tmp", "new");
            FaultInjectingDirectory afterCrash = directory.copyAfterCrash(seed);
            String survivingText = readText(afterCrash, "kept");
            assertTrue(survivingText.startsWith("sure"), survivingText);
            outcomes.add(
                    survivingText.replace('\0', '0')
                            + afterCrash.list().contains("new")
                            + afterCrash.list().contains("tmp"));
            if (afterCrash.list().contains("new")) {
                assertEquals("new", readText(afterCrash, "new"));
            }
        }
        // A write survives in part, or without the one before it, and each change of a name
        // survives
        // with or without the one before it.
        for (String possible :
                List.of(
                        "suretruefalse",
                        "sureABCDtruefalse",
                        "sure00CDfalsefalse",
                        "sureA",
                        "surefalsetrue")) {
            assertTrue(
                    outcomes.stream().anyMatch(s -> s.startsWith(possible)),
                    possible + " of " + outcomes);
        }
    }

    @Test
    void faultHitsRequestedCall() throws IOException {
        for (int call = 0; call < 5; call++) {
            FaultInjectingDirectory directory = new FaultInjectingDirectory(1);
            directory.injectFault(FaultInjectingDirectory.Fault.IO_ERROR, call);
            assertThrows(
                    IOException.class,
                    () -> {
                        write(directory, "a", "x");
                        directory.list();
                    });
        }
        FaultInjectingDirectory torn = new FaultInjectingDirectory(1);
        torn.injectFault(FaultInjectingDirectory.Fault.TORN_WRITE, 1);
        assertThrows(IOException.class, () -> write(torn, "a", "1234"));
        assertArrayEquals("12".getBytes(StandardCharsets.US_ASCII), torn.read("a", 9));
        FaultInjectingDirectory crashed = new FaultInjectingDirectory(1);
        crashed.injectFault(FaultInjectingDirectory.Fault.CRASH, 0);
        assertThrows(FaultInjectingDirectory.SimulatedCrashError.class, () -> crashed.create("a"));
        assertThrows(FaultInjectingDirectory.SimulatedCrashError.class, crashed::list);
    }
}
