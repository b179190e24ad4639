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
import mulleinlever.LearnedState;
import mulleinlever.PodEntry;
import mulleinlever.RolloutStatus;
import mulleinlever.Settings;
import mulleinlever.disk.FileSystemDirectory;
import mulleinlever.settings.FeatureSettings;
import mulleinlever.settings.Version;
import mulleinlever.state.SnapshotBuilder;
import mulleinlever.state.SnapshotFilter;
import mulleinlever.state.StateDecay;
import mulleinlever.state.StateSnapshot;
import mulleinlever.state.StateStore;

/**
 * What is kept over a restart: read before the first client comes, and captured from time to time.
 */
final class StatePersistence {
    private static final Path MACHINE = Path.of("/etc/machine-id");

    /** Between two slices of a capture the loop turns to its connections. */
    private static final long PAUSE_NS = 1_000_000L;

    private static final int MOST_LINES = 3;

    private final FeatureSettings.StateSettings set;
    private final SidecarConfig config;
    private final Clock clock;
    private final RateLimitedLog log;
    private final StateStore keeper;
    private final SplittableRandom random;
    private final long start;
    private final Future<StateStore.LoadResult> opening;
    private StateStore.LoadResult found;
    private long ageNs;
    private NettyTransport net;
    private SidecarComponents stages;

    /** Begins to read, on a thread of its own. */
    StatePersistence(
            FeatureSettings.StateSettings set,
            SidecarConfig config,
            Clock clock,
            RateLimitedLog log) {
        this.set = set;
        this.config = config;
        this.clock = clock;
        this.log = log;
        FileSystemDirectory disk = new FileSystemDirectory(set.folder());
        try {
            disk.createDirectories();
        } catch (IOException e) {
            // The keeper says so at each step that needs it.
        }
        keeper =
                new StateStore(
                        disk,
                        set.retainedFileCount(),
                        set.maxFileBytes(),
                        config.name(),
                        l -> log.info("state", l));
        // The seed alone may stand in a file and be the same at each start.
        random = new SplittableRandom(config.seed() ^ clock.nowNs());
        start = random.nextLong();
        opening = keeper.openAsync();
    }

    /** Not on the loop: waits for what is read, for a time that is bounded. */
    void awaitLoaded() throws InterruptedException {
        found = keeper.awaitLoad(opening, set.readTimeoutNs());
        if (found == null) {
            return;
        }
        found.skippedFiles().stream()
                .limit(MOST_LINES)
                .forEach(l -> log.info("state", "passed over " + l));
        if (found.snapshot() == null) {
            log.info("state", "nothing taken: no whole file in " + set.folder());
            found = null;
        } else {
            ageNs = StateDecay.computeAgeNs(found.snapshot().head().unixMs(), clock.nowNs());
        }
    }

    /**
     * The configuration to start from: the list that was kept where it is newer, news that allow
     * less.
     */
    SidecarConfig initialConfig() {
        if (found == null) {
            return config;
        }
        StateSnapshot kept = found.snapshot();
        RolloutStatus tighter =
                SnapshotFilter.selectIfStricter(
                        kept.rolloutStatus(), config.initialRolloutStatus());
        if (tighter != null) {
            log.info(
                    "state",
                    "build " + tighter.build() + " stays " + tighter.phase() + ", as it was kept");
        }
        boolean list =
                SnapshotFilter.isPodListUsable(kept, ageNs, config.initialPodList().version());
        if (list) {
            log.info(
                    "state",
                    "starting from list " + kept.head().listVersion() + ", as it was kept");
        }
        return config.withInitialState(
                list ? list(kept) : config.initialPodList(),
                tighter == null ? config.initialRolloutStatus() : tighter);
    }

    private static PodList list(StateSnapshot kept) {
        Map<String, String> addresses = new LinkedHashMap<>();
        kept.pods().forEach(p -> addresses.put(p.learned().is().id(), p.address()));
        List<PodEntry> entries = kept.pods().stream().map(p -> p.learned().is()).toList();
        return new PodList(kept.head().listVersion(), true, entries, addresses);
    }

    /**
     * On the loop, before the first client: gives the policy what still holds, then captures from
     * time to time.
     */
    void restoreAndScheduleSnapshots(NettyTransport on, SidecarComponents of) {
        net = on;
        stages = of;
        if (found != null) {
            SnapshotFilter.RestoreResult taken =
                    SnapshotFilter.filter(found.snapshot(), ageNs, here());
            taken.restoredValues().forEach(l -> stages.policy.restoreLearned(clock.nowNs(), l));
            boolean moved = !found.snapshot().head().machine().equals(machine());
            log.info(
                    "state",
                    found.fileName()
                            + (moved ? ", written on another machine, " : ", ")
                            + age()
                            + ": "
                            + taken);
            found = null;
        }
        later();
    }

    private String age() {
        return ageNs == StateDecay.UNKNOWN_AGE_NS
                ? "of unknown age"
                : ageNs / 1_000_000 / 1e3 + " s old";
    }

    private SnapshotFilter.RestoreContext here() {
        Map<String, PodEntry> pods = new HashMap<>();
        Map<String, String> addresses = new HashMap<>();
        stages.policy
                .exportLearned(clock.nowNs())
                .forEachRemaining(
                        l -> {
                            if (l instanceof LearnedState.PodStats p) {
                                pods.put(p.is().id(), p.is());
                                addresses.put(p.is().id(), stages.podAddress(p.is().id()));
                            }
                        });
        return new SnapshotFilter.RestoreContext(
                config.settings().zone(),
                config.settings().routes().stream()
                        .map(Settings.RouteSettings::name)
                        .collect(Collectors.toSet()),
                pods,
                addresses);
    }

    /** With jitter, so that sidecars that started together do not write together. */
    private void later() {
        double part = 1 + set.jitterRatio() * (2 * random.nextDouble() - 1);
        net.schedule(
                (long) (set.captureIntervalNs() * part),
                () -> {
                    if (keeper.isIdle()) {
                        slice(capture());
                    } else {
                        later();
                    }
                });
    }

    private SnapshotBuilder capture() {
        return new SnapshotBuilder(stages.policy.exportLearned(clock.nowNs()), stages::podAddress);
    }

    private void slice(SnapshotBuilder c) {
        if (c.collectUntil(clock::nowNs, clock.nowNs() + set.maxCaptureSliceNs())) {
            keeper.offer(kept(c));
            later();
        } else {
            net.schedule(PAUSE_NS, () -> slice(c));
        }
    }

    private StateSnapshot kept(SnapshotBuilder c) {
        return c.toSnapshot(
                new StateSnapshot.Header(
                        Version.TEXT,
                        config.name(),
                        machine(),
                        config.settings().zone(),
                        start,
                        0,
                        clock.nowNs() / 1_000_000,
                        stages.discovery.listVersion()),
                stages.releasePlatform.latestStatusOr(config.initialRolloutStatus()));
    }

    /** When nothing is in hand any more; all at once, since nobody waits. */
    void writeFinalSnapshot() {
        if (stages != null) {
            SnapshotBuilder c = capture();
            c.collectUntil(clock::nowNs, Long.MAX_VALUE);
            keeper.offer(kept(c));
        }
    }

    /** Not on the loop: waits for the last write, for a time that is bounded. */
    void awaitFinalWrite() throws InterruptedException {
        keeper.close(set.finalWriteTimeoutNs());
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
