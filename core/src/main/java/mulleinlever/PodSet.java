package mulleinlever;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Pods that a req may be sent among, those of them that are near, and the weight of all. */
record PodSet(List<Pod> all, List<Pod> local, double totalWeight) {
    private PodSet(List<Pod> all, List<Pod> local) {
        this(all, local, all.stream().mapToDouble(p -> p.listEntry.weight()).sum());
    }

    PodSet(List<Pod> all, String zone) {
        this(all, all.stream().filter(p -> p.listEntry.zone().equals(zone)).toList());
    }

    PodSet filter(Predicate<Pod> predicate) {
        return new PodSet(
                all.stream().filter(predicate).toList(), local.stream().filter(predicate).toList());
    }

    /**
     * One at random of those that fit, by a few looks; all are gone through only if none of these
     * does.
     */
    static Pod pickRandom(
            List<Pod> pods, SplittableRandom random, int drawCount, Predicate<Pod> predicate) {
        int index = 0;
        for (int i = 0; i < drawCount + pods.size() && !pods.isEmpty(); i++) {
            index = i < drawCount ? random.nextInt(pods.size()) : (index + 1) % pods.size();
            if (predicate.test(pods.get(index))) {
                return pods.get(index);
            }
        }
        return null;
    }

    long count(Predicate<Pod> predicate) {
        return all.stream().filter(predicate).count();
    }
}
