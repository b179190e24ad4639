package mulleinlever;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The newest build that has answered each key; 0 for keys that none has. */
final class BuildByKey {
    private final Map<Long, Integer> newestBuilds = new HashMap<>();

    /**
     * In the order in which they first came, so that what is given out in pieces stays in place
     * meanwhile.
     */
    private long[] keysInOrder = new long[16];

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
