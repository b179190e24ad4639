package mulleinlever.state;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import mulleinlever.RolloutStatus;

/** Generates snapshots for tests. The snapshots depend only on the arguments. */
final class SampleSnapshots {
    private SampleSnapshots() {}

    static StateSnapshot snapshot(long seed, int podCount) {
        SplittableRandom random = new SplittableRandom(seed);
        List<StateSnapshot.PodSnapshot> pods = new ArrayList<>();
        for (int i = 0; i < podCount; i++) {
            PodEntry entry =
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
            pods.add(
                    new StateSnapshot.PodSnapshot(
                            "10.0.0." + i + ":6543",
                            new LearnedState.PodStats(
                                    entry,
                                    randomMean(random),
                                    randomMean(random),
                                    random.nextInt(7))));
        }
        List<LearnedState> learnedValues = new ArrayList<>();
        learnedValues.add(new LearnedState.ConnectionStats(randomMean(random), randomMean(random)));
        for (String route : List.of("get", "put", "")) {
            if (!route.isEmpty()) {
                learnedValues.add(
                        new LearnedState.RouteStats(
                                route, 42, randomMean(random), randomMean(random)));
            }
            learnedValues.add(
                    new LearnedState.DetectorBaseline(
                            42,
                            route,
                            random.nextBoolean(),
                            random.nextDouble(),
                            random.nextDouble(),
                            random.nextInt(100)));
        }
        for (int i = random.nextInt(5); i > 0; i--) {
            learnedValues.add(new LearnedState.KeyBuild(random.nextLong(), 40 + random.nextInt(3)));
        }
        // A decoded snapshot has the values in the order of the sections.
        learnedValues.sort((a, b) -> Integer.compare(sectionOrder(a), sectionOrder(b)));
        return new StateSnapshot(
                new StateSnapshot.Header(
                        "0.0.1", "n3", "m-1", "a", random.nextLong(), 7, 1_790_000_000_000L, 41),
                new RolloutStatus(
                        42,
                        1,
                        RolloutStatus.Phase.values()[random.nextInt(4)],
                        random.nextDouble(),
                        0),
                pods,
                learnedValues);
    }

    private static int sectionOrder(LearnedState value) {
        return value instanceof LearnedState.ConnectionStats
                ? 0
                : value instanceof LearnedState.RouteStats
                        ? 1
                        : value instanceof LearnedState.DetectorBaseline ? 2 : 3;
    }

    static LearnedState.WeightedMean randomMean(SplittableRandom random) {
        return new LearnedState.WeightedMean(
                random.nextDouble() * 9, random.nextInt(3) == 0 ? 0 : random.nextDouble() * 200);
    }
}
