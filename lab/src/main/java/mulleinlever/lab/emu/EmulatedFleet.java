package mulleinlever.lab.emu;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import mulleinlever.PodEntry;
import mulleinlever.RolloutStatus;
import mulleinlever.Settings;

/**
 * Pods, sidecars and clients in virtual time, in one process. Each part has a random generator of
 * its own, so that two fleets with the same seed get the same reqs, whatever their sidecars do. Not
 * thread-safe.
 */
public final class EmulatedFleet {
    private static final long SECOND_NS = 1_000_000_000L;

    /**
     * The traffic of a route.
     *
     * @param reqShare the share of all reqs that belong to the route
     * @param minWorkNs the minimum of the core time that a req needs
     * @param maxWorkNs the maximum of the core time that a req needs
     */
    public record RouteTraffic(
            Settings.RouteSettings route, double reqShare, long minWorkNs, long maxWorkNs) {
        double meanWorkNs() {
            return (minWorkNs + maxWorkNs) / 2.0;
        }
    }

    /** The size and the traffic of a fleet. */
    public record FleetSpec(
            int podCount,
            int coresPerPod,
            int sidecarCount,
            List<String> zones,
            List<RouteTraffic> traffic,
            double reqsPerSecond) {
        /** Returns the number of reqs per second that all cores together can complete. */
        public double capacityReqsPerSecond() {
            double meanNs = traffic.stream().mapToDouble(t -> t.reqShare() * t.meanWorkNs()).sum();
            return podCount * coresPerPod * 1e9 / meanNs;
        }
    }

    /** A listener that is notified of the end of each req. */
    public interface ReqListener {
        /**
         * Called when a req was answered, or when its client stops waiting.
         *
         * @param arrivedNs when the client sent the req
         * @param durationNs the time from then until the answer, or until the client stopped
         *     waiting
         * @param outcome the answer, or null if there was none
         */
        void onReqEnded(
                int sidecar,
                Settings.RouteSettings route,
                long arrivedNs,
                long durationNs,
                EmulatedSidecar.ReqOutcome outcome);
    }

    private final FleetSpec spec;
    private final long seed;
    private final VirtualTimeScheduler scheduler;
    private final ReqListener listener;
    private final Map<String, EmulatedPod> pods = new LinkedHashMap<>();
    private final EmulatedSidecar[] sidecars;

    /** The number of starts of each sidecar. */
    private final int[] startCounts;

    private RolloutStatus rolloutStatus =
            new RolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1, 9 * SECOND_NS);

    public EmulatedFleet(FleetSpec spec, long seed, long startNs, ReqListener listener) {
        this.spec = spec;
        this.seed = seed;
        this.scheduler = new VirtualTimeScheduler(startNs);
        this.listener = listener;
        this.sidecars = new EmulatedSidecar[spec.sidecarCount()];
        this.startCounts = new int[spec.sidecarCount()];
        for (int i = 0; i < spec.podCount(); i++) {
            PodEntry entry =
                    new PodEntry(
                            "pod-" + i,
                            zoneOf(i),
                            "m",
                            i % 4,
                            1,
                            PodEntry.State.READY,
                            spec.coresPerPod(),
                            0);
            pods.put(entry.id(), new EmulatedPod(scheduler, entry, spec.coresPerPod(), 1000));
        }
        for (int i = 0; i < spec.sidecarCount(); i++) {
            startSidecar(i);
            startClient(i);
        }
    }

    private String zoneOf(int index) {
        return spec.zones().get(index % spec.zones().size());
    }

    /** Returns a random generator for one part of the fleet. */
    SplittableRandom random(String name, int number) {
        return new SplittableRandom(
                seed * 0x9E3779B97F4A7C15L + name.hashCode() * 0x632BE59BD9B4E019L + number);
    }

    public VirtualTimeScheduler scheduler() {
        return scheduler;
    }

    public EmulatedPod pod(String id) {
        return pods.get(id);
    }

    public List<EmulatedPod> pods() {
        return List.copyOf(pods.values());
    }

    public EmulatedSidecar sidecar(int index) {
        return sidecars[index];
    }

    public RolloutStatus rolloutStatus() {
        return rolloutStatus;
    }

    public Settings settings(int sidecarIndex) {
        return EmulationSettings.createSettings(
                sidecarIndex,
                spec.sidecarCount(),
                zoneOf(sidecarIndex),
                spec.zones(),
                spec.traffic().stream().map(RouteTraffic::route).toList());
    }

    long oneWayLatencyNs(String from, String to) {
        return from.equals(to) ? 100_000 : 500_000;
    }

    /** Starts a sidecar with the current pod list and rollout status and no other state. */
    public EmulatedSidecar startSidecar(int index) {
        EmulatedSidecar sidecar =
                new EmulatedSidecar(
                        this,
                        settings(index),
                        random("policy", index + 100_000 * startCounts[index]++).nextLong());
        sidecar.replacePodList(pods.values().stream().map(EmulatedPod::entry).toList());
        sidecar.updateRolloutStatus(rolloutStatus);
        sidecars[index] = sidecar;
        return sidecar;
    }

    /**
     * Restarts a pod, which begins its slow start, and updates the list of all sidecars at the same
     * time.
     */
    public void restartPod(EmulatedPod pod) {
        PodEntry oldEntry = pod.entry();
        pod.restart(
                new PodEntry(
                        oldEntry.id(),
                        oldEntry.zone(),
                        oldEntry.kind(),
                        oldEntry.cell(),
                        oldEntry.build(),
                        oldEntry.state(),
                        oldEntry.weight(),
                        scheduler.nowNs()));
        for (EmulatedSidecar sidecar : sidecars) {
            if (sidecar != null) {
                sidecar.updatePod(pod.entry());
            }
        }
    }

    /**
     * Ends a sidecar without a graceful shutdown. Its clients' reqs get no answer until it starts
     * again.
     */
    public void killSidecar(int index) {
        sidecars[index].kill();
        sidecars[index] = null;
    }

    /** Starts a client that sends reqs whether or not earlier ones have been answered. */
    private void startClient(int sidecarIndex) {
        SplittableRandom random = random("clients", sidecarIndex);
        double reqsPerSecond = spec.reqsPerSecond() / spec.sidecarCount();
        scheduleNextReq(sidecarIndex, random, reqsPerSecond);
    }

    private void scheduleNextReq(int sidecarIndex, SplittableRandom random, double reqsPerSecond) {
        scheduler.scheduleAfter(
                (long) (-Math.log(1 - random.nextDouble()) / reqsPerSecond * SECOND_NS),
                () -> {
                    RouteTraffic traffic = pickTraffic(random.nextDouble());
                    long workNs =
                            traffic.minWorkNs()
                                    + (long)
                                            (random.nextDouble()
                                                    * (traffic.maxWorkNs() - traffic.minWorkNs()));
                    long key = random.nextInt(50_000);
                    submitReq(sidecarIndex, traffic, workNs, key);
                    scheduleNextReq(sidecarIndex, random, reqsPerSecond);
                });
    }

    private RouteTraffic pickTraffic(double position) {
        for (RouteTraffic traffic : spec.traffic()) {
            position -= traffic.reqShare();
            if (position < 0) {
                return traffic;
            }
        }
        return spec.traffic().get(spec.traffic().size() - 1);
    }

    private void submitReq(int sidecarIndex, RouteTraffic traffic, long workNs, long key) {
        long arrivedNs = scheduler.nowNs();
        boolean[] ended = new boolean[1];
        if (sidecars[sidecarIndex] != null) {
            sidecars[sidecarIndex].submit(
                    traffic.route(),
                    workNs,
                    key,
                    outcome -> {
                        if (!ended[0]) {
                            ended[0] = true;
                            listener.onReqEnded(
                                    sidecarIndex,
                                    traffic.route(),
                                    arrivedNs,
                                    scheduler.nowNs() - arrivedNs,
                                    outcome);
                        }
                    });
        }
        scheduler.scheduleAfter(
                traffic.route().timeoutNs() + SECOND_NS / 10,
                () -> {
                    if (!ended[0]) {
                        ended[0] = true;
                        listener.onReqEnded(
                                sidecarIndex,
                                traffic.route(),
                                arrivedNs,
                                scheduler.nowNs() - arrivedNs,
                                null);
                    }
                });
    }
}
