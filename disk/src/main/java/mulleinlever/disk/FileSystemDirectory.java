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

/** A directory of the file system. */
public final class FileSystemDirectory implements Directory {
    private final Path path;

    public FileSystemDirectory(Path path) {
        this.path = path;
    }

    /** Creates the directory and its parents if they are missing. */
    public void createDirectories() throws IOException {
        Files.createDirectories(path);
    }

    @Override
    public List<String> list() throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(path)) {
            entries.forEach(entry -> names.add(entry.getFileName().toString()));
        }
        Collections.sort(names);
        return names;
    }

    @Override
    public byte[] read(String name, long maxBytes) throws IOException {
        try (FileChannel in = FileChannel.open(path.resolve(name), StandardOpenOption.READ)) {
            long sizeBytes = in.size();
            if (sizeBytes > maxBytes) {
                throw new FileTooLargeException(name, sizeBytes, maxBytes);
            }
            ByteBuffer content = ByteBuffer.allocate((int) sizeBytes);
            while (content.hasRemaining()) {
                if (in.read(content) < 0) {
                    throw new EOFException(name + " was truncated while it was read");
                }
            }
            return content.array();
        }
    }

    @Override
    public FileOutput create(String name) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        path.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING);
        return new FileOutput() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            }

            @Override
            public void force() throws IOException {
                channel.force(true);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(path.resolve(name));
    }

    @Override
    public void forceDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public Closeable tryLock(String name) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // The lock is held within this process.
        } finally {
            if (lock == null) {
                channel.close();
            }
        }
        return lock == null ? null : channel;
    }

    @Override
    public String toString() {
        return path.toString();
    }
}
