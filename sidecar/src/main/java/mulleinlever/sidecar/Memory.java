package mulleinlever.sidecar;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;
import mulleinlever.Learned;
import mulleinlever.News;
import mulleinlever.PodEntry;
import mulleinlever.Settings;
import mulleinlever.disk.FolderDisk;
import mulleinlever.settings.Ours;
import mulleinlever.settings.Version;
import mulleinlever.state.Ageing;
import mulleinlever.state.Capture;
import mulleinlever.state.Keeper;
import mulleinlever.state.Kept;
import mulleinlever.state.Taking;

/**
 * What is kept over a restart: read before the first client comes, and captured from time to time.
 */
final class Memory {
    private static final Path MACHINE = Path.of("/etc/machine-id");

    /** Between two slices of a capture the loop turns to its connections. */
    private static final long PAUSE_NS = 1_000_000L;

    private static final int MOST_LINES = 3;

    private final Ours.Remember set;
    private final Config config;
    private final Clock clock;
    private final Log log;
    private final Keeper keeper;
    private final SplittableRandom random;
    private final long start;
    private final Future<Keeper.Found> opening;
    private Keeper.Found found;
    private long ageNs;
    private Net net;
    private Stages stages;

    /** Begins to read, on a thread of its own. */
    Memory(Ours.Remember set, Config config, Clock clock, Log log) {
        this.set = set;
        this.config = config;
        this.clock = clock;
        this.log = log;
        FolderDisk disk = new FolderDisk(set.folder());
        try {
            disk.make();
        } catch (IOException e) {
            // The keeper says so at each step that needs it.
        }
        keeper =
                new Keeper(
                        disk, set.keep(), set.mostBytes(), config.name(), l -> log.say("state", l));
        // The seed alone may stand in a file and be the same at each start.
        random = new SplittableRandom(config.seed() ^ clock.now());
        start = random.nextLong();
        opening = keeper.open();
    }

    /** Not on the loop: waits for what is read, for a time that is bounded. */
    void await() throws InterruptedException {
        found = keeper.await(opening, set.readWithinNs());
        if (found == null) {
            return;
        }
        found.passedOver().stream()
                .limit(MOST_LINES)
                .forEach(l -> log.say("state", "passed over " + l));
        if (found.kept() == null) {
            log.say("state", "nothing taken: no whole file in " + set.folder());
            found = null;
        } else {
            ageNs = Ageing.age(found.kept().head().unixMs(), clock.now());
        }
    }

    /**
     * The configuration to start from: the list that was kept where it is newer, news that allow
     * less.
     */
    Config startsFrom() {
        if (found == null) {
            return config;
        }
        Kept kept = found.kept();
        News tighter = Taking.tighter(kept.news(), config.news());
        if (tighter != null) {
            log.say(
                    "state",
                    "build " + tighter.build() + " stays " + tighter.phase() + ", as it was kept");
        }
        boolean list = Taking.listHolds(kept, ageNs, config.known().version());
        if (list) {
            log.say(
                    "state",
                    "starting from list " + kept.head().listVersion() + ", as it was kept");
        }
        return config.from(
                list ? list(kept) : config.known(), tighter == null ? config.news() : tighter);
    }

    private static PodList list(Kept kept) {
        Map<String, String> addresses = new LinkedHashMap<>();
        kept.pods().forEach(p -> addresses.put(p.learned().is().id(), p.address()));
        List<PodEntry> entries = kept.pods().stream().map(p -> p.learned().is()).toList();
        return new PodList(kept.head().listVersion(), true, entries, addresses);
    }

    /**
     * On the loop, before the first client: gives the policy what still holds, then captures from
     * time to time.
     */
    void begin(Net on, Stages of) {
        net = on;
        stages = of;
        if (found != null) {
            Taking.Taken taken = Taking.of(found.kept(), ageNs, here());
            taken.learned().forEach(l -> stages.policy.recall(clock.now(), l));
            boolean moved = !found.kept().head().machine().equals(machine());
            log.say(
                    "state",
                    found.file()
                            + (moved ? ", written on another machine, " : ", ")
                            + age()
                            + ": "
                            + taken);
            found = null;
        }
        later();
    }

    private String age() {
        return ageNs == Ageing.UNKNOWN ? "of unknown age" : ageNs / 1_000_000 / 1e3 + " s old";
    }

    private Taking.Here here() {
        Map<String, PodEntry> pods = new HashMap<>();
        Map<String, String> addresses = new HashMap<>();
        stages.policy
                .learned(clock.now())
                .forEachRemaining(
                        l -> {
                            if (l instanceof Learned.OfPod p) {
                                pods.put(p.is().id(), p.is());
                                addresses.put(p.is().id(), stages.addressOf(p.is().id()));
                            }
                        });
        return new Taking.Here(
                config.settings().zone(),
                config.settings().routes().stream()
                        .map(Settings.Route::name)
                        .collect(Collectors.toSet()),
                pods,
                addresses);
    }

    /** With jitter, so that sidecars that started together do not write together. */
    private void later() {
        double part = 1 + set.jitter() * (2 * random.nextDouble() - 1);
        net.after(
                (long) (set.everyNs() * part),
                () -> {
                    if (keeper.idle()) {
                        slice(capture());
                    } else {
                        later();
                    }
                });
    }

    private Capture capture() {
        return new Capture(stages.policy.learned(clock.now()), stages::addressOf);
    }

    private void slice(Capture c) {
        if (c.slice(clock::now, clock.now() + set.sliceNs())) {
            keeper.offer(kept(c));
            later();
        } else {
            net.after(PAUSE_NS, () -> slice(c));
        }
    }

    private Kept kept(Capture c) {
        return c.kept(
                new Kept.Head(
                        Version.TEXT,
                        config.name(),
                        machine(),
                        config.settings().zone(),
                        start,
                        0,
                        clock.now() / 1_000_000,
                        stages.discovery.version()),
                stages.platform.last(config.news()));
    }

    /** When nothing is in hand any more; all at once, since nobody waits. */
    void last() {
        if (stages != null) {
            Capture c = capture();
            c.slice(clock::now, Long.MAX_VALUE);
            keeper.offer(kept(c));
        }
    }

    /** Not on the loop: waits for the last write, for a time that is bounded. */
    void close() throws InterruptedException {
        keeper.close(set.lastWithinNs());
    }

    /** Tells a machine from another without telling its name. */
    private static String machine() {
        try {
            CRC32C mark = new CRC32C();
            mark.update(
                    Files.readString(MACHINE, StandardCharsets.ISO_8859_1)
                            .getBytes(StandardCharsets.ISO_8859_1));
            return Long.toHexString(mark.getValue());
        } catch (IOException e) {
            return "";
        }
    }
}
