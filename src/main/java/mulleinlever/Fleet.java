package mulleinlever;

import java.util.List;
import java.util.function.Predicate;

/** Pods that a req may be sent among, and those of them that are near. */
record Fleet(List<Pod> all, List<Pod> near) {
    static final Fleet NONE = new Fleet(List.of(), List.of());

    static Fleet of(List<Pod> pods, Predicate<Pod> some, String zone) {
        List<Pod> all = pods.stream().filter(some).toList();
        return new Fleet(all, all.stream().filter(p -> p.is.zone().equals(zone)).toList());
    }
}
