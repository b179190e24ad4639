package mulleinlever.lab.emu;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import mulleinlever.News;
import mulleinlever.PodEntry;
import mulleinlever.Settings;

/**
 * Pods, sidecars and clients in virtual time, in one process. Every part draws from a stream of its
 * own, so that two worlds with one seed get the same reqs, whatever their sidecars do.
 */
public final class World {
    private static final long SECOND = 1_000_000_000L;

    /** What a route's reqs are like, beside its settings. */
    public record Traffic(Settings.Route route, double share, long leastWorkNs, long mostWorkNs) {
        double meanWorkNs() {
            return (leastWorkNs + mostWorkNs) / 2.0;
        }
    }

    /** What a world consists of. */
    public record Size(
            int pods,
            int cores,
            int sidecars,
            List<String> zones,
            List<Traffic> traffic,
            double reqsPerSecond) {
        /** Reqs a second that all cores together can do. */
        public double capacity() {
            double meanNs = traffic.stream().mapToDouble(t -> t.share() * t.meanWorkNs()).sum();
            return pods * cores * 1e9 / meanNs;
        }
    }

    /**
     * Hears of each req's end; without an answer {@code how} is null, at the end of its patience.
     */
    public interface Watch {
        void ended(
                int sidecar,
                Settings.Route route,
                long askedNs,
                long tookNs,
                EmuSidecar.Answer how);
    }

    private final Size size;
    private final long seed;
    private final Agenda agenda;
    private final Watch watch;
    private final Map<String, EmuPod> pods = new LinkedHashMap<>();
    private final EmuSidecar[] sidecars;
    private final int[] starts;
    private News news = new News(1, 2, News.Phase.RELEASED, 1, 9 * SECOND);

    public World(Size size, long seed, long startNs, Watch watch) {
        this.size = size;
        this.seed = seed;
        this.agenda = new Agenda(startNs);
        this.watch = watch;
        this.sidecars = new EmuSidecar[size.sidecars()];
        this.starts = new int[size.sidecars()];
        for (int i = 0; i < size.pods(); i++) {
            PodEntry e =
                    new PodEntry(
                            "pod-" + i,
                            zone(i),
                            "m",
                            i % 4,
                            1,
                            PodEntry.State.READY,
                            size.cores(),
                            0);
            pods.put(e.id(), new EmuPod(agenda, e, size.cores(), 1000));
        }
        for (int i = 0; i < size.sidecars(); i++) {
            start(i);
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

    public Agenda agenda() {
        return agenda;
    }

    public EmuPod pod(String id) {
        return pods.get(id);
    }

    public List<EmuPod> pods() {
        return List.copyOf(pods.values());
    }

    public EmuSidecar sidecar(int i) {
        return sidecars[i];
    }

    public News news() {
        return news;
    }

    public Settings settings(int i) {
        return EmuSettings.of(
                i,
                size.sidecars(),
                zone(i),
                size.zones(),
                size.traffic().stream().map(Traffic::route).toList());
    }

    long oneWayNs(String from, String to) {
        return from.equals(to) ? 100_000 : 500_000;
    }

    /**
     * A sidecar's process begins, with the list and the news as they are; it knows nothing else.
     */
    public EmuSidecar start(int i) {
        EmuSidecar s =
                new EmuSidecar(
                        this, settings(i), random("policy", i + 100_000 * starts[i]++).nextLong());
        s.list(pods.values().stream().map(EmuPod::entry).toList());
        s.news(news);
        sidecars[i] = s;
        return s;
    }

    /** A pod starts anew, cold, and all sidecars are told at once. */
    public void restart(EmuPod pod) {
        PodEntry e = pod.entry();
        pod.startsAnew(
                new PodEntry(
                        e.id(),
                        e.zone(),
                        e.kind(),
                        e.cell(),
                        e.build(),
                        e.state(),
                        e.weight(),
                        agenda.now()));
        for (EmuSidecar s : sidecars) {
            if (s != null) {
                s.changed(pod.entry());
            }
        }
    }

    /**
     * A sidecar's process ends without notice; its clients' reqs find nobody until it starts again.
     */
    public void kill(int i) {
        sidecars[i].kill();
        sidecars[i] = null;
    }

    /** Reqs that come on their own, whether or not those before were answered. */
    private void clients(int i) {
        SplittableRandom random = random("clients", i);
        double rate = size.reqsPerSecond() / size.sidecars();
        next(i, random, rate);
    }

    private void next(int i, SplittableRandom random, double rate) {
        agenda.after(
                (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND),
                () -> {
                    Traffic t = pick(random.nextDouble());
                    long workNs =
                            t.leastWorkNs()
                                    + (long)
                                            (random.nextDouble()
                                                    * (t.mostWorkNs() - t.leastWorkNs()));
                    long key = random.nextInt(50_000);
                    ask(i, t, workNs, key);
                    next(i, random, rate);
                });
    }

    private Traffic pick(double at) {
        for (Traffic t : size.traffic()) {
            at -= t.share();
            if (at < 0) {
                return t;
            }
        }
        return size.traffic().get(size.traffic().size() - 1);
    }

    private void ask(int i, Traffic t, long workNs, long key) {
        long askedNs = agenda.now();
        boolean[] ended = new boolean[1];
        if (sidecars[i] != null) {
            sidecars[i].take(
                    t.route(),
                    workNs,
                    key,
                    how -> {
                        if (!ended[0]) {
                            ended[0] = true;
                            watch.ended(i, t.route(), askedNs, agenda.now() - askedNs, how);
                        }
                    });
        }
        agenda.after(
                t.route().timeoutNs() + SECOND / 10,
                () -> {
                    if (!ended[0]) {
                        ended[0] = true;
                        watch.ended(i, t.route(), askedNs, agenda.now() - askedNs, null);
                    }
                });
    }
}
