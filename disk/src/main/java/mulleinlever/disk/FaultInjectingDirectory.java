package mulleinlever.disk;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;

/**
 * A directory in memory for tests and measurements. A call can be made to fail, to write only a
 * part of its bytes, to crash the simulated process, or to block. Forced data always survives a
 * simulated crash. Each unforced write and each unforced change of a file name survives or is lost
 * at random, independently of the others, and a write may survive in part.
 *
 * <p>Thread-safe, as the code under test calls it from a thread of its own.
 */
public final class FaultInjectingDirectory implements Directory {
    /** The ways in which a call can fail. */
    public enum Fault {
        /** The call throws an I/O error and has no effect. */
        IO_ERROR,
        /** The call throws an I/O error as on a full disk and has no effect. */
        NO_SPACE,
        /** A write stores half of its bytes and throws an I/O error; other calls succeed. */
        TORN_WRITE,
        /** The process ends during the call: this call and all later disk accesses throw. */
        CRASH
    }

    /**
     * Thrown by the call during which the simulated process ends, and by all later accesses to the
     * disk. It is an error, so that handlers of I/O errors do not catch it.
     */
    public static final class SimulatedCrashError extends Error {
        private static final long serialVersionUID = 1L;

        SimulatedCrashError() {
            super("simulated crash of the process", null, false, false);
        }
    }

    /** The content of a file, as written and as guaranteed to survive a crash. */
    private static final class FileContent {
        private byte[] forcedBytes = new byte[0];
        private final ByteArrayOutputStream writtenBytes = new ByteArrayOutputStream();

        /** The offset at which each write since the last force began. */
        private final List<Integer> unforcedWriteOffsets = new ArrayList<>();
    }

    /**
     * A creation, deletion or renaming of a file.
     *
     * @param removedName the name that the change removes, or null
     * @param addedName the name that the change adds or replaces, or null
     * @param content the content of the file under the added name
     */
    private record NameChange(String removedName, String addedName, FileContent content) {}

    private final SplittableRandom random;
    private final TreeMap<String, FileContent> files = new TreeMap<>();

    /** The files by name as of the last {@link #forceDirectory}. */
    private final TreeMap<String, FileContent> forcedFiles = new TreeMap<>();

    /** The changes of names since the last {@link #forceDirectory}, in order. */
    private final List<NameChange> unforcedChanges = new ArrayList<>();

    private final List<String> lockedNames = new ArrayList<>();
    private Fault injectedFault;

    /** The index of the call that fails; -1 for none. */
    private int faultCallIndex = -1;

    private int callCount;
    private boolean crashed;

    /** Calls wait for this latch; null while calls are not blocked. */
    private CountDownLatch unblockLatch;

    /**
     * @param seed the seed of the random choices
     */
    public FaultInjectingDirectory(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /**
     * Makes one call fail, in place of any fault injected before.
     *
     * @param callIndex the index of the call among all calls that access the disk, from 0; {@link
     *     #tryLock} does not count
     */
    public synchronized void injectFault(Fault fault, int callIndex) {
        injectedFault = fault;
        faultCallIndex = callIndex;
    }

    /** Returns the number of calls so far. */
    public synchronized int callCount() {
        return callCount;
    }

    /** Returns whether the simulated process has crashed. */
    public synchronized boolean hasCrashed() {
        return crashed;
    }

    /** Makes all later calls block until {@link #unblockCalls}. */
    public synchronized void blockCalls() {
        unblockLatch = new CountDownLatch(1);
    }

    /** Lets blocked and later calls proceed; calls must be blocked. */
    public synchronized void unblockCalls() {
        unblockLatch.countDown();
        unblockLatch = null;
    }

    /**
     * Returns a copy of what a restarted process would find after a crash at this moment. This
     * directory does not change.
     *
     * @param seed the seed by which unforced data survives or is lost
     */
    public synchronized FaultInjectingDirectory copyAfterCrash(long seed) {
        FaultInjectingDirectory copy = new FaultInjectingDirectory(seed);
        TreeMap<String, FileContent> survivingFiles = new TreeMap<>(forcedFiles);
        for (NameChange change : unforcedChanges) {
            if (copy.random.nextBoolean()) {
                applyChange(survivingFiles, change);
            }
        }
        survivingFiles.forEach(
                (name, content) -> {
                    FileContent survivingContent = new FileContent();
                    survivingContent.forcedBytes = survivingBytes(content, copy.random);
                    survivingContent.writtenBytes.writeBytes(survivingContent.forcedBytes);
                    copy.files.put(name, survivingContent);
                    copy.forcedFiles.put(name, survivingContent);
                });
        return copy;
    }

    /** Returns the content of a file after a crash: all forced bytes and some unforced ones. */
    private static byte[] survivingBytes(FileContent content, SplittableRandom random) {
        byte[] written = content.writtenBytes.toByteArray();
        byte[] surviving = Arrays.copyOf(content.forcedBytes, written.length);
        int length = content.forcedBytes.length;
        for (int i = 0; i < content.unforcedWriteOffsets.size(); i++) {
            int start = content.unforcedWriteOffsets.get(i);
            int end =
                    i + 1 < content.unforcedWriteOffsets.size()
                            ? content.unforcedWriteOffsets.get(i + 1)
                            : written.length;
            int survivingEnd =
                    switch (random.nextInt(3)) {
                        case 0 -> start;
                        case 1 -> end;
                        default -> start + random.nextInt(end - start + 1);
                    };
            System.arraycopy(written, start, surviving, start, survivingEnd - start);
            // The new length may reach the disk before the bytes; missing bytes read as zeros.
            length =
                    survivingEnd > start
                            ? Math.max(length, random.nextBoolean() ? survivingEnd : end)
                            : length;
        }
        return Arrays.copyOf(surviving, length);
    }

    private static void applyChange(TreeMap<String, FileContent> target, NameChange change) {
        if (change.removedName != null) {
            target.remove(change.removedName);
        }
        if (change.addedName != null) {
            target.put(change.addedName, change.content);
        }
    }

    private void changeNames(NameChange change) {
        applyChange(files, change);
        unforcedChanges.add(change);
    }

    /**
     * Counts a call, waits while calls are blocked, and injects the fault if this call is to fail.
     * Returns whether a write is to be torn; a crash takes effect in {@link #throwIfCrashed}.
     *
     * @param subject the file or directory that an I/O error names
     */
    private boolean beginCall(String subject) throws IOException {
        CountDownLatch latch;
        synchronized (this) {
            latch = unblockLatch;
        }
        if (latch != null) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                throw new IOException("interrupted", e);
            }
        }
        synchronized (this) {
            if (crashed) {
                throw new SimulatedCrashError();
            }
            if (callCount++ != faultCallIndex) {
                return false;
            }
            switch (injectedFault) {
                case IO_ERROR -> throw new IOException(subject + ": Input/output error");
                case NO_SPACE -> throw new IOException(subject + ": No space left on device");
                case CRASH -> {
                    crashed = true;
                    return false;
                }
                default -> {
                    return true;
                }
            }
        }
    }

    /**
     * Throws if the process has crashed during the current call. A call that writes or changes
     * names checks this after the change, so that a crash may leave the change done. A force checks
     * it before, so that a crash during a force guarantees nothing.
     */
    private synchronized void throwIfCrashed() {
        if (crashed) {
            throw new SimulatedCrashError();
        }
    }

    @Override
    public List<String> list() throws IOException {
        beginCall("list");
        throwIfCrashed();
        synchronized (this) {
            return List.copyOf(files.keySet());
        }
    }

    @Override
    public byte[] read(String name, long maxBytes) throws IOException {
        beginCall(name);
        throwIfCrashed();
        synchronized (this) {
            FileContent content = files.get(name);
            if (content == null) {
                throw new NoSuchFileException(name);
            }
            if (content.writtenBytes.size() > maxBytes) {
                throw new FileTooLargeException(name, content.writtenBytes.size(), maxBytes);
            }
            return content.writtenBytes.toByteArray();
        }
    }

    /** Adds a file whose content and name are forced. */
    public synchronized void addForcedFile(String name, byte[] bytes) {
        FileContent content = new FileContent();
        content.forcedBytes = bytes.clone();
        content.writtenBytes.writeBytes(bytes);
        files.put(name, content);
        forcedFiles.put(name, content);
    }

    @Override
    public FileOutput create(String name) throws IOException {
        beginCall(name);
        FileContent content = new FileContent();
        synchronized (this) {
            changeNames(new NameChange(null, name, content));
        }
        throwIfCrashed();
        return new FileOutput() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                boolean isTorn = beginCall(name);
                synchronized (FaultInjectingDirectory.this) {
                    byte[] written = new byte[isTorn ? bytes.remaining() / 2 : bytes.remaining()];
                    bytes.get(written);
                    content.unforcedWriteOffsets.add(content.writtenBytes.size());
                    content.writtenBytes.writeBytes(written);
                }
                throwIfCrashed();
                if (isTorn) {
                    throw new IOException(name + ": Input/output error");
                }
            }

            @Override
            public void force() throws IOException {
                beginCall(name);
                throwIfCrashed();
                synchronized (FaultInjectingDirectory.this) {
                    content.forcedBytes = content.writtenBytes.toByteArray();
                    content.unforcedWriteOffsets.clear();
                }
            }

            @Override
            public void close() throws IOException {
                beginCall(name);
                throwIfCrashed();
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        beginCall(to);
        synchronized (this) {
            FileContent content = files.get(from);
            if (content == null) {
                throw new NoSuchFileException(from);
            }
            changeNames(new NameChange(from, to, content));
        }
        throwIfCrashed();
    }

    @Override
    public void delete(String name) throws IOException {
        beginCall(name);
        synchronized (this) {
            if (files.containsKey(name)) {
                changeNames(new NameChange(name, null, null));
            }
        }
        throwIfCrashed();
    }

    @Override
    public void forceDirectory() throws IOException {
        beginCall("directory");
        throwIfCrashed();
        synchronized (this) {
            forcedFiles.clear();
            forcedFiles.putAll(files);
            unforcedChanges.clear();
        }
    }

    @Override
    public synchronized Closeable tryLock(String name) {
        if (lockedNames.contains(name)) {
            return null;
        }
        lockedNames.add(name);
        return () -> {
            synchronized (this) {
                lockedNames.remove(name);
            }
        };
    }

    @Override
    public String toString() {
        return "in-memory directory";
    }
}
