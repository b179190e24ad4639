package mulleinlever.state;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import mulleinlever.Learned;
import mulleinlever.News;
import mulleinlever.PodEntry;

/** Generated states. */
final class Sample {
    private Sample() {}

    static Kept kept(long seed, int pods) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Kept.OfPod> all = new ArrayList<>();
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
                    new Kept.OfPod(
                            "10.0.0." + i + ":6543",
                            new Learned.OfPod(
                                    is, figure(random), figure(random), random.nextInt(7))));
        }
        List<Learned> learned = new ArrayList<>();
        learned.add(new Learned.OfLinks(figure(random), figure(random)));
        for (String route : List.of("get", "put", "")) {
            if (!route.isEmpty()) {
                learned.add(new Learned.OfRoute(route, 42, figure(random), figure(random)));
            }
            learned.add(
                    new Learned.OfBaseline(
                            42,
                            route,
                            random.nextBoolean(),
                            random.nextDouble(),
                            random.nextDouble(),
                            random.nextInt(100)));
        }
        for (int i = random.nextInt(5); i > 0; i--) {
            learned.add(new Learned.OfKey(random.nextLong(), 40 + random.nextInt(3)));
        }
        // In the order in which sections hold them.
        learned.sort((a, b) -> Integer.compare(order(a), order(b)));
        return new Kept(
                new Kept.Head(
                        "0.0.1", "n3", "m-1", "a", random.nextLong(), 7, 1_790_000_000_000L, 41),
                new News(42, 1, News.Phase.values()[random.nextInt(4)], random.nextDouble(), 0),
                all,
                learned);
    }

    private static int order(Learned l) {
        return l instanceof Learned.OfLinks
                ? 0
                : l instanceof Learned.OfRoute ? 1 : l instanceof Learned.OfBaseline ? 2 : 3;
    }

    static Learned.Figure figure(SplittableRandom random) {
        return new Learned.Figure(
                random.nextDouble() * 9, random.nextInt(3) == 0 ? 0 : random.nextDouble() * 200);
    }
}
