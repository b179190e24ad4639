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

    private static final class Content {
        private byte[] forced = new byte[0];
        private final ByteArrayOutputStream now = new ByteArrayOutputStream();

        /** Where each write since the last force began. */
        private final List<Integer> writes = new ArrayList<>();
    }

    /**
     * A change of names that a force has not made sure yet: a file given a name, or a name taken
     * away, or both.
     */
    private record Naming(String gone, String name, Content content) {}

    private final SplittableRandom random;
    private final TreeMap<String, Content> names = new TreeMap<>();
    private final TreeMap<String, Content> forcedNames = new TreeMap<>();
    private final List<Naming> namings = new ArrayList<>();
    private final List<String> locked = new ArrayList<>();
    private Fault trouble;
    private int troubleAt = -1;
    private int calls;
    private boolean crashed;
    private CountDownLatch hung;

    public FaultInjectingDirectory(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /**
     * Lets trouble befall the call of that number, counted from 0 over all calls that touch the
     * disk.
     */
    public synchronized void injectFault(Fault what, int atCall) {
        trouble = what;
        troubleAt = atCall;
    }

    /** How many calls there were. */
    public synchronized int callCount() {
        return calls;
    }

    /** Whether the process that used it has ended. */
    public synchronized boolean hasCrashed() {
        return crashed;
    }

    /** From now on calls wait until {@link #unblockCalls}. */
    public synchronized void blockCalls() {
        hung = new CountDownLatch(1);
    }

    public synchronized void unblockCalls() {
        hung.countDown();
        hung = null;
    }

    /** What another start finds after a crash now: this disk is not changed by it. */
    public synchronized FaultInjectingDirectory copyAfterCrash(long seed) {
        FaultInjectingDirectory next = new FaultInjectingDirectory(seed);
        TreeMap<String, Content> left = new TreeMap<>(forcedNames);
        for (Naming n : namings) {
            if (next.random.nextBoolean()) {
                rename(left, n);
            }
        }
        left.forEach(
                (name, content) -> {
                    Content c = new Content();
                    c.forced = survives(content, next.random);
                    c.now.writeBytes(c.forced);
                    next.names.put(name, c);
                    next.forcedNames.put(name, c);
                });
        return next;
    }

    private static byte[] survives(Content c, SplittableRandom random) {
        byte[] all = c.now.toByteArray();
        byte[] left = Arrays.copyOf(c.forced, all.length);
        int length = c.forced.length;
        for (int i = 0; i < c.writes.size(); i++) {
            int from = c.writes.get(i);
            int to = i + 1 < c.writes.size() ? c.writes.get(i + 1) : all.length;
            int some =
                    switch (random.nextInt(3)) {
                        case 0 -> from;
                        case 1 -> to;
                        default -> from + random.nextInt(to - from + 1);
                    };
            System.arraycopy(all, from, left, from, some - from);
            // The length may be on the disk before the bytes are: what lies between reads as zeros.
            length = some > from ? Math.max(length, random.nextBoolean() ? some : to) : length;
        }
        return Arrays.copyOf(left, length);
    }

    private static void rename(TreeMap<String, Content> in, Naming n) {
        if (n.gone != null) {
            in.remove(n.gone);
        }
        if (n.name != null) {
            in.put(n.name, n.content);
        }
    }

    private void change(Naming n) {
        rename(names, n);
        namings.add(n);
    }

    /** Whether this call is to be torn; other trouble is thrown. */
    private boolean touch(String what) throws IOException {
        CountDownLatch until;
        synchronized (this) {
            until = hung;
        }
        if (until != null) {
            try {
                until.await();
            } catch (InterruptedException e) {
                throw new IOException("interrupted", e);
            }
        }
        synchronized (this) {
            if (crashed) {
                throw new SimulatedCrashError();
            }
            if (calls++ != troubleAt) {
                return false;
            }
            switch (trouble) {
                case IO_ERROR -> throw new IOException(what + ": Input/output error");
                case NO_SPACE -> throw new IOException(what + ": No space left on device");
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
    private synchronized void mayEndHere() {
        if (crashed) {
            throw new SimulatedCrashError();
        }
    }

    @Override
    public List<String> list() throws IOException {
        touch("list");
        mayEndHere();
        synchronized (this) {
            return List.copyOf(names.keySet());
        }
    }

    @Override
    public byte[] read(String name, long most) throws IOException {
        touch(name);
        mayEndHere();
        synchronized (this) {
            Content c = names.get(name);
            if (c == null) {
                throw new NoSuchFileException(name);
            }
            if (c.now.size() > most) {
                throw new FileTooLargeException(name, c.now.size(), most);
            }
            return c.now.toByteArray();
        }
    }

    /** Puts a file there as it stands, forced. */
    public synchronized void addForcedFile(String name, byte[] bytes) {
        Content c = new Content();
        c.forced = bytes.clone();
        c.now.writeBytes(bytes);
        names.put(name, c);
        forcedNames.put(name, c);
    }

    @Override
    public FileOutput create(String name) throws IOException {
        touch(name);
        Content c = new Content();
        synchronized (this) {
            change(new Naming(null, name, c));
        }
        mayEndHere();
        return new FileOutput() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                boolean torn = touch(name);
                synchronized (FaultInjectingDirectory.this) {
                    byte[] all = new byte[torn ? bytes.remaining() / 2 : bytes.remaining()];
                    bytes.get(all);
                    c.writes.add(c.now.size());
                    c.now.writeBytes(all);
                }
                mayEndHere();
                if (torn) {
                    throw new IOException(name + ": Input/output error");
                }
            }

            @Override
            public void force() throws IOException {
                touch(name);
                mayEndHere();
                synchronized (FaultInjectingDirectory.this) {
                    c.forced = c.now.toByteArray();
                    c.writes.clear();
                }
            }

            @Override
            public void close() throws IOException {
                touch(name);
                mayEndHere();
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        touch(to);
        synchronized (this) {
            Content c = names.get(from);
            if (c == null) {
                throw new NoSuchFileException(from);
            }
            change(new Naming(from, to, c));
        }
        mayEndHere();
    }

    @Override
    public void delete(String name) throws IOException {
        touch(name);
        synchronized (this) {
            if (names.containsKey(name)) {
                change(new Naming(name, null, null));
            }
        }
        mayEndHere();
    }

    @Override
    public void forceDirectory() throws IOException {
        touch("folder");
        mayEndHere();
        synchronized (this) {
            forcedNames.clear();
            forcedNames.putAll(names);
            namings.clear();
        }
    }

    @Override
    public synchronized Closeable tryLock(String name) {
        if (locked.contains(name)) {
            return null;
        }
        locked.add(name);
        return () -> {
            synchronized (this) {
                locked.remove(name);
            }
        };
    }

    @Override
    public String toString() {
        return "faulty disk";
    }
}
