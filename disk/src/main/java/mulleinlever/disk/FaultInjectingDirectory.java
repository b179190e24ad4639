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
 * A folder in memory whose calls can be made to fail, to tear or to be the last before a crash, for
 * tests and measurements. What was forced outlasts a crash, always. Of what was not, each write and
 * each change of a name does so or not by chance, in any combination, and a write perhaps in part
 * only.
 */
public final class FaultInjectingDirectory implements Directory {
    /** What befalls a call. */
    public enum Fault {
        IO_ERROR,
        NO_SPACE,
        TORN_WRITE,
        CRASH
    }

    /** The process ended within a call; nothing of it goes on. */
    public static final class SimulatedCrashError extends Error {
        private static final long serialVersionUID = 1L;

        SimulatedCrashError() {
            super("the process ends here", null, false, false);
        }
    }

    private static final class FileContent {
        private byte[] forcedBytes = new byte[0];
        private final ByteArrayOutputStream writtenBytes = new ByteArrayOutputStream();

        /** Where each write since the last force began. */
        private final List<Integer> unforcedWriteOffsets = new ArrayList<>();
    }

    /**
     * A change of names that a force has not made sure yet: a file given a name, or a name taken
     * away, or both.
     */
    private record NameChange(String removedName, String addedName, FileContent content) {}

    private final SplittableRandom random;
    private final TreeMap<String, FileContent> files = new TreeMap<>();
    private final TreeMap<String, FileContent> forcedFiles = new TreeMap<>();
    private final List<NameChange> unforcedChanges = new ArrayList<>();
    private final List<String> lockedNames = new ArrayList<>();
    private Fault injectedFault;
    private int faultCallIndex = -1;
    private int callCount;
    private boolean crashed;
    private CountDownLatch unblockLatch;

    public FaultInjectingDirectory(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /**
     * Lets trouble befall the call of that number, counted from 0 over all calls that touch the
     * disk.
     */
    public synchronized void injectFault(Fault fault, int callIndex) {
        injectedFault = fault;
        faultCallIndex = callIndex;
    }

    /** How many calls there were. */
    public synchronized int callCount() {
        return callCount;
    }

    /** Whether the process that used it has ended. */
    public synchronized boolean hasCrashed() {
        return crashed;
    }

    /** From now on calls wait until {@link #unblockCalls}. */
    public synchronized void blockCalls() {
        unblockLatch = new CountDownLatch(1);
    }

    public synchronized void unblockCalls() {
        unblockLatch.countDown();
        unblockLatch = null;
    }

    /** What another start finds after a crash now: this disk is not changed by it. */
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
            // The length may be on the disk before the bytes are: what lies between reads as zeros.
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

    /** Whether this call is to be torn; other trouble is thrown. */
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

    /** A call in which the process ends may have done its work, but for a force. */
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

    /** Puts a file there as it stands, forced. */
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
        beginCall("folder");
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
        return "faulty disk";
    }
}
