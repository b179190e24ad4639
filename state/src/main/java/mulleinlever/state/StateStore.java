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
    private static final int PIECE = 1 << 16;

    private static final Pattern NAME = Pattern.compile("state-(\\d{12})\\.mls");
    private static final String UNFINISHED = ".tmp";

    /** The file whose lock says that a sidecar uses the folder. */
    public static final String LOCK_FILE_NAME = "lock";

    /** What a read found: null where nothing was whole, and a line for each file passed over. */
    public record LoadResult(String fileName, StateSnapshot snapshot, List<String> skippedFiles) {}

    private final Directory disk;
    private final int keep;
    private final long mostBytes;
    private final String instance;
    private final Consumer<String> log;
    private final ThreadPoolExecutor thread;
    private Closeable lock;
    private long sequence;
    private boolean off;
    private String trouble = "";

    /**
     * @param keep how many files stay
     * @param mostBytes the longest file that is read or written
     * @param instance whose files are taken
     * @param log hears one line for each thing worth telling, on the keeper's thread
     */
    public StateStore(
            Directory disk, int keep, long mostBytes, String instance, Consumer<String> log) {
        this.disk = disk;
        this.keep = keep;
        this.mostBytes = mostBytes;
        this.instance = instance;
        this.log = log;
        // One job may wait while one runs: what comes then is newer than what waits, but the next
        // will be newer still.
        this.thread =
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
        Matcher m = NAME.matcher(name);
        return m.matches() ? Long.parseLong(m.group(1)) : -1;
    }

    /** Whether a file of that name was being written when its writer ended. */
    public static boolean isTemporaryFile(String name) {
        return name.endsWith(UNFINISHED)
                && parseSequence(name.substring(0, name.length() - UNFINISHED.length())) >= 0;
    }

    /** Takes the lock and reads the newest whole file, on the keeper's thread. */
    public Future<LoadResult> openAsync() {
        return thread.submit(this::begin);
    }

    /**
     * What {@link #openAsync} found, if it is done within a time; else null, and the log hears why.
     */
    public LoadResult awaitLoad(Future<LoadResult> opening, long withinNs)
            throws InterruptedException {
        try {
            return opening.get(withinNs, TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            log.accept(
                    "nothing taken: reading "
                            + disk
                            + " took longer than "
                            + withinNs / 1_000_000
                            + " ms");
        } catch (ExecutionException e) {
            log.accept("nothing taken: " + e.getCause());
        }
        return null;
    }

    private LoadResult begin() {
        try {
            return holds() ? readNewest(disk, mostBytes, instance) : null;
        } catch (IOException e) {
            log.accept("nothing taken: " + disk + ": " + e);
            return null;
        }
    }

    /**
     * Whether the folder is ours to write to; what a start before left unfinished is cleared away
     * first.
     */
    private boolean holds() throws IOException {
        if (lock != null || off) {
            return !off;
        }
        List<String> names = disk.list();
        lock = disk.tryLock(LOCK_FILE_NAME);
        if (lock == null) {
            off = true;
            log.accept("off: another sidecar holds " + disk);
            return false;
        }
        sequence = highest(names);
        for (String name : names) {
            if (isTemporaryFile(name)) {
                disk.delete(name);
            }
        }
        return true;
    }

    private static long highest(List<String> names) {
        return names.stream()
                .mapToLong(StateStore::parseSequence)
                .filter(n -> n >= 0)
                .max()
                .orElse(0);
    }

    /** The newest whole file of a folder, that of an instance if one is named. */
    public static LoadResult readNewest(Directory disk, long mostBytes, String instance)
            throws IOException {
        List<String> names = new ArrayList<>(disk.list());
        names.removeIf(n -> parseSequence(n) < 0);
        Collections.reverse(names);
        List<String> passedOver = new ArrayList<>();
        for (String name : names) {
            try {
                StateSnapshot kept = readFile(disk, name, mostBytes, passedOver::add);
                if (instance != null && !kept.head().instance().equals(instance)) {
                    passedOver.add(
                            name + ": is of " + kept.head().instance() + ", not of " + instance);
                } else {
                    return new LoadResult(name, kept, passedOver);
                }
            } catch (StateFileException e) {
                passedOver.add(e.getMessage());
            }
        }
        return new LoadResult(null, null, passedOver);
    }

    /** One file, whole. */
    public static StateSnapshot readFile(
            Directory disk, String name, long mostBytes, Consumer<String> leftOut)
            throws StateFileException {
        byte[] bytes;
        try {
            bytes = disk.read(name, mostBytes);
        } catch (Directory.FileTooLargeException e) {
            throw new StateFileException(StateFileException.Kind.TOO_LARGE, e.getMessage());
        } catch (IOException e) {
            throw new StateFileException(
                    StateFileException.Kind.UNREADABLE, name + ": can't be read: " + e);
        }
        return StateFileFormat.decode(name, bytes, l -> leftOut.accept(name + ": left out " + l));
    }

    /**
     * Hands over what is to be kept next; its sequence number is the keeper's to give. False where
     * the one before is still under way and another waits: the disk is slow, and this one is
     * dropped.
     */
    public boolean offer(StateSnapshot next) {
        try {
            thread.execute(() -> write(next));
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    /** Whether nothing is under way: what is captured meanwhile would only be dropped. */
    public boolean isIdle() {
        return thread.getActiveCount() == 0 && thread.getQueue().isEmpty();
    }

    /**
     * Waits until all that was handed over is done with; for tests, and for those that have time.
     */
    void awaitPendingWrites() throws InterruptedException, ExecutionException {
        for (boolean queued = false; !queued; ) {
            try {
                thread.submit(() -> {}).get();
                queued = true;
            } catch (RejectedExecutionException e) {
                Thread.sleep(1);
            }
        }
    }

    /** Lets what was handed over be written, for so long at most, and gives up the lock. */
    public void close(long withinNs) throws InterruptedException {
        thread.shutdown();
        if (thread.awaitTermination(withinNs, TimeUnit.NANOSECONDS)) {
            unlock();
        } else {
            log.accept("the last write was not done within " + withinNs / 1_000_000 + " ms");
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

    private void write(StateSnapshot next) {
        try {
            if (!holds()) {
                return;
            }
            List<String> names = disk.list();
            long there = highest(names);
            if (there > sequence) {
                // A lock may not reach over machines; to write on would mix two sidecars' pasts.
                off = true;
                log.accept("off: another sidecar writes to " + disk + ": " + fileName(there));
                return;
            }
            byte[] bytes = StateFileFormat.encode(next.withSequence(sequence + 1));
            if (bytes.length > mostBytes) {
                tell("not written: " + bytes.length + " bytes, more than " + mostBytes);
                return;
            }
            // Taken even if the write fails: its name may be there all the same.
            put(fileName(++sequence), bytes);
            prune(names);
            tell("");
        } catch (IOException | RuntimeException e) {
            tell("not written: " + disk + ": " + e);
        }
    }

    private void put(String name, byte[] bytes) throws IOException {
        String unfinished = name + UNFINISHED;
        try (Directory.FileOutput out = disk.create(unfinished)) {
            for (int at = 0; at < bytes.length; at += PIECE) {
                out.write(ByteBuffer.wrap(bytes, at, Math.min(PIECE, bytes.length - at)));
            }
            out.force();
        }
        disk.rename(unfinished, name);
        disk.forceDirectory();
    }

    /** Those behind the newest go only when one more is sure to be there. */
    private void prune(List<String> before) throws IOException {
        for (String name : before) {
            if (parseSequence(name) >= 0 && parseSequence(name) <= sequence - keep) {
                disk.delete(name);
            }
        }
    }

    /**
     * Once for each kind of trouble, and once when it is over: a line at every write would say no
     * more.
     */
    private void tell(String now) {
        if (!now.equals(trouble)) {
            trouble = now;
            log.accept(now.isEmpty() ? "written again, as " + fileName(sequence) : now);
        }
    }
}
