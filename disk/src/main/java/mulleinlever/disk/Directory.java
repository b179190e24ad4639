package mulleinlever.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The operations on one directory that code storing files in it needs. Written bytes are guaranteed
 * to survive a crash only after {@link FileOutput#force}, and file names only after {@link
 * #forceDirectory}. Any call may fail or block forever, so none may be made on an event loop. File
 * names are plain names without a path.
 */
public interface Directory {
    /** A file that is being written. */
    interface FileOutput extends Closeable {
        /** Appends all remaining bytes of the buffer to the file. */
        void write(ByteBuffer bytes) throws IOException;

        /** Forces all bytes written so far to the disk, so that they survive a crash. */
        void force() throws IOException;
    }

    /** Returns the names of the files in this directory, sorted. */
    List<String> list() throws IOException;

    /**
     * Returns the content of a file.
     *
     * @throws FileTooLargeException if the file has more than {@code maxBytes} bytes; no memory is
     *     allocated for them
     * @throws java.nio.file.NoSuchFileException if there is no such file
     */
    byte[] read(String name, long maxBytes) throws IOException;

    /** Creates an empty file, replacing any file of that name. */
    FileOutput create(String name) throws IOException;

    /**
     * Renames a file atomically, replacing any file that has the new name.
     *
     * @throws java.nio.file.NoSuchFileException if there is no file named {@code from}
     */
    void rename(String from, String to) throws IOException;

    /** Deletes a file; does nothing if there is no such file. */
    void delete(String name) throws IOException;

    /** Forces the current file names to the disk, so that they survive a crash. */
    void forceDirectory() throws IOException;

    /**
     * Locks the file of that name, which is created if missing, until the returned object is
     * closed. Returns null if the lock is held already, by another process or within this one.
     */
    Closeable tryLock(String name) throws IOException;

    /** Thrown when a file is longer than the maximum that its reader accepts. */
    final class FileTooLargeException extends IOException {
        private static final long serialVersionUID = 1L;

        public FileTooLargeException(String name, long sizeBytes, long maxBytes) {
            super(name + " has " + sizeBytes + " bytes, more than the maximum of " + maxBytes);
        }
    }
}
