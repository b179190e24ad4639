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
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import mulleinlever.Settings;
import mulleinlever.disk.FaultInjectingDirectory;
import mulleinlever.lab.emu.EmulatedFleet;
import mulleinlever.lab.emu.EmulatedPod;
import mulleinlever.lab.emu.EmulatedSidecar;
import mulleinlever.lab.emu.EmulationSettings;
import mulleinlever.state.SnapshotBuilder;
import mulleinlever.state.SnapshotFilter;
import mulleinlever.state.StateDecay;
import mulleinlever.state.StateSnapshot;
import mulleinlever.state.StateStore;
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
final class RestartBenchmark implements Callable<Integer> {
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
     * @param hasSavedState whether it has what it kept
     * @param extraAgeNs how long before the usual that was captured
     * @param changedShare the part of the sick pods that others have taken the place of since
     * @param changesWhileDown whether they did so while the sidecar was down, so that nobody knows
     *     it yet; else all others do
     */
    private record RestartScenario(
            String name,
            boolean isRestarted,
            boolean hasSavedState,
            boolean isCorrupt,
            long extraAgeNs,
            double changedShare,
            boolean changesWhileDown) {
        static RestartScenario withSavedState(
                String name, boolean corrupt, long olderS, double changed) {
            return new RestartScenario(name, true, true, corrupt, olderS * SECOND, changed, false);
        }
    }

    /**
     * Of the reqs that came within each window after the start, how many did not complete in time.
     */
    private static final class LossCounts {
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

    private static List<RestartScenario> starts() {
        List<RestartScenario> all = new ArrayList<>();
        all.add(new RestartScenario("not restarted", false, false, false, 0, 0, false));
        all.add(new RestartScenario("cold", true, false, false, 0, 0, false));
        all.add(RestartScenario.withSavedState("remembered", false, 0, 0));
        all.add(RestartScenario.withSavedState("wrong: other pods are sick", false, 0, 1));
        all.add(RestartScenario.withSavedState("stale by 5 s", false, 5, changedWithin(5)));
        all.add(RestartScenario.withSavedState("stale by 1 min", false, 60, changedWithin(60)));
        all.add(RestartScenario.withSavedState("stale by 1 h", false, 3600, changedWithin(3600)));
        all.add(RestartScenario.withSavedState("stale by 3 days", false, 3 * 86_400, 1));
        all.add(RestartScenario.withSavedState("corrupt", true, 0, 0));
        all.add(
                new RestartScenario(
                        "all sick pods change meanwhile", false, false, false, 0, 1, true));
        all.add(new RestartScenario("  the same, cold", true, false, false, 0, 1, true));
        all.add(new RestartScenario("  the same, remembered", true, true, false, 0, 1, true));
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
                List<RestartScenario> starts = starts();
                List<List<Future<LossCounts>>> rows = new ArrayList<>();
                for (RestartScenario s : starts) {
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

    private static String row(String name, List<Future<LossCounts>> runs)
            throws InterruptedException, ExecutionException {
        StringBuilder s = new StringBuilder(String.format("%-32s", name));
        List<LossCounts> counts = new ArrayList<>();
        for (Future<LossCounts> f : runs) {
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

    private LossCounts run(long seed, RestartScenario how, boolean all)
            throws InterruptedException, ExecutionException {
        LossCounts count = new LossCounts();
        long back = START + RUN_IN + DOWN;
        EmulatedFleet.FleetSpec size =
                new EmulatedFleet.FleetSpec(
                        pods,
                        2,
                        sidecars,
                        List.of("a", "b"),
                        List.of(
                                new EmulatedFleet.RouteTraffic(
                                        EmulationSettings.createRoute(
                                                "read",
                                                Settings.RetrySafety.IDEMPOTENT,
                                                150,
                                                1000,
                                                1),
                                        0.7,
                                        10_000_000,
                                        30_000_000),
                                new EmulatedFleet.RouteTraffic(
                                        EmulationSettings.createRoute(
                                                "write",
                                                Settings.RetrySafety.DEDUPLICATED,
                                                100,
                                                800,
                                                3),
                                        0.3,
                                        5_000_000,
                                        15_000_000)),
                        0);
        EmulatedFleet.FleetSpec loaded =
                new EmulatedFleet.FleetSpec(
                        size.podCount(),
                        size.coresPerPod(),
                        size.sidecarCount(),
                        size.zones(),
                        size.traffic(),
                        load * 0.8 * size.capacityReqsPerSecond());
        EmulatedFleet world =
                new EmulatedFleet(
                        loaded,
                        seed,
                        START,
                        (sidecar, route, askedNs, tookNs, answer) -> {
                            if (askedNs < back || !all && sidecar != 0) {
                                return;
                            }
                            boolean lost =
                                    answer != EmulatedSidecar.ReqOutcome.COMPLETED
                                            || tookNs > route.latencyObjectiveNs();
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
        Map<Integer, FaultInjectingDirectory> disks = new HashMap<>();
        if (how.hasSavedState) {
            // As it was then: a world of its own, in which other pods were sick.
            EmulatedFleet then =
                    new EmulatedFleet(
                            loaded, seed, START, (sidecar, route, askedNs, tookNs, answer) -> {});
            sicken(then, sick);
            change(
                    then,
                    sick,
                    how.changesWhileDown ? 0 : how.changedShare,
                    new SplittableRandom(seed + 1));
            then.scheduler().runUntil(captured);
            for (int i : restarted) {
                disks.put(i, keep(then, i, how));
            }
        }
        world.scheduler().runUntil(START + RUN_IN);
        if (how.isRestarted) {
            restarted.forEach(world::killSidecar);
        }
        world.scheduler().runUntil(START + RUN_IN + DOWN / 2);
        change(world, sick, how.changesWhileDown ? how.changedShare : 0, random);
        world.scheduler().runUntil(back);
        List<EmulatedPod> cold = world.pods().subList(pods - COLD_PODS, pods);
        cold.forEach(world::restartPod);
        for (int i : restarted) {
            if (how.isRestarted) {
                EmulatedSidecar s = world.startSidecar(i);
                if (how.hasSavedState) {
                    recall(world, i, s, disks.get(i));
                }
            }
        }
        watchCold(world, cold, count, back);
        world.scheduler().runUntil(back + WINDOWS[WINDOWS.length - 1] + 2 * SECOND);
        return count;
    }

    /**
     * The busiest second of each cold pod, against what it could do then; at 3 it would fall over.
     */
    private static void watchCold(
            EmulatedFleet world, List<EmulatedPod> cold, LossCounts count, long from) {
        long step = SECOND / 10;
        Map<EmulatedPod, long[]> before = new HashMap<>();
        cold.forEach(p -> before.put(p, new long[12]));
        for (int k = 0; k < 40; k++) {
            int at = k;
            world.scheduler()
                    .scheduleAt(
                            from + k * step,
                            () ->
                                    cold.forEach(
                                            p -> {
                                                long[] seen = before.get(p);
                                                seen[at % 11] = p.arrivedTryCount();
                                                if (at >= 10) {
                                                    long lately =
                                                            p.arrivedTryCount()
                                                                    - seen[(at + 1) % 11];
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
    private static void sicken(EmulatedFleet world, int[] sick) {
        List<EmulatedPod> pods = world.pods();
        for (int i = 0; i < sick.length; i++) {
            sicken(pods.get(sick[i]), i < sick.length / 2);
        }
    }

    private static void sicken(EmulatedPod pod, boolean slow) {
        if (slow) {
            pod.setSpeed(0.2);
        } else {
            pod.setHung(true);
        }
    }

    /** Each sick pod recovers by chance, and another falls sick in its place. */
    private static void change(
            EmulatedFleet world, int[] sick, double part, SplittableRandom random) {
        List<EmulatedPod> pods = world.pods();
        List<Integer> well =
                IntStream.range(0, pods.size() - COLD_PODS)
                        .boxed()
                        .filter(i -> Arrays.stream(sick).noneMatch(j -> j == i))
                        .collect(Collectors.toCollection(ArrayList::new));
        for (int i = 0; i < sick.length; i++) {
            if (random.nextDouble() < part) {
                pods.get(sick[i]).setSpeed(1);
                pods.get(sick[i]).setHung(false);
                sicken(pods.get(well.remove(random.nextInt(well.size()))), i < sick.length / 2);
            }
        }
    }

    private static FaultInjectingDirectory keep(EmulatedFleet world, int i, RestartScenario how)
            throws InterruptedException, ExecutionException {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        StateStore keeper = new StateStore(disk, 3, 1 << 24, "n" + i, l -> {});
        keeper.openAsync().get();
        SnapshotBuilder c =
                new SnapshotBuilder(
                        world.sidecar(i).policy().exportLearned(world.scheduler().nowNs()),
                        id -> id + ":1");
        c.collectUntil(world.scheduler()::nowNs, Long.MAX_VALUE);
        keeper.offer(
                c.toSnapshot(
                        new StateSnapshot.Header(
                                "lab",
                                "n" + i,
                                "",
                                world.settings(i).zone(),
                                1,
                                0,
                                (world.scheduler().nowNs() - how.extraAgeNs) / 1_000_000,
                                1),
                        world.rolloutStatus()));
        keeper.close(30 * SECOND);
        if (how.isCorrupt) {
            String name = StateStore.fileName(1);
            try {
                byte[] bytes = disk.read(name, 1 << 24);
                bytes[bytes.length / 2] ^= 1;
                disk.addForcedFile(name, bytes);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
        return disk;
    }

    private static void recall(
            EmulatedFleet world, int i, EmulatedSidecar s, FaultInjectingDirectory disk)
            throws InterruptedException, ExecutionException {
        StateStore keeper = new StateStore(disk, 3, 1 << 24, "n" + i, l -> {});
        StateStore.LoadResult found = keeper.openAsync().get();
        if (found.snapshot() != null) {
            Map<String, PodEntry> listed = new HashMap<>();
            Map<String, String> addresses = new HashMap<>();
            world.pods()
                    .forEach(
                            p -> {
                                listed.put(p.entry().id(), p.entry());
                                addresses.put(p.entry().id(), p.entry().id() + ":1");
                            });
            long now = world.scheduler().nowNs();
            Settings set = world.settings(i);
            SnapshotFilter.RestoreResult taken =
                    SnapshotFilter.filter(
                            found.snapshot(),
                            StateDecay.computeAgeNs(found.snapshot().head().unixMs(), now),
                            new SnapshotFilter.RestoreContext(
                                    set.zone(),
                                    set.routes().stream()
                                            .map(Settings.RouteSettings::name)
                                            .collect(Collectors.toSet()),
                                    listed,
                                    addresses));
            for (LearnedState l : taken.restoredValues()) {
                s.policy().restoreLearned(now, l);
            }
        }
        keeper.close(SECOND);
    }
}
