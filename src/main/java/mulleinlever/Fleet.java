package mulleinlever;

import java.util.List;
import java.util.function.Predicate;

/** Pods that a req may be sent among, and those of them that are near. */
record Fleet(List<Pod> all, List<Pod> near) {
    Fleet(List<Pod> all, String zone) {
        this(all, all.stream().filter(p -> p.is.zone().equals(zone)).toList());
    }

    Fleet only(Predicate<Pod> some) {
        return new Fleet(all.stream().filter(some).toList(), near.stream().filter(some).toList());
    }

    long count(Predicate<Pod> some) {
        return all.stream().filter(some).count();
    }

    double weight() {
        return all.stream().mapToDouble(p -> p.is.weight()).sum();
    }
}
