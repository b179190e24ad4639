package mulleinlever.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import mulleinlever.Learned;
import mulleinlever.PodEntry;
import mulleinlever.Settings;
import mulleinlever.disk.FaultyDisk;
import mulleinlever.lab.emu.EmuPod;
import mulleinlever.lab.emu.EmuSettings;
import mulleinlever.lab.emu.EmuSidecar;
import mulleinlever.lab.emu.World;
import mulleinlever.state.Ageing;
import mulleinlever.state.Capture;
import mulleinlever.state.Keeper;
import mulleinlever.state.Kept;
import mulleinlever.state.Taking;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * What a restarted sidecar loses by what it remembers. A fleet with a tenth of its pods slow and a
 * tenth hung runs in virtual time; one sidecar or all of them end and start again two seconds
 * later, with nothing, with what they kept, with what they kept while other pods have fallen sick,
 * with what is old, or with a file that is corrupt.
 */
@Command(
        name = "restarts",
        mixinStandardHelpOptions = true,
        description =
                "What a restarted sidecar loses, cold and with what it kept, in an emulated fleet.")
final class Restarts implements Callable<Integer> {
    private static final long SECOND = 1_000_000_000L;
    private static final long START = 1_790_000_000L * SECOND;
    private static final long RUN_IN = 20 * SECOND;
    private static final long DOWN = 2 * SECOND;
    private static final long[] WINDOWS = {SECOND, 5 * SECOND, 15 * SECOND};

    /** Sick pods recover and others fall sick, each after so long on average. */
    private static final double SICK_FOR_S = 300;

    private static final int COLD_PODS = 5;

    @Option(names = "--seeds", description = "Runs of each row (${DEFAULT-VALUE}).")
    private int seeds = 20;

    @Option(names = "--seed", description = "The first run's seed (${DEFAULT-VALUE}).")
    private long firstSeed = 1;

    @Option(names = "--pods", description = "Pods, of two cores each (${DEFAULT-VALUE}).")
    private int pods = 100;

    @Option(names = "--sidecars", description = "Sidecars (${DEFAULT-VALUE}).")
    private int sidecars = 20;

    @Option(
            names = "--load",
            description =
                    "Reqs, as a part of what the pods that are well can do (${DEFAULT-VALUE}).")
    private double load = 0.85;

    /**
     * What a sidecar starts from.
     *
     * @param remembers whether it has what it kept
     * @param olderNs how long before the usual that was captured
     * @param changed the part of the sick pods that others have taken the place of since
     * @param meanwhile whether they did so while the sidecar was down, so that nobody knows it yet;
     *     else all others do
     */
    private record Start(
            String name,
            boolean restarts,
            boolean remembers,
            boolean corrupt,
            long olderNs,
            double changed,
            boolean meanwhile) {
        static Start kept(String name, boolean corrupt, long olderS, double changed) {
            return new Start(name, true, true, corrupt, olderS * SECOND, changed, false);
        }
    }

    /**
     * Of the reqs that came within each window after the start, how many did not complete in time.
     */
    private static final class Count {
        private final long[] asked = new long[WINDOWS.length];
        private final long[] lost = new long[WINDOWS.length];
        private double mostToCold;

        private double share(int window) {
            return asked[window] == 0 ? 0 : (double) lost[window] / asked[window];
        }
    }

    private static double changedWithin(double seconds) {
        return 1 - Math.exp(-seconds / SICK_FOR_S);
    }

    private static List<Start> starts() {
        List<Start> all = new ArrayList<>();
        all.add(new Start("not restarted", false, false, false, 0, 0, false));
        all.add(new Start("cold", true, false, false, 0, 0, false));
        all.add(Start.kept("remembered", false, 0, 0));
        all.add(Start.kept("wrong: other pods are sick", false, 0, 1));
        all.add(Start.kept("stale by 5 s", false, 5, changedWithin(5)));
        all.add(Start.kept("stale by 1 min", false, 60, changedWithin(60)));
        all.add(Start.kept("stale by 1 h", false, 3600, changedWithin(3600)));
        all.add(Start.kept("stale by 3 days", false, 3 * 86_400, 1));
        all.add(Start.kept("corrupt", true, 0, 0));
        all.add(new Start("all sick pods change meanwhile", false, false, false, 0, 1, true));
        all.add(new Start("  the same, cold", true, false, false, 0, 1, true));
        all.add(new Start("  the same, remembered", true, true, false, 0, 1, true));
        return all;
    }

    @Override
    public Integer call() throws InterruptedException, ExecutionException {
        System.out.printf(
                Locale.ROOT,
                "%d pods of 2 cores, a tenth slow and a tenth hung; %d sidecars; load %.2f; %d runs a row "
                        + "from seed %d; virtual time%n",
                pods,
                sidecars,
                load,
                seeds,
                firstSeed);
        ExecutorService cores =
                Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
        try {
            for (boolean all : new boolean[] {false, true}) {
                System.out.printf(
                        "%n%s%n%-32s %23s %23s %23s %10s%n",
                        all ? "All sidecars restart at once" : "One sidecar restarts",
                        "share lost, and its spread",
                        "first 1 s",
                        "first 5 s",
                        "first 15 s",
                        "cold pods");
                List<Start> starts = starts();
                List<List<Future<Count>>> rows = new ArrayList<>();
                for (Start s : starts) {
                    rows.add(
                            IntStream.range(0, seeds)
                                    .mapToObj(i -> cores.submit(() -> run(firstSeed + i, s, all)))
                                    .toList());
                }
                for (int i = 0; i < starts.size(); i++) {
                    System.out.println(row(starts.get(i).name, rows.get(i)));
                }
            }
        } finally {
            cores.shutdownNow();
        }
        return 0;
    }

    private static String row(String name, List<Future<Count>> runs)
            throws InterruptedException, ExecutionException {
        StringBuilder s = new StringBuilder(String.format("%-32s", name));
        List<Count> counts = new ArrayList<>();
        for (Future<Count> f : runs) {
            counts.add(f.get());
        }
        for (int w = 0; w < WINDOWS.length; w++) {
            int window = w;
            double[] shares = counts.stream().mapToDouble(c -> c.share(window)).toArray();
            double mean = Arrays.stream(shares).average().orElse(0);
            double error =
                    Math.sqrt(
                            Arrays.stream(shares).map(x -> (x - mean) * (x - mean)).sum()
                                    / Math.max(1, shares.length - 1)
                                    / shares.length);
            s.append(String.format(Locale.ROOT, "       %7.4f +- %6.4f", mean, error));
        }
        s.append(
                String.format(
                        Locale.ROOT,
                        " %9.2f",
                        counts.stream().mapToDouble(c -> c.mostToCold).max().orElse(0)));
        return s.toString();
    }

    private Count run(long seed, Start how, boolean all)
            throws InterruptedException, ExecutionException {
        Count count = new Count();
        long back = START + RUN_IN + DOWN;
        World.Size size =
                new World.Size(
                        pods,
                        2,
                        sidecars,
                        List.of("a", "b"),
                        List.of(
                                new World.Traffic(
                                        EmuSettings.route(
                                                "read", Settings.Repeat.RETRIABLE, 150, 1000, 1),
                                        0.7,
                                        10_000_000,
                                        30_000_000),
                                new World.Traffic(
                                        EmuSettings.route(
                                                "write", Settings.Repeat.DEDUPED, 100, 800, 3),
                                        0.3,
                                        5_000_000,
                                        15_000_000)),
                        0);
        World.Size loaded =
                new World.Size(
                        size.pods(),
                        size.cores(),
                        size.sidecars(),
                        size.zones(),
                        size.traffic(),
                        load * 0.8 * size.capacity());
        World world =
                new World(
                        loaded,
                        seed,
                        START,
                        (sidecar, route, askedNs, tookNs, answer) -> {
                            if (askedNs < back || !all && sidecar != 0) {
                                return;
                            }
                            boolean lost =
                                    answer != EmuSidecar.Answer.COMPLETED
                                            || tookNs > route.objectiveNs();
                            for (int w = 0; w < WINDOWS.length; w++) {
                                if (askedNs < back + WINDOWS[w]) {
                                    count.asked[w]++;
                                    count.lost[w] += lost ? 1 : 0;
                                }
                            }
                        });
        SplittableRandom random = new SplittableRandom(seed);
        int[] sick = drawn(random, pods, pods / 5);
        sicken(world, sick);
        List<Integer> restarted = IntStream.range(0, all ? sidecars : 1).boxed().toList();
        long captured = START + RUN_IN - random.nextLong(10 * SECOND);
        Map<Integer, FaultyDisk> disks = new HashMap<>();
        if (how.remembers) {
            // As it was then: a world of its own, in which other pods were sick.
            World then =
                    new World(loaded, seed, START, (sidecar, route, askedNs, tookNs, answer) -> {});
            sicken(then, sick);
            change(then, sick, how.meanwhile ? 0 : how.changed, new SplittableRandom(seed + 1));
            then.agenda().runUntil(captured);
            for (int i : restarted) {
                disks.put(i, keep(then, i, how));
            }
        }
        world.agenda().runUntil(START + RUN_IN);
        if (how.restarts) {
            restarted.forEach(world::kill);
        }
        world.agenda().runUntil(START + RUN_IN + DOWN / 2);
        change(world, sick, how.meanwhile ? how.changed : 0, random);
        world.agenda().runUntil(back);
        List<EmuPod> cold = world.pods().subList(pods - COLD_PODS, pods);
        cold.forEach(world::restart);
        for (int i : restarted) {
            if (how.restarts) {
                EmuSidecar s = world.start(i);
                if (how.remembers) {
                    recall(world, i, s, disks.get(i));
                }
            }
        }
        watchCold(world, cold, count, back);
        world.agenda().runUntil(back + WINDOWS[WINDOWS.length - 1] + 2 * SECOND);
        return count;
    }

    /**
     * The busiest second of each cold pod, against what it could do then; at 3 it would fall over.
     */
    private static void watchCold(World world, List<EmuPod> cold, Count count, long from) {
        long step = SECOND / 10;
        Map<EmuPod, long[]> before = new HashMap<>();
        cold.forEach(p -> before.put(p, new long[12]));
        for (int k = 0; k < 40; k++) {
            int at = k;
            world.agenda()
                    .at(
                            from + k * step,
                            () ->
                                    cold.forEach(
                                            p -> {
                                                long[] seen = before.get(p);
                                                seen[at % 11] = p.arrived();
                                                if (at >= 10) {
                                                    long lately = p.arrived() - seen[(at + 1) % 11];
                                                    double age = (at - 5) / 40.0;
                                                    double can =
                                                            (0.3 + 0.7 * age)
                                                                    * 2
                                                                    * 1e9
                                                                    / 17_000_000;
                                                    count.mostToCold =
                                                            Math.max(
                                                                    count.mostToCold, lately / can);
                                                }
                                            }));
        }
    }

    private static int[] drawn(SplittableRandom random, int of, int n) {
        List<Integer> all =
                IntStream.range(0, of - COLD_PODS)
                        .boxed()
                        .collect(Collectors.toCollection(ArrayList::new));
        int[] drawn = new int[n];
        for (int i = 0; i < n; i++) {
            drawn[i] = all.remove(random.nextInt(all.size()));
        }
        return drawn;
    }

    /** The first half of them is slow, the second hung. */
    private static void sicken(World world, int[] sick) {
        List<EmuPod> pods = world.pods();
        for (int i = 0; i < sick.length; i++) {
            sicken(pods.get(sick[i]), i < sick.length / 2);
        }
    }

    private static void sicken(EmuPod pod, boolean slow) {
        if (slow) {
            pod.speed(0.2);
        } else {
            pod.hangs(true);
        }
    }

    /** Each sick pod recovers by chance, and another falls sick in its place. */
    private static void change(World world, int[] sick, double part, SplittableRandom random) {
        List<EmuPod> pods = world.pods();
        List<Integer> well =
                IntStream.range(0, pods.size() - COLD_PODS)
                        .boxed()
                        .filter(i -> Arrays.stream(sick).noneMatch(j -> j == i))
                        .collect(Collectors.toCollection(ArrayList::new));
        for (int i = 0; i < sick.length; i++) {
            if (random.nextDouble() < part) {
                pods.get(sick[i]).speed(1);
                pods.get(sick[i]).hangs(false);
                sicken(pods.get(well.remove(random.nextInt(well.size()))), i < sick.length / 2);
            }
        }
    }

    private static FaultyDisk keep(World world, int i, Start how)
            throws InterruptedException, ExecutionException {
        FaultyDisk disk = new FaultyDisk(1);
        Keeper keeper = new Keeper(disk, 3, 1 << 24, "n" + i, l -> {});
        keeper.open().get();
        Capture c =
                new Capture(
                        world.sidecar(i).policy().learned(world.agenda().now()), id -> id + ":1");
        c.slice(world.agenda()::now, Long.MAX_VALUE);
        keeper.offer(
                c.kept(
                        new Kept.Head(
                                "lab",
                                "n" + i,
                                "",
                                world.settings(i).zone(),
                                1,
                                0,
                                (world.agenda().now() - how.olderNs) / 1_000_000,
                                1),
                        world.news()));
        keeper.close(30 * SECOND);
        if (how.corrupt) {
            String name = Keeper.name(1);
            try {
                byte[] bytes = disk.read(name, 1 << 24);
                bytes[bytes.length / 2] ^= 1;
                disk.put(name, bytes);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
        return disk;
    }

    private static void recall(World world, int i, EmuSidecar s, FaultyDisk disk)
            throws InterruptedException, ExecutionException {
        Keeper keeper = new Keeper(disk, 3, 1 << 24, "n" + i, l -> {});
        Keeper.Found found = keeper.open().get();
        if (found.kept() != null) {
            Map<String, PodEntry> listed = new HashMap<>();
            Map<String, String> addresses = new HashMap<>();
            world.pods()
                    .forEach(
                            p -> {
                                listed.put(p.entry().id(), p.entry());
                                addresses.put(p.entry().id(), p.entry().id() + ":1");
                            });
            long now = world.agenda().now();
            Settings set = world.settings(i);
            Taking.Taken taken =
                    Taking.of(
                            found.kept(),
                            Ageing.age(found.kept().head().unixMs(), now),
                            new Taking.Here(
                                    set.zone(),
                                    set.routes().stream()
                                            .map(Settings.Route::name)
                                            .collect(Collectors.toSet()),
                                    listed,
                                    addresses));
            for (Learned l : taken.learned()) {
                s.policy().recall(now, l);
            }
        }
        keeper.close(SECOND);
    }
}
