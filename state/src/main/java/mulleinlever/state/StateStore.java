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
 * Keeps one sidecar's state in a folder: reads the newest file that is whole, and writes new ones,
 * each under a name of its own and beside those before it. All of it happens on one thread of its
 * own; whoever hands something over never waits for the disk, and a disk that hangs costs freshness
 * and nothing else.
 *
 * <p>A file is written under another name, forced, renamed, and the folder forced: at each moment
 * the newest file that bears its name and was forced is whole.
 */
public final class StateStore {
    /** Pieces that a file is written in. */
    private static final int WRITE_CHUNK_BYTES = 1 << 16;

    private static final Pattern FILE_NAME_PATTERN = Pattern.compile("state-(\\d{12})\\.mls");
    private static final String TEMPORARY_SUFFIX = ".tmp";

    /** The file whose lock says that a sidecar uses the folder. */
    public static final String LOCK_FILE_NAME = "lock";

    /** What a read found: null where nothing was whole, and a line for each file passed over. */
    public record LoadResult(String fileName, StateSnapshot snapshot, List<String> skippedFiles) {}

    private final Directory directory;
    private final int retainedFileCount;
    private final long maxFileBytes;
    private final String instance;
    private final Consumer<String> log;
    private final ThreadPoolExecutor executor;
    private Closeable lock;
    private long lastSequence;
    private boolean isDisabled;
    private String loggedProblem = "";

    /**
     * @param retainedFileCount how many files stay
     * @param maxFileBytes the longest file that is read or written
     * @param instance whose files are taken
     * @param log hears one line for each thing worth telling, on the keeper's thread
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
        // One job may wait while one runs: what comes then is newer than what waits, but the next
        // will be newer still.
        this.executor =
                new ThreadPoolExecutor(
                        1,
                        1,
                        0,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(1),
                        job -> {
                            Thread t = new Thread(job, "state");
                            t.setDaemon(true);
                            t.setUncaughtExceptionHandler(
                                    (at, e) -> log.accept("a job ended: " + e));
                            return t;
                        });
    }

    /** The file's name for a sequence number. */
    public static String fileName(long sequence) {
        return String.format("state-%012d.mls", sequence);
    }

    /** The sequence number in a file's name; -1 where it is no such name. */
    public static long parseSequence(String name) {
        Matcher matcher = FILE_NAME_PATTERN.matcher(name);
        return matcher.matches() ? Long.parseLong(matcher.group(1)) : -1;
    }

    /** Whether a file of that name was being written when its writer ended. */
    public static boolean isTemporaryFile(String name) {
        return name.endsWith(TEMPORARY_SUFFIX)
                && parseSequence(name.substring(0, name.length() - TEMPORARY_SUFFIX.length())) >= 0;
    }

    /** Takes the lock and reads the newest whole file, on the keeper's thread. */
    public Future<LoadResult> openAsync() {
        return executor.submit(this::acquireAndLoad);
    }

    /**
     * What {@link #openAsync} found, if it is done within a time; else null, and the log hears why.
     */
    public LoadResult awaitLoad(Future<LoadResult> load, long timeoutNs)
            throws InterruptedException {
        try {
            return load.get(timeoutNs, TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            log.accept(
                    "nothing taken: reading "
                            + directory
                            + " took longer than "
                            + timeoutNs / 1_000_000
                            + " ms");
        } catch (ExecutionException e) {
            log.accept("nothing taken: " + e.getCause());
        }
        return null;
    }

    private LoadResult acquireAndLoad() {
        try {
            return acquire() ? readNewest(directory, maxFileBytes, instance) : null;
        } catch (IOException e) {
            log.accept("nothing taken: " + directory + ": " + e);
            return null;
        }
    }

    /**
     * Whether the folder is ours to write to; what a start before left unfinished is cleared away
     * first.
     */
    private boolean acquire() throws IOException {
        if (lock != null || isDisabled) {
            return !isDisabled;
        }
        List<String> names = directory.list();
        lock = directory.tryLock(LOCK_FILE_NAME);
        if (lock == null) {
            isDisabled = true;
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

    private static long highestSequence(List<String> names) {
        return names.stream()
                .mapToLong(StateStore::parseSequence)
                .filter(n -> n >= 0)
                .max()
                .orElse(0);
    }

    /** The newest whole file of a folder, that of an instance if one is named. */
    public static LoadResult readNewest(Directory directory, long maxFileBytes, String instance)
            throws IOException {
        List<String> names = new ArrayList<>(directory.list());
        names.removeIf(n -> parseSequence(n) < 0);
        Collections.reverse(names);
        List<String> skippedFiles = new ArrayList<>();
        for (String name : names) {
            try {
                StateSnapshot snapshot = readFile(directory, name, maxFileBytes, skippedFiles::add);
                if (instance != null && !snapshot.head().instance().equals(instance)) {
                    skippedFiles.add(
                            name
                                    + ": is of "
                                    + snapshot.head().instance()
                                    + ", not of "
                                    + instance);
                } else {
                    return new LoadResult(name, snapshot, skippedFiles);
                }
            } catch (StateFileException e) {
                skippedFiles.add(e.getMessage());
            }
        }
        return new LoadResult(null, null, skippedFiles);
    }

    /** One file, whole. */
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
                name, bytes, l -> onSkippedSection.accept(name + ": left out " + l));
    }

    /**
     * Hands over what is to be kept next; its sequence number is the keeper's to give. False where
     * the one before is still under way and another waits: the disk is slow, and this one is
     * dropped.
     */
    public boolean offer(StateSnapshot snapshot) {
        try {
            executor.execute(() -> write(snapshot));
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    /** Whether nothing is under way: what is captured meanwhile would only be dropped. */
    public boolean isIdle() {
        return executor.getActiveCount() == 0 && executor.getQueue().isEmpty();
    }

    /**
     * Waits until all that was handed over is done with; for tests, and for those that have time.
     */
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

    /** Lets what was handed over be written, for so long at most, and gives up the lock. */
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
            // It goes with the process.
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
                // A lock may not reach over machines; to write on would mix two sidecars' pasts.
                isDisabled = true;
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
                        "not written: " + bytes.length + " bytes, more than " + maxFileBytes);
                return;
            }
            // Taken even if the write fails: its name may be there all the same.
            writeFile(fileName(++lastSequence), bytes);
            prune(names);
            logProblemOnce("");
        } catch (IOException | RuntimeException e) {
            logProblemOnce("not written: " + directory + ": " + e);
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

    /** Those behind the newest go only when one more is sure to be there. */
    private void prune(List<String> names) throws IOException {
        for (String name : names) {
            if (parseSequence(name) >= 0
                    && parseSequence(name) <= lastSequence - retainedFileCount) {
                directory.delete(name);
            }
        }
    }

    /**
     * Once for each kind of trouble, and once when it is over: a line at every write would say no
     * more.
     */
    private void logProblemOnce(String problem) {
        if (!problem.equals(loggedProblem)) {
            loggedProblem = problem;
            log.accept(problem.isEmpty() ? "written again, as " + fileName(lastSequence) : problem);
        }
    }
}
