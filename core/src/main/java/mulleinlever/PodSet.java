package mulleinlever;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Pods that a req may be sent among, those of them that are near, and the weight of all. */
record PodSet(List<Pod> all, List<Pod> local, double totalWeight) {
    private PodSet(List<Pod> all, List<Pod> near) {
        this(all, near, all.stream().mapToDouble(p -> p.listEntry.weight()).sum());
    }

    PodSet(List<Pod> all, String zone) {
        this(all, all.stream().filter(p -> p.listEntry.zone().equals(zone)).toList());
    }

    PodSet filter(Predicate<Pod> some) {
        return new PodSet(all.stream().filter(some).toList(), local.stream().filter(some).toList());
    }

    /**
     * One at random of those that fit, by a few looks; all are gone through only if none of these
     * does.
     */
    static Pod pickRandom(List<Pod> from, SplittableRandom random, int looks, Predicate<Pod> fits) {
        int at = 0;
        for (int i = 0; i < looks + from.size() && !from.isEmpty(); i++) {
            at = i < looks ? random.nextInt(from.size()) : (at + 1) % from.size();
            if (fits.test(from.get(at))) {
                return from.get(at);
            }
        }
        return null;
    }

    long count(Predicate<Pod> some) {
        return all.stream().filter(some).count();
    }
}
