package mulleinlever;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * A set of pods that reqs may be sent to.
 *
 * @param localZone the pods of this set in the sidecar's own zone
 * @param totalWeight the sum of the weights of all pods
 */
record PodSet(List<Pod> all, List<Pod> localZone, double totalWeight) {
    private PodSet(List<Pod> all, List<Pod> local) {
        this(all, local, all.stream().mapToDouble(p -> p.listEntry.weight()).sum());
    }

    /**
     * @param zone the sidecar's own zone
     */
    PodSet(List<Pod> all, String zone) {
        this(all, all.stream().filter(p -> p.listEntry.zone().equals(zone)).toList());
    }

    PodSet filter(Predicate<Pod> predicate) {
        return new PodSet(
                all.stream().filter(predicate).toList(),
                localZone.stream().filter(predicate).toList());
    }

    /**
     * Returns a random pod that the predicate accepts, or null if there is none. If it accepts none
     * of the first {@code drawCount} random draws, all pods are tested in order.
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
