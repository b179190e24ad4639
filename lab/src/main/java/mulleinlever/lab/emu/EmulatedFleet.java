package mulleinlever.lab.emu;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import mulleinlever.PodEntry;
import mulleinlever.RolloutStatus;
import mulleinlever.Settings;

/**
 * Pods, sidecars and clients in virtual time, in one process. Every part draws from a stream of its
 * own, so that two worlds with one seed get the same reqs, whatever their sidecars do.
 */
public final class EmulatedFleet {
    private static final long SECOND = 1_000_000_000L;

    /** What a route's reqs are like, beside its settings. */
    public record RouteTraffic(
            Settings.RouteSettings route, double reqShare, long minWorkNs, long maxWorkNs) {
        double meanWorkNs() {
            return (minWorkNs + maxWorkNs) / 2.0;
        }
    }

    /** What a world consists of. */
    public record FleetSpec(
            int podCount,
            int coresPerPod,
            int sidecarCount,
            List<String> zones,
            List<RouteTraffic> traffic,
            double reqsPerSecond) {
        /** Reqs a second that all cores together can do. */
        public double capacityReqsPerSecond() {
            double meanNs = traffic.stream().mapToDouble(t -> t.reqShare() * t.meanWorkNs()).sum();
            return podCount * coresPerPod * 1e9 / meanNs;
        }
    }

    /**
     * Hears of each req's end; without an answer {@code how} is null, at the end of its patience.
     */
    public interface ReqListener {
        void onReqEnded(
                int sidecar,
                Settings.RouteSettings route,
                long askedNs,
                long tookNs,
                EmulatedSidecar.ReqOutcome how);
    }

    private final FleetSpec size;
    private final long seed;
    private final VirtualTimeScheduler agenda;
    private final ReqListener watch;
    private final Map<String, EmulatedPod> pods = new LinkedHashMap<>();
    private final EmulatedSidecar[] sidecars;
    private final int[] starts;
    private RolloutStatus news =
            new RolloutStatus(1, 2, RolloutStatus.Phase.RELEASED, 1, 9 * SECOND);

    public EmulatedFleet(FleetSpec size, long seed, long startNs, ReqListener watch) {
        this.size = size;
        this.seed = seed;
        this.agenda = new VirtualTimeScheduler(startNs);
        this.watch = watch;
        this.sidecars = new EmulatedSidecar[size.sidecarCount()];
        this.starts = new int[size.sidecarCount()];
        for (int i = 0; i < size.podCount(); i++) {
            PodEntry e =
                    new PodEntry(
                            "pod-" + i,
                            zone(i),
                            "m",
                            i % 4,
                            1,
                            PodEntry.State.READY,
                            size.coresPerPod(),
                            0);
            pods.put(e.id(), new EmulatedPod(agenda, e, size.coresPerPod(), 1000));
        }
        for (int i = 0; i < size.sidecarCount(); i++) {
            startSidecar(i);
            clients(i);
        }
    }

    private String zone(int i) {
        return size.zones().get(i % size.zones().size());
    }

    /** A stream of chance for one part of the world. */
    SplittableRandom random(String part, int no) {
        return new SplittableRandom(
                seed * 0x9E3779B97F4A7C15L + part.hashCode() * 0x632BE59BD9B4E019L + no);
    }

    public VirtualTimeScheduler scheduler() {
        return agenda;
    }

    public EmulatedPod pod(String id) {
        return pods.get(id);
    }

    public List<EmulatedPod> pods() {
        return List.copyOf(pods.values());
    }

    public EmulatedSidecar sidecar(int i) {
        return sidecars[i];
    }

    public RolloutStatus rolloutStatus() {
        return news;
    }

    public Settings settings(int i) {
        return EmulationSettings.createSettings(
                i,
                size.sidecarCount(),
                zone(i),
                size.zones(),
                size.traffic().stream().map(RouteTraffic::route).toList());
    }

    long oneWayLatencyNs(String from, String to) {
        return from.equals(to) ? 100_000 : 500_000;
    }

    /**
     * A sidecar's process begins, with the list and the news as they are; it knows nothing else.
     */
    public EmulatedSidecar startSidecar(int i) {
        EmulatedSidecar s =
                new EmulatedSidecar(
                        this, settings(i), random("policy", i + 100_000 * starts[i]++).nextLong());
        s.replacePodList(pods.values().stream().map(EmulatedPod::entry).toList());
        s.updateRolloutStatus(news);
        sidecars[i] = s;
        return s;
    }

    /** A pod starts anew, cold, and all sidecars are told at once. */
    public void restartPod(EmulatedPod pod) {
        PodEntry e = pod.entry();
        pod.restart(
                new PodEntry(
                        e.id(),
                        e.zone(),
                        e.kind(),
                        e.cell(),
                        e.build(),
                        e.state(),
                        e.weight(),
                        agenda.nowNs()));
        for (EmulatedSidecar s : sidecars) {
            if (s != null) {
                s.updatePod(pod.entry());
            }
        }
    }

    /**
     * A sidecar's process ends without notice; its clients' reqs find nobody until it starts again.
     */
    public void killSidecar(int i) {
        sidecars[i].kill();
        sidecars[i] = null;
    }

    /** Reqs that come on their own, whether or not those before were answered. */
    private void clients(int i) {
        SplittableRandom random = random("clients", i);
        double rate = size.reqsPerSecond() / size.sidecarCount();
        next(i, random, rate);
    }

    private void next(int i, SplittableRandom random, double rate) {
        agenda.scheduleAfter(
                (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND),
                () -> {
                    RouteTraffic t = pick(random.nextDouble());
                    long workNs =
                            t.minWorkNs()
                                    + (long)
                                            (random.nextDouble() * (t.maxWorkNs() - t.minWorkNs()));
                    long key = random.nextInt(50_000);
                    ask(i, t, workNs, key);
                    next(i, random, rate);
                });
    }

    private RouteTraffic pick(double at) {
        for (RouteTraffic t : size.traffic()) {
            at -= t.reqShare();
            if (at < 0) {
                return t;
            }
        }
        return size.traffic().get(size.traffic().size() - 1);
    }

    private void ask(int i, RouteTraffic t, long workNs, long key) {
        long askedNs = agenda.nowNs();
        boolean[] ended = new boolean[1];
        if (sidecars[i] != null) {
            sidecars[i].submit(
                    t.route(),
                    workNs,
                    key,
                    how -> {
                        if (!ended[0]) {
                            ended[0] = true;
                            watch.onReqEnded(i, t.route(), askedNs, agenda.nowNs() - askedNs, how);
                        }
                    });
        }
        agenda.scheduleAfter(
                t.route().timeoutNs() + SECOND / 10,
                () -> {
                    if (!ended[0]) {
                        ended[0] = true;
                        watch.onReqEnded(i, t.route(), askedNs, agenda.nowNs() - askedNs, null);
                    }
                });
    }
}
