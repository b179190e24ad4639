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
 * Measures the share of reqs that a restarted sidecar loses, depending on the state that it
 * restores. A fleet in which a tenth of the pods is slow and a tenth hung runs in virtual time. One
 * sidecar or all of them end and start again two seconds later: without saved state, with it, with
 * saved state after other pods have become faulty, with old saved state, or with a corrupt file.
 */
@Command(
        name = "restarts",
        mixinStandardHelpOptions = true,
        description =
                "The reqs that a restarted sidecar loses with and without saved state, in an"
                        + " emulated fleet.")
final class RestartBenchmark implements Callable<Integer> {
    private static final long SECOND_NS = 1_000_000_000L;

    /** The wall clock at the start of a run. */
    private static final long START_NS = 1_790_000_000L * SECOND_NS;

    /** How long a fleet runs before the restart. */
    private static final long WARM_UP_NS = 20 * SECOND_NS;

    private static final long DOWNTIME_NS = 2 * SECOND_NS;

    /** The windows after the restart for which lost reqs are counted. */
    private static final long[] WINDOWS_NS = {SECOND_NS, 5 * SECOND_NS, 15 * SECOND_NS};

    /** The mean time until a faulty pod recovers and another one becomes faulty in its place. */
    private static final double MEAN_FAULT_SECONDS = 300;

    /** The number of pods that restart together with the sidecars. */
    private static final int RESTARTED_POD_COUNT = 5;

    @Option(names = "--seeds", description = "The number of runs for each row (${DEFAULT-VALUE}).")
    private int seeds = 20;

    @Option(names = "--seed", description = "The seed of the first run (${DEFAULT-VALUE}).")
    private long firstSeed = 1;

    @Option(
            names = "--pods",
            description = "The number of pods, with two cores each (${DEFAULT-VALUE}).")
    private int pods = 100;

    @Option(names = "--sidecars", description = "The number of sidecars (${DEFAULT-VALUE}).")
    private int sidecars = 20;

    @Option(
            names = "--load",
            description =
                    "The rate of reqs, as a share of the healthy pods' capacity"
                            + " (${DEFAULT-VALUE}).")
    private double load = 0.85;

    /**
     * The conditions of a restart; a row of the result.
     *
     * @param hasSavedState whether the sidecar finds its saved state
     * @param extraAgeNs how much older than usual the saved state is
     * @param changedShare the share of faulty pods that have recovered since the state was saved,
     *     each with another pod that has become faulty in its place
     * @param changesWhileDown whether that happened while the sidecar was down, so that no sidecar
     *     knows of it yet; otherwise all other sidecars do
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
                String name, boolean isCorrupt, long extraAgeSeconds, double changedShare) {
            return new RestartScenario(
                    name, true, true, isCorrupt, extraAgeSeconds * SECOND_NS, changedShare, false);
        }
    }

    /**
     * The number of reqs that arrived within each window after the restart, and how many of these
     * did not complete within the latency objective.
     */
    private static final class LossCounts {
        private final long[] reqCounts = new long[WINDOWS_NS.length];
        private final long[] lostCounts = new long[WINDOWS_NS.length];

        /**
         * The maximum number of tries that a restarted pod got within a second, divided by its
         * capacity at that time.
         */
        private double maxRestartedPodLoad;

        private double lostShare(int window) {
            return reqCounts[window] == 0 ? 0 : (double) lostCounts[window] / reqCounts[window];
        }
    }

    private static double changedShareAfter(double seconds) {
        return 1 - Math.exp(-seconds / MEAN_FAULT_SECONDS);
    }

    private static List<RestartScenario> scenarios() {
        List<RestartScenario> all = new ArrayList<>();
        all.add(new RestartScenario("not restarted", false, false, false, 0, 0, false));
        all.add(new RestartScenario("no saved state", true, false, false, 0, 0, false));
        all.add(RestartScenario.withSavedState("saved state", false, 0, 0));
        all.add(RestartScenario.withSavedState("saved state, other pods faulty", false, 0, 1));
        all.add(RestartScenario.withSavedState("stale by 5 s", false, 5, changedShareAfter(5)));
        all.add(RestartScenario.withSavedState("stale by 1 min", false, 60, changedShareAfter(60)));
        all.add(
                RestartScenario.withSavedState(
                        "stale by 1 h", false, 3600, changedShareAfter(3600)));
        all.add(RestartScenario.withSavedState("stale by 3 days", false, 3 * 86_400, 1));
        all.add(RestartScenario.withSavedState("corrupt", true, 0, 0));
        all.add(
                new RestartScenario(
                        "all faulty pods change meanwhile", false, false, false, 0, 1, true));
        all.add(new RestartScenario("  the same, no saved state", true, false, false, 0, 1, true));
        all.add(new RestartScenario("  the same, saved state", true, true, false, 0, 1, true));
        return all;
    }

    @Override
    public Integer call() throws InterruptedException, ExecutionException {
        System.out.printf(
                Locale.ROOT,
                "%d pods of 2 cores, a tenth slow and a tenth hung; %d sidecars; load %.2f; "
                        + "%d runs per row from seed %d; virtual time%n",
                pods,
                sidecars,
                load,
                seeds,
                firstSeed);
        ExecutorService executor =
                Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
        try {
            for (boolean allRestart : new boolean[] {false, true}) {
                System.out.printf(
                        "%n%s%n%-32s %23s %23s %23s %10s%n",
                        allRestart ? "All sidecars restart at once" : "One sidecar restarts",
                        "share lost, standard error",
                        "first 1 s",
                        "first 5 s",
                        "first 15 s",
                        "pod load");
                List<RestartScenario> scenarios = scenarios();
                List<List<Future<LossCounts>>> rows = new ArrayList<>();
                for (RestartScenario scenario : scenarios) {
                    rows.add(
                            IntStream.range(0, seeds)
                                    .mapToObj(
                                            i ->
                                                    executor.submit(
                                                            () ->
                                                                    run(
                                                                            firstSeed + i,
                                                                            scenario,
                                                                            allRestart)))
                                    .toList());
                }
                for (int i = 0; i < scenarios.size(); i++) {
                    System.out.println(formatRow(scenarios.get(i).name, rows.get(i)));
                }
            }
        } finally {
            executor.shutdownNow();
        }
        return 0;
    }

    private static String formatRow(String name, List<Future<LossCounts>> runs)
            throws InterruptedException, ExecutionException {
        StringBuilder row = new StringBuilder(String.format("%-32s", name));
        List<LossCounts> counts = new ArrayList<>();
        for (Future<LossCounts> run : runs) {
            counts.add(run.get());
        }
        for (int i = 0; i < WINDOWS_NS.length; i++) {
            int window = i;
            double[] shares = counts.stream().mapToDouble(c -> c.lostShare(window)).toArray();
            double mean = Arrays.stream(shares).average().orElse(0);
            double error =
                    Math.sqrt(
                            Arrays.stream(shares).map(x -> (x - mean) * (x - mean)).sum()
                                    / Math.max(1, shares.length - 1)
                                    / shares.length);
            row.append(String.format(Locale.ROOT, "       %7.4f +- %6.4f", mean, error));
        }
        row.append(
                String.format(
                        Locale.ROOT,
                        " %9.2f",
                        counts.stream().mapToDouble(c -> c.maxRestartedPodLoad).max().orElse(0)));
        return row.toString();
    }

    private LossCounts run(long seed, RestartScenario scenario, boolean allRestart)
            throws InterruptedException, ExecutionException {
        LossCounts losses = new LossCounts();
        long restartNs = START_NS + WARM_UP_NS + DOWNTIME_NS;
        EmulatedFleet.FleetSpec unloadedSpec =
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
        EmulatedFleet.FleetSpec spec =
                new EmulatedFleet.FleetSpec(
                        unloadedSpec.podCount(),
                        unloadedSpec.coresPerPod(),
                        unloadedSpec.sidecarCount(),
                        unloadedSpec.zones(),
                        unloadedSpec.traffic(),
                        load * 0.8 * unloadedSpec.capacityReqsPerSecond());
        EmulatedFleet fleet =
                new EmulatedFleet(
                        spec,
                        seed,
                        START_NS,
                        (sidecar, route, arrivedNs, durationNs, outcome) -> {
                            if (arrivedNs < restartNs || !allRestart && sidecar != 0) {
                                return;
                            }
                            boolean lost =
                                    outcome != EmulatedSidecar.ReqOutcome.COMPLETED
                                            || durationNs > route.latencyObjectiveNs();
                            for (int w = 0; w < WINDOWS_NS.length; w++) {
                                if (arrivedNs < restartNs + WINDOWS_NS[w]) {
                                    losses.reqCounts[w]++;
                                    losses.lostCounts[w] += lost ? 1 : 0;
                                }
                            }
                        });
        SplittableRandom random = new SplittableRandom(seed);
        int[] faultyPods = drawPods(random, pods, pods / 5);
        makeFaulty(fleet, faultyPods);
        List<Integer> restartedSidecars =
                IntStream.range(0, allRestart ? sidecars : 1).boxed().toList();
        long snapshotNs = START_NS + WARM_UP_NS - random.nextLong(10 * SECOND_NS);
        Map<Integer, FaultInjectingDirectory> disks = new HashMap<>();
        if (scenario.hasSavedState) {
            // A second fleet stands for the time of the save, at which other pods were faulty.
            EmulatedFleet earlierFleet =
                    new EmulatedFleet(
                            spec,
                            seed,
                            START_NS,
                            (sidecar, route, arrivedNs, durationNs, outcome) -> {});
            makeFaulty(earlierFleet, faultyPods);
            replaceFaultyPods(
                    earlierFleet,
                    faultyPods,
                    scenario.changesWhileDown ? 0 : scenario.changedShare,
                    new SplittableRandom(seed + 1));
            earlierFleet.scheduler().runUntil(snapshotNs);
            for (int i : restartedSidecars) {
                disks.put(i, saveState(earlierFleet, i, scenario));
            }
        }
        fleet.scheduler().runUntil(START_NS + WARM_UP_NS);
        if (scenario.isRestarted) {
            restartedSidecars.forEach(fleet::killSidecar);
        }
        fleet.scheduler().runUntil(START_NS + WARM_UP_NS + DOWNTIME_NS / 2);
        replaceFaultyPods(
                fleet, faultyPods, scenario.changesWhileDown ? scenario.changedShare : 0, random);
        fleet.scheduler().runUntil(restartNs);
        List<EmulatedPod> restartedPods = fleet.pods().subList(pods - RESTARTED_POD_COUNT, pods);
        restartedPods.forEach(fleet::restartPod);
        for (int i : restartedSidecars) {
            if (scenario.isRestarted) {
                EmulatedSidecar restartedSidecar = fleet.startSidecar(i);
                if (scenario.hasSavedState) {
                    restoreState(fleet, i, restartedSidecar, disks.get(i));
                }
            }
        }
        recordRestartedPodLoad(fleet, restartedPods, losses, restartNs);
        fleet.scheduler().runUntil(restartNs + WINDOWS_NS[WINDOWS_NS.length - 1] + 2 * SECOND_NS);
        return losses;
    }

    /**
     * Records the tries that a restarted pod gets in its busiest second, divided by its capacity at
     * that time; a pod breaks down at 3.
     */
    private static void recordRestartedPodLoad(
            EmulatedFleet fleet, List<EmulatedPod> restartedPods, LossCounts losses, long startNs) {
        long stepNs = SECOND_NS / 10;
        Map<EmulatedPod, long[]> arrivedCounts = new HashMap<>();
        restartedPods.forEach(p -> arrivedCounts.put(p, new long[12]));
        for (int k = 0; k < 40; k++) {
            int step = k;
            fleet.scheduler()
                    .scheduleAt(
                            startNs + k * stepNs,
                            () ->
                                    restartedPods.forEach(
                                            p -> {
                                                long[] counts = arrivedCounts.get(p);
                                                counts[step % 11] = p.arrivedTryCount();
                                                if (step >= 10) {
                                                    long lastSecondCount =
                                                            p.arrivedTryCount()
                                                                    - counts[(step + 1) % 11];
                                                    double age = (step - 5) / 40.0;
                                                    double capacity =
                                                            (0.3 + 0.7 * age)
                                                                    * 2
                                                                    * 1e9
                                                                    / 17_000_000;
                                                    losses.maxRestartedPodLoad =
                                                            Math.max(
                                                                    losses.maxRestartedPodLoad,
                                                                    lastSecondCount / capacity);
                                                }
                                            }));
        }
    }

    private static int[] drawPods(SplittableRandom random, int podCount, int drawCount) {
        List<Integer> candidates =
                IntStream.range(0, podCount - RESTARTED_POD_COUNT)
                        .boxed()
                        .collect(Collectors.toCollection(ArrayList::new));
        int[] drawn = new int[drawCount];
        for (int i = 0; i < drawCount; i++) {
            drawn[i] = candidates.remove(random.nextInt(candidates.size()));
        }
        return drawn;
    }

    /** Makes the first half of the faulty pods slow and the second half hung. */
    private static void makeFaulty(EmulatedFleet fleet, int[] faultyPods) {
        List<EmulatedPod> pods = fleet.pods();
        for (int i = 0; i < faultyPods.length; i++) {
            makeFaulty(pods.get(faultyPods[i]), i < faultyPods.length / 2);
        }
    }

    private static void makeFaulty(EmulatedPod pod, boolean slow) {
        if (slow) {
            pod.setSpeed(0.2);
        } else {
            pod.setHung(true);
        }
    }

    /**
     * Lets each faulty pod recover with the given probability, and makes another one faulty in its
     * place.
     */
    private static void replaceFaultyPods(
            EmulatedFleet fleet, int[] faultyPods, double changedShare, SplittableRandom random) {
        List<EmulatedPod> pods = fleet.pods();
        List<Integer> healthyPods =
                IntStream.range(0, pods.size() - RESTARTED_POD_COUNT)
                        .boxed()
                        .filter(i -> Arrays.stream(faultyPods).noneMatch(j -> j == i))
                        .collect(Collectors.toCollection(ArrayList::new));
        for (int i = 0; i < faultyPods.length; i++) {
            if (random.nextDouble() < changedShare) {
                pods.get(faultyPods[i]).setSpeed(1);
                pods.get(faultyPods[i]).setHung(false);
                makeFaulty(
                        pods.get(healthyPods.remove(random.nextInt(healthyPods.size()))),
                        i < faultyPods.length / 2);
            }
        }
    }

    private static FaultInjectingDirectory saveState(
            EmulatedFleet fleet, int sidecarIndex, RestartScenario scenario)
            throws InterruptedException, ExecutionException {
        FaultInjectingDirectory disk = new FaultInjectingDirectory(1);
        StateStore store = new StateStore(disk, 3, 1 << 24, "n" + sidecarIndex, line -> {});
        store.openAsync().get();
        SnapshotBuilder builder =
                new SnapshotBuilder(
                        fleet.sidecar(sidecarIndex)
                                .policy()
                                .exportLearned(fleet.scheduler().nowNs()),
                        id -> id + ":1");
        builder.collectUntil(fleet.scheduler()::nowNs, Long.MAX_VALUE);
        store.offer(
                builder.toSnapshot(
                        new StateSnapshot.Header(
                                "lab",
                                "n" + sidecarIndex,
                                "",
                                fleet.settings(sidecarIndex).zone(),
                                1,
                                0,
                                (fleet.scheduler().nowNs() - scenario.extraAgeNs) / 1_000_000,
                                1),
                        fleet.rolloutStatus()));
        store.close(30 * SECOND_NS);
        if (scenario.isCorrupt) {
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

    private static void restoreState(
            EmulatedFleet fleet,
            int sidecarIndex,
            EmulatedSidecar sidecar,
            FaultInjectingDirectory disk)
            throws InterruptedException, ExecutionException {
        StateStore store = new StateStore(disk, 3, 1 << 24, "n" + sidecarIndex, line -> {});
        StateStore.LoadResult loaded = store.openAsync().get();
        if (loaded.snapshot() != null) {
            Map<String, PodEntry> entriesById = new HashMap<>();
            Map<String, String> addressesById = new HashMap<>();
            fleet.pods()
                    .forEach(
                            p -> {
                                entriesById.put(p.entry().id(), p.entry());
                                addressesById.put(p.entry().id(), p.entry().id() + ":1");
                            });
            long nowNs = fleet.scheduler().nowNs();
            Settings settings = fleet.settings(sidecarIndex);
            SnapshotFilter.RestoreResult restored =
                    SnapshotFilter.filter(
                            loaded.snapshot(),
                            StateDecay.computeAgeNs(loaded.snapshot().header().unixMs(), nowNs),
                            new SnapshotFilter.RestoreContext(
                                    settings.zone(),
                                    settings.routes().stream()
                                            .map(Settings.RouteSettings::name)
                                            .collect(Collectors.toSet()),
                                    entriesById,
                                    addressesById));
            for (LearnedState value : restored.restoredValues()) {
                sidecar.policy().restoreLearned(nowNs, value);
            }
        }
        store.close(SECOND_NS);
    }
}
