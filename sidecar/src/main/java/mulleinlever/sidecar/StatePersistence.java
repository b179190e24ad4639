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
    private static final Path MACHINE_ID_FILE = Path.of("/etc/machine-id");

    /** Between two slices of a capture the loop turns to its connections. */
    private static final long SLICE_PAUSE_NS = 1_000_000L;

    private static final int MAX_LOGGED_SKIPPED_FILES = 3;

    private final FeatureSettings.StateSettings stateSettings;
    private final SidecarConfig config;
    private final Clock clock;
    private final RateLimitedLog log;
    private final StateStore store;
    private final SplittableRandom random;
    private final long startId;
    private final Future<StateStore.LoadResult> pendingLoad;
    private StateStore.LoadResult loaded;
    private long snapshotAgeNs;
    private NettyTransport transport;
    private SidecarComponents components;

    /** Begins to read, on a thread of its own. */
    StatePersistence(
            FeatureSettings.StateSettings stateSettings,
            SidecarConfig config,
            Clock clock,
            RateLimitedLog log) {
        this.stateSettings = stateSettings;
        this.config = config;
        this.clock = clock;
        this.log = log;
        FileSystemDirectory directory = new FileSystemDirectory(stateSettings.folder());
        try {
            directory.createDirectories();
        } catch (IOException e) {
            // The keeper says so at each step that needs it.
        }
        store =
                new StateStore(
                        directory,
                        stateSettings.retainedFileCount(),
                        stateSettings.maxFileBytes(),
                        config.name(),
                        l -> log.info("state", l));
        // The seed alone may stand in a file and be the same at each start.
        random = new SplittableRandom(config.seed() ^ clock.nowNs());
        startId = random.nextLong();
        pendingLoad = store.openAsync();
    }

    /** Not on the loop: waits for what is read, for a time that is bounded. */
    void awaitLoaded() throws InterruptedException {
        loaded = store.awaitLoad(pendingLoad, stateSettings.readTimeoutNs());
        if (loaded == null) {
            return;
        }
        loaded.skippedFiles().stream()
                .limit(MAX_LOGGED_SKIPPED_FILES)
                .forEach(l -> log.info("state", "passed over " + l));
        if (loaded.snapshot() == null) {
            log.info("state", "nothing taken: no whole file in " + stateSettings.folder());
            loaded = null;
        } else {
            snapshotAgeNs =
                    StateDecay.computeAgeNs(loaded.snapshot().head().unixMs(), clock.nowNs());
        }
    }

    /**
     * The configuration to start from: the list that was kept where it is newer, news that allow
     * less.
     */
    SidecarConfig initialConfig() {
        if (loaded == null) {
            return config;
        }
        StateSnapshot snapshot = loaded.snapshot();
        RolloutStatus stricterStatus =
                SnapshotFilter.selectIfStricter(
                        snapshot.rolloutStatus(), config.initialRolloutStatus());
        if (stricterStatus != null) {
            log.info(
                    "state",
                    "build "
                            + stricterStatus.build()
                            + " stays "
                            + stricterStatus.phase()
                            + ", as it was kept");
        }
        boolean listUsable =
                SnapshotFilter.isPodListUsable(
                        snapshot, snapshotAgeNs, config.initialPodList().version());
        if (listUsable) {
            log.info(
                    "state",
                    "starting from list " + snapshot.head().listVersion() + ", as it was kept");
        }
        return config.withInitialState(
                listUsable ? toPodList(snapshot) : config.initialPodList(),
                stricterStatus == null ? config.initialRolloutStatus() : stricterStatus);
    }

    private static PodList toPodList(StateSnapshot snapshot) {
        Map<String, String> addresses = new LinkedHashMap<>();
        snapshot.pods().forEach(p -> addresses.put(p.learned().is().id(), p.address()));
        List<PodEntry> entries = snapshot.pods().stream().map(p -> p.learned().is()).toList();
        return new PodList(snapshot.head().listVersion(), true, entries, addresses);
    }

    /**
     * On the loop, before the first client: gives the policy what still holds, then captures from
     * time to time.
     */
    void restoreAndScheduleSnapshots(
            NettyTransport nettyTransport, SidecarComponents sidecarComponents) {
        transport = nettyTransport;
        components = sidecarComponents;
        if (loaded != null) {
            SnapshotFilter.RestoreResult restored =
                    SnapshotFilter.filter(loaded.snapshot(), snapshotAgeNs, restoreContext());
            restored.restoredValues()
                    .forEach(l -> components.policy.restoreLearned(clock.nowNs(), l));
            boolean fromOtherMachine = !loaded.snapshot().head().machine().equals(machineHash());
            log.info(
                    "state",
                    loaded.fileName()
                            + (fromOtherMachine ? ", written on another machine, " : ", ")
                            + describeAge()
                            + ": "
                            + restored);
            loaded = null;
        }
        scheduleCapture();
    }

    private String describeAge() {
        return snapshotAgeNs == StateDecay.UNKNOWN_AGE_NS
                ? "of unknown age"
                : snapshotAgeNs / 1_000_000 / 1e3 + " s old";
    }

    private SnapshotFilter.RestoreContext restoreContext() {
        Map<String, PodEntry> pods = new HashMap<>();
        Map<String, String> addresses = new HashMap<>();
        components
                .policy
                .exportLearned(clock.nowNs())
                .forEachRemaining(
                        l -> {
                            if (l instanceof LearnedState.PodStats p) {
                                pods.put(p.is().id(), p.is());
                                addresses.put(p.is().id(), components.podAddress(p.is().id()));
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
    private void scheduleCapture() {
        double jitterFactor = 1 + stateSettings.jitterRatio() * (2 * random.nextDouble() - 1);
        transport.schedule(
                (long) (stateSettings.captureIntervalNs() * jitterFactor),
                () -> {
                    if (store.isIdle()) {
                        captureSlice(newSnapshotBuilder());
                    } else {
                        scheduleCapture();
                    }
                });
    }

    private SnapshotBuilder newSnapshotBuilder() {
        return new SnapshotBuilder(
                components.policy.exportLearned(clock.nowNs()), components::podAddress);
    }

    private void captureSlice(SnapshotBuilder builder) {
        if (builder.collectUntil(clock::nowNs, clock.nowNs() + stateSettings.maxCaptureSliceNs())) {
            store.offer(toSnapshot(builder));
            scheduleCapture();
        } else {
            transport.schedule(SLICE_PAUSE_NS, () -> captureSlice(builder));
        }
    }

    private StateSnapshot toSnapshot(SnapshotBuilder builder) {
        return builder.toSnapshot(
                new StateSnapshot.Header(
                        Version.TEXT,
                        config.name(),
                        machineHash(),
                        config.settings().zone(),
                        startId,
                        0,
                        clock.nowNs() / 1_000_000,
                        components.discovery.listVersion()),
                components.releasePlatform.latestStatusOr(config.initialRolloutStatus()));
    }

    /** When nothing is in hand any more; all at once, since nobody waits. */
    void writeFinalSnapshot() {
        if (components != null) {
            SnapshotBuilder builder = newSnapshotBuilder();
            builder.collectUntil(clock::nowNs, Long.MAX_VALUE);
            store.offer(toSnapshot(builder));
        }
    }

    /** Not on the loop: waits for the last write, for a time that is bounded. */
    void awaitFinalWrite() throws InterruptedException {
        store.close(stateSettings.finalWriteTimeoutNs());
    }

    /** Tells a machine from another without telling its name. */
    private static String machineHash() {
        try {
            CRC32C checksum = new CRC32C();
            checksum.update(
                    Files.readString(MACHINE_ID_FILE, StandardCharsets.ISO_8859_1)
                            .getBytes(StandardCharsets.ISO_8859_1));
            return Long.toHexString(checksum.getValue());
        } catch (IOException e) {
            return "";
        }
    }
}
