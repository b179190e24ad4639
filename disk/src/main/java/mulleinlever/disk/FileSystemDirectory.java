package mulleinlever.disk;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A folder of the file system. */
public final class FileSystemDirectory implements Directory {
    private final Path folder;

    public FileSystemDirectory(Path folder) {
        this.folder = folder;
    }

    /** Makes the folder, and those it lies in, where they are missing. */
    public void createDirectories() throws IOException {
        Files.createDirectories(folder);
    }

    @Override
    public List<String> list() throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder)) {
            all.forEach(p -> names.add(p.getFileName().toString()));
        }
        Collections.sort(names);
        return names;
    }

    @Override
    public byte[] read(String name, long most) throws IOException {
        try (FileChannel in = FileChannel.open(folder.resolve(name), StandardOpenOption.READ)) {
            long size = in.size();
            if (size > most) {
                throw new FileTooLargeException(name, size, most);
            }
            ByteBuffer all = ByteBuffer.allocate((int) size);
            while (all.hasRemaining()) {
                if (in.read(all) < 0) {
                    throw new EOFException(name + " became shorter while it was read");
                }
            }
            return all.array();
        }
    }

    @Override
    public FileOutput create(String name) throws IOException {
        FileChannel to =
                FileChannel.open(
                        folder.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING);
        return new FileOutput() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                while (bytes.hasRemaining()) {
                    to.write(bytes);
                }
            }

            @Override
            public void force() throws IOException {
                to.force(true);
            }

            @Override
            public void close() throws IOException {
                to.close();
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void forceDirectory() throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    @Override
    public Closeable tryLock(String name) throws IOException {
        FileChannel at =
                FileChannel.open(
                        folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = at.tryLock();
        } catch (OverlappingFileLockException e) {
            // Held within this very process.
        } finally {
            if (lock == null) {
                at.close();
            }
        }
        return lock == null ? null : at;
    }

    @Override
    public String toString() {
        return folder.toString();
    }
}
