package mulleinlever.state;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import mulleinlever.RolloutStatus;

/** Generated states. */
final class SampleSnapshots {
    private SampleSnapshots() {}

    static StateSnapshot snapshot(long seed, int pods) {
        SplittableRandom random = new SplittableRandom(seed);
        List<StateSnapshot.PodSnapshot> all = new ArrayList<>();
        for (int i = 0; i < pods; i++) {
            PodEntry is =
                    new PodEntry(
                            "s-" + i,
                            random.nextBoolean() ? "a" : "b\u00e9",
                            "m" + random.nextInt(3),
                            i % 4,
                            40 + random.nextInt(3),
                            PodEntry.State.values()[random.nextInt(2)],
                            random.nextInt(1, 4),
                            random.nextInt(5) == 0
                                    ? 0
                                    : 1_790_000_000_000_000_000L + random.nextInt(1000));
            all.add(
                    new StateSnapshot.PodSnapshot(
                            "10.0.0." + i + ":6543",
                            new LearnedState.PodStats(
                                    is,
                                    randomFigure(random),
                                    randomFigure(random),
                                    random.nextInt(7))));
        }
        List<LearnedState> learned = new ArrayList<>();
        learned.add(new LearnedState.ConnectionStats(randomFigure(random), randomFigure(random)));
        for (String route : List.of("get", "put", "")) {
            if (!route.isEmpty()) {
                learned.add(
                        new LearnedState.RouteStats(
                                route, 42, randomFigure(random), randomFigure(random)));
            }
            learned.add(
                    new LearnedState.DetectorBaseline(
                            42,
                            route,
                            random.nextBoolean(),
                            random.nextDouble(),
                            random.nextDouble(),
                            random.nextInt(100)));
        }
        for (int i = random.nextInt(5); i > 0; i--) {
            learned.add(new LearnedState.KeyBuild(random.nextLong(), 40 + random.nextInt(3)));
        }
        // In the order in which sections hold them.
        learned.sort((a, b) -> Integer.compare(order(a), order(b)));
        return new StateSnapshot(
                new StateSnapshot.Header(
                        "0.0.1", "n3", "m-1", "a", random.nextLong(), 7, 1_790_000_000_000L, 41),
                new RolloutStatus(
                        42,
                        1,
                        RolloutStatus.Phase.values()[random.nextInt(4)],
                        random.nextDouble(),
                        0),
                all,
                learned);
    }

    private static int order(LearnedState l) {
        return l instanceof LearnedState.ConnectionStats
                ? 0
                : l instanceof LearnedState.RouteStats
                        ? 1
                        : l instanceof LearnedState.DetectorBaseline ? 2 : 3;
    }

    static LearnedState.WeightedMean randomFigure(SplittableRandom random) {
        return new LearnedState.WeightedMean(
                random.nextDouble() * 9, random.nextInt(3) == 0 ? 0 : random.nextDouble() * 200);
    }
}
