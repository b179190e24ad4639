package mulleinlever;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The newest build that has answered a req of each one-way key. Used by {@link Policy} on the event
 * loop.
 */
final class BuildByKey {
    private final Map<Long, Integer> newestBuilds = new HashMap<>();

    /**
     * The keys in the order of their first answers, so that positions do not change while a
     * snapshot is collected in parts.
     */
    private long[] keysInOrder = new long[16];

    private int maxKeys = Integer.MAX_VALUE;

    /** The position of the oldest key once the maximum number is reached. */
    private int oldestPosition;

    /** Sets the number of keys above which the oldest are dropped; called before the first. */
    void limitKeys(int newMaxKeys) {
        maxKeys = newMaxKeys;
    }

    /** Returns the newest build that has answered the key, or 0 if none has. */
    int newestBuildOf(long key) {
        return newestBuilds.getOrDefault(key, 0);
    }

    void recordAnswer(long key, int build) {
        int oldSize = newestBuilds.size();
        newestBuilds.merge(key, build, Math::max);
        if (newestBuilds.size() == oldSize) {
            return;
        }
        if (oldSize < maxKeys) {
            append(oldSize, key);
        } else {
            replaceOldest(key);
        }
    }

    private void append(int position, long key) {
        if (position == keysInOrder.length) {
            keysInOrder = Arrays.copyOf(keysInOrder, 2 * position);
        }
        keysInOrder[position] = key;
    }

    private void replaceOldest(long key) {
        newestBuilds.remove(keysInOrder[oldestPosition]);
        keysInOrder[oldestPosition] = key;
        oldestPosition = (oldestPosition + 1) % maxKeys;
    }

    Stream<LearnedState> toLearned() {
        return IntStream.range(0, newestBuilds.size())
                .mapToObj(
                        i ->
                                new LearnedState.KeyBuild(
                                        keysInOrder[i], newestBuildOf(keysInOrder[i])));
    }
}
