package mulleinlever.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One folder, as far as those need it that keep something there. What was written is sure to
 * outlast a crash only after {@link FileOutput#force}, and a file's name only after {@link
 * #forceDirectory}. Any call may fail or take for ever: none is made on an event loop. Names are
 * plain, without a path.
 */
public interface Directory {
    /** A file being written. */
    interface FileOutput extends Closeable {
        /** Writes all of the buffer's remaining bytes behind those written before. */
        void write(ByteBuffer bytes) throws IOException;

        /** After this, what was written so far outlasts a crash. */
        void force() throws IOException;
    }

    /** The names of the files there, in the order of their letters. */
    List<String> list() throws IOException;

    /**
     * A file's bytes.
     *
     * @throws FileTooLargeException where there are more than {@code most}; nothing is allocated
     *     for them
     * @throws java.nio.file.NoSuchFileException where there is no such file
     */
    byte[] read(String name, long maxBytes) throws IOException;

    /** A new and empty file, in place of any of that name. */
    FileOutput create(String name) throws IOException;

    /** Gives a file another name, in one step, in place of any that has it. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file; nothing happens where there is none. */
    void delete(String name) throws IOException;

    /** After this, the names as they are now outlast a crash. */
    void forceDirectory() throws IOException;

    /**
     * Holds a file of that name locked against other processes until closed; null where another
     * holds it.
     */
    Closeable tryLock(String name) throws IOException;

    /** A file that is longer than its reader takes. */
    final class FileTooLargeException extends IOException {
        private static final long serialVersionUID = 1L;

        public FileTooLargeException(String name, long sizeBytes, long maxBytes) {
            super(name + " has " + sizeBytes + " bytes, more than " + maxBytes);
        }
    }
}
