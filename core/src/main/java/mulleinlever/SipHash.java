package mulleinlever;

import java.util.SplittableRandom;

/**
 * The keyed hash function SipHash-2-4 with results of 64 bits (Jean-Philippe Aumasson and Daniel J.
 * Bernstein, "SipHash: a fast short-input PRF", 2012). Who doesn't know the key can't choose inputs
 * with the same hash. Immutable.
 */
public final class SipHash {
    private static final int BLOCK_BYTES = Long.BYTES;
    private static final int COMPRESSION_ROUNDS = 2;
    private static final int FINALIZATION_ROUNDS = 4;

    private final long key0;
    private final long key1;

    /** Creates a hash function with the key that consists of the two given halves. */
    public SipHash(long key0, long key1) {
        this.key0 = key0;
        this.key1 = key1;
    }

    /** Returns a hash function with a random key. */
    public static SipHash ofSeed(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return new SipHash(random.nextLong(), random.nextLong());
    }

    /** The internal state of one computation. */
    private static final class State {
        private long v0;
        private long v1;
        private long v2;
        private long v3;

        State(long key0, long key1) {
            v0 = key0 ^ 0x736f6d6570736575L;
            v1 = key1 ^ 0x646f72616e646f6dL;
            v2 = key0 ^ 0x6c7967656e657261L;
            v3 = key1 ^ 0x7465646279746573L;
        }

        private void runRounds(int count) {
            for (int i = 0; i < count; i++) {
                v0 += v1;
                v2 += v3;
                v1 = Long.rotateLeft(v1, 13) ^ v0;
                v3 = Long.rotateLeft(v3, 16) ^ v2;
                v0 = Long.rotateLeft(v0, 32);
                v2 += v1;
                v0 += v3;
                v1 = Long.rotateLeft(v1, 17) ^ v2;
                v3 = Long.rotateLeft(v3, 21) ^ v0;
                v2 = Long.rotateLeft(v2, 32);
            }
        }

        void addBlock(long block) {
            v3 ^= block;
            runRounds(COMPRESSION_ROUNDS);
            v0 ^= block;
        }

        long finish() {
            v2 ^= 0xff;
            runRounds(FINALIZATION_ROUNDS);
            return v0 ^ v1 ^ v2 ^ v3;
        }
    }

    /** Returns the hash of the given bytes. */
    public long hash(byte[] bytes) {
        State state = new State(key0, key1);
        int lastBlockStart = bytes.length - bytes.length % BLOCK_BYTES;
        for (int i = 0; i < lastBlockStart; i += BLOCK_BYTES) {
            state.addBlock(littleEndian(bytes, i, BLOCK_BYTES));
        }
        // The last block holds the remaining bytes and, in its highest byte, the length.
        long length = (long) bytes.length << Long.SIZE - Byte.SIZE;
        state.addBlock(length | littleEndian(bytes, lastBlockStart, bytes.length - lastBlockStart));
        return state.finish();
    }

    /** Returns the hash of a text, by the two bytes of each of its characters. */
    long hash(String text) {
        byte[] bytes = new byte[Character.BYTES * text.length()];
        for (int i = 0; i < text.length(); i++) {
            bytes[Character.BYTES * i] = (byte) text.charAt(i);
            bytes[Character.BYTES * i + 1] = (byte) (text.charAt(i) >>> Byte.SIZE);
        }
        return hash(bytes);
    }

    private static long littleEndian(byte[] bytes, int start, int count) {
        long value = 0;
        for (int i = 0; i < count; i++) {
            value |= (bytes[start + i] & 0xffL) << Byte.SIZE * i;
        }
        return value;
    }
}
