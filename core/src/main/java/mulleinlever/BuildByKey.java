package mulleinlever;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The newest build that has answered each key; 0 for keys that none has. */
final class BuildByKey {
    private final Map<Long, Integer> builds = new HashMap<>();

    /**
     * In the order in which they first came, so that what is given out in pieces stays in place
     * meanwhile.
     */
    private long[] keys = new long[16];

    int newestBuildOf(long key) {
        return builds.getOrDefault(key, 0);
    }

    void recordAnswer(long key, int build) {
        int n = builds.size();
        builds.merge(key, build, Math::max);
        if (builds.size() > n) {
            keys = n < keys.length ? keys : Arrays.copyOf(keys, 2 * n);
            keys[n] = key;
        }
    }

    Stream<LearnedState> toLearned() {
        return IntStream.range(0, builds.size())
                .mapToObj(i -> new LearnedState.KeyBuild(keys[i], newestBuildOf(keys[i])));
    }
}
