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

    /** Returns the newest build that has answered the key, or 0 if none has. */
    int newestBuildOf(long key) {
        return newestBuilds.getOrDefault(key, 0);
    }

    void recordAnswer(long key, int build) {
        int oldSize = newestBuilds.size();
        newestBuilds.merge(key, build, Math::max);
        if (newestBuilds.size() > oldSize) {
            keysInOrder =
                    oldSize < keysInOrder.length
                            ? keysInOrder
                            : Arrays.copyOf(keysInOrder, 2 * oldSize);
            keysInOrder[oldSize] = key;
        }
    }

    Stream<LearnedState> toLearned() {
        return IntStream.range(0, newestBuilds.size())
                .mapToObj(
                        i ->
                                new LearnedState.KeyBuild(
                                        keysInOrder[i], newestBuildOf(keysInOrder[i])));
    }
}
