package mulleinlever.state;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mulleinlever.disk.Directory;

/**
 * Stores the snapshots of one sidecar's state in a directory. It reads the newest valid file, and
 * writes each snapshot to a new file beside the earlier ones. A dedicated thread does all disk
 * access. The event loop, which offers snapshots, never waits for the disk; a disk that hangs only
 * delays or drops snapshots.
 *
 * <p>A file is written under a temporary name and forced, then renamed, then the directory is
 * forced. So at each moment the newest file that has its final name and was forced is complete.
 */
public final class StateStore {
    private static final int WRITE_CHUNK_BYTES = 1 << 16;

    private static final Pattern FILE_NAME_PATTERN = Pattern.compile("state-(\\d{12})\\.mls");
    private static final String TEMPORARY_SUFFIX = ".tmp";

    /** The name of the file that a sidecar keeps locked while it uses the directory. */
    public static final String LOCK_FILE_NAME = "lock";

    /**
     * The result of looking for the newest valid file.
     *
     * @param fileName the name of that file; null if there is none
     * @param snapshot the content of that file; null if there is none
     * @param notes one line for each file that was skipped, and for each section that was skipped
     *     because this program does not know it
     */
    public record LoadResult(String fileName, StateSnapshot snapshot, List<String> notes) {}

    private final Directory directory;
    private final int retainedFileCount;
    private final long maxFileBytes;
    private final String instance;
    private final Consumer<String> log;
    private final ThreadPoolExecutor executor;
    private Closeable lock;

    /** The sequence number of the last file written or attempted. */
    private long lastSequence;

    private boolean disabled;

    /** The problem that was logged last; empty after a successful write. */
    private String loggedProblem = "";

    /**
     * Creates a store; nothing is read or locked before {@link #openAsync} or the first snapshot.
     *
     * @param retainedFileCount the number of newest files that are not deleted
     * @param maxFileBytes the maximum length of a file that is read or written
     * @param instance the name of the sidecar; files of other instances are skipped
     * @param log receives log lines, on the thread of the store, or on the caller's thread for
     *     timeouts
     */
    public StateStore(
            Directory directory,
            int retainedFileCount,
            long maxFileBytes,
            String instance,
            Consumer<String> log) {
        this.directory = directory;
        this.retainedFileCount = retainedFileCount;
        this.maxFileBytes = maxFileBytes;
        this.instance = instance;
        this.log = log;
        // One job may wait while another runs. A snapshot that is offered meanwhile is newer than
        // the waiting one, but is dropped, as the next one will be newer still.
        this.executor =
                new ThreadPoolExecutor(
                        1,
                        1,
                        0,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(1),
                        job -> {
                            Thread thread = new Thread(job, "state");
                            thread.setDaemon(true);
                            thread.setUncaughtExceptionHandler(
                                    (source, e) -> log.accept("uncaught exception in a job: " + e));
                            return thread;
                        });
    }

    /** Returns the file name for a sequence number. */
    public static String fileName(long sequence) {
        return String.format("state-%012d.mls", sequence);
    }

    /** Returns the sequence number in a file name; -1 if it is not the name of a state file. */
    public static long parseSequence(String name) {
        Matcher matcher = FILE_NAME_PATTERN.matcher(name);
        return matcher.matches() ? Long.parseLong(matcher.group(1)) : -1;
    }

    /** Returns whether a name is that of a state file whose writing has not been completed. */
    public static boolean isTemporaryFile(String name) {
        return name.endsWith(TEMPORARY_SUFFIX)
                && parseSequence(name.substring(0, name.length() - TEMPORARY_SUFFIX.length())) >= 0;
    }

    /**
     * Locks the directory and reads its newest valid file, on the thread of the store. The result
     * is null if another sidecar uses the directory or if it can't be read; the reason is logged.
     */
    public Future<LoadResult> openAsync() {
        return executor.submit(this::acquireAndLoad);
    }

    /**
     * Waits for the result of {@link #openAsync}. Returns null and logs the reason if it does not
     * arrive within the timeout or if reading failed.
     */
    public LoadResult awaitLoad(Future<LoadResult> load, long timeoutNs)
            throws InterruptedException {
        try {
            return load.get(timeoutNs, TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            log.accept(
                    "no state restored: reading "
                            + directory
                            + " took longer than "
                            + timeoutNs / 1_000_000
                            + " ms");
        } catch (ExecutionException e) {
            log.accept("no state restored: " + e.getCause());
        }
        return null;
    }

    private LoadResult acquireAndLoad() {
        try {
            return acquire() ? readNewest(directory, maxFileBytes, instance) : null;
        } catch (IOException e) {
            log.accept("no state restored: " + directory + ": " + e);
            return null;
        }
    }

    /**
     * Returns whether this store may write to the directory. The first successful call locks the
     * directory and deletes the temporary files that an earlier process left.
     */
    private boolean acquire() throws IOException {
        if (lock != null || disabled) {
            return !disabled;
        }
        List<String> names = directory.list();
        lock = directory.tryLock(LOCK_FILE_NAME);
        if (lock == null) {
            disabled = true;
            log.accept("off: another sidecar holds " + directory);
            return false;
        }
        lastSequence = highestSequence(names);
        for (String name : names) {
            if (isTemporaryFile(name)) {
                directory.delete(name);
            }
        }
        return true;
    }

    /** Returns the highest sequence number among the file names; 0 if there is none. */
    private static long highestSequence(List<String> names) {
        return names.stream()
                .mapToLong(StateStore::parseSequence)
                .filter(n -> n >= 0)
                .max()
                .orElse(0);
    }

    /**
     * Returns the newest valid file of a directory.
     *
     * @param instance the name of the sidecar that wrote the file; null for any
     */
    public static LoadResult readNewest(Directory directory, long maxFileBytes, String instance)
            throws IOException {
        List<String> names = new ArrayList<>(directory.list());
        names.removeIf(n -> parseSequence(n) < 0);
        Collections.reverse(names);
        List<String> notes = new ArrayList<>();
        for (String name : names) {
            try {
                StateSnapshot snapshot = readFile(directory, name, maxFileBytes, notes::add);
                if (instance != null && !snapshot.header().instance().equals(instance)) {
                    notes.add(
                            name
                                    + ": belongs to "
                                    + snapshot.header().instance()
                                    + ", not to "
                                    + instance);
                } else {
                    return new LoadResult(name, snapshot, notes);
                }
            } catch (StateFileException e) {
                notes.add(e.getMessage());
            }
        }
        return new LoadResult(null, null, notes);
    }

    /**
     * Reads and checks one file.
     *
     * @param onSkippedSection receives a line for each section that this program does not know
     */
    public static StateSnapshot readFile(
            Directory directory, String name, long maxFileBytes, Consumer<String> onSkippedSection)
            throws StateFileException {
        byte[] bytes;
        try {
            bytes = directory.read(name, maxFileBytes);
        } catch (Directory.FileTooLargeException e) {
            throw new StateFileException(StateFileException.Kind.TOO_LARGE, e.getMessage());
        } catch (IOException e) {
            throw new StateFileException(
                    StateFileException.Kind.UNREADABLE, name + ": can't be read: " + e);
        }
        return StateFileFormat.decode(
                name, bytes, section -> onSkippedSection.accept(name + ": skipped " + section));
    }

    /**
     * Queues a snapshot to be written; called on the event loop. The store assigns its sequence
     * number. Returns false if a job is running and another one waits already: the disk is slow,
     * and the snapshot is dropped.
     */
    public boolean offer(StateSnapshot snapshot) {
        try {
            executor.execute(() -> write(snapshot));
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    /**
     * Returns whether no job is running or waiting. While one is, capturing a snapshot is of little
     * use, as it may be dropped.
     */
    public boolean isIdle() {
        return executor.getActiveCount() == 0 && executor.getQueue().isEmpty();
    }

    /** Waits until all snapshots offered before have been written or have failed; for tests. */
    void awaitPendingWrites() throws InterruptedException, ExecutionException {
        for (boolean isDone = false; !isDone; ) {
            try {
                executor.submit(() -> {}).get();
                isDone = true;
            } catch (RejectedExecutionException e) {
                Thread.sleep(1);
            }
        }
    }

    /**
     * Waits until the queued snapshots are written, then releases the lock. After the timeout it
     * logs a line and returns, and the lock stays until the process ends.
     */
    public void close(long timeoutNs) throws InterruptedException {
        executor.shutdown();
        if (executor.awaitTermination(timeoutNs, TimeUnit.NANOSECONDS)) {
            unlock();
        } else {
            log.accept("the last write was not done within " + timeoutNs / 1_000_000 + " ms");
        }
    }

    private void unlock() {
        try {
            if (lock != null) {
                lock.close();
            }
        } catch (IOException e) {
            // The lock is released when the process ends.
        }
    }

    private void write(StateSnapshot snapshot) {
        try {
            if (!acquire()) {
                return;
            }
            List<String> names = directory.list();
            long newestSequence = highestSequence(names);
            if (newestSequence > lastSequence) {
                // File locks may not work across machines. Further writes would mix the state of
                // two sidecars.
                disabled = true;
                log.accept(
                        "off: another sidecar writes to "
                                + directory
                                + ": "
                                + fileName(newestSequence));
                return;
            }
            byte[] bytes = StateFileFormat.encode(snapshot.withSequence(lastSequence + 1));
            if (bytes.length > maxFileBytes) {
                logProblemOnce(
                        "snapshot not written: "
                                + bytes.length
                                + " bytes, more than the maximum of "
                                + maxFileBytes);
                return;
            }
            // The number is used up even if the write fails, as its file may exist all the same.
            writeFile(fileName(++lastSequence), bytes);
            prune(names);
            logProblemOnce("");
        } catch (IOException | RuntimeException e) {
            logProblemOnce("snapshot not written: " + directory + ": " + e);
        }
    }

    private void writeFile(String name, byte[] bytes) throws IOException {
        String temporaryName = name + TEMPORARY_SUFFIX;
        try (Directory.FileOutput out = directory.create(temporaryName)) {
            for (int offset = 0; offset < bytes.length; offset += WRITE_CHUNK_BYTES) {
                out.write(
                        ByteBuffer.wrap(
                                bytes, offset, Math.min(WRITE_CHUNK_BYTES, bytes.length - offset)));
            }
            out.force();
        }
        directory.rename(temporaryName, name);
        directory.forceDirectory();
    }

    /**
     * Deletes files beyond the retained ones. Called only after a new file has been forced, so that
     * a failed write never reduces the number of valid files.
     */
    private void prune(List<String> names) throws IOException {
        for (String name : names) {
            if (parseSequence(name) >= 0
                    && parseSequence(name) <= lastSequence - retainedFileCount) {
                directory.delete(name);
            }
        }
    }

    /**
     * Logs a problem unless it equals the last one, and logs a recovery once if the problem is
     * empty. A line at every failed write would carry no further information.
     */
    private void logProblemOnce(String problem) {
        if (!problem.equals(loggedProblem)) {
            loggedProblem = problem;
            log.accept(
                    problem.isEmpty()
                            ? "snapshots are written again, the last one as "
                                    + fileName(lastSequence)
                            : problem);
        }
    }
}
