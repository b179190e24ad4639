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
 * Keeps what the sidecar has learned across restarts: loads the newest snapshot before the first
 * client is accepted, and captures a new one periodically. Methods are called on the event loop
 * unless they say otherwise; files are read and written on the store's thread.
 */
final class StatePersistence {
    private static final Path MACHINE_ID_FILE = Path.of("/etc/machine-id");

    /**
     * The pause between two slices of a snapshot, in which the event loop serves its connections.
     */
    private static final long SLICE_PAUSE_NS = 1_000_000L;

    private static final int MAX_LOGGED_NOTES = 3;

    private final FeatureSettings.StateSettings stateSettings;
    private final SidecarConfig config;
    private final Clock clock;
    private final RateLimitedLog log;
    private final StateStore store;
    private final SplittableRandom random;

    /** Identifies this start of the process in its snapshots. */
    private final long startId;

    private final Future<StateStore.LoadResult> pendingLoad;

    /** The newest snapshot until it is restored; null if there is none. */
    private StateStore.LoadResult loaded;

    /** The age of the loaded snapshot, or {@link StateDecay#UNKNOWN_AGE_NS}. */
    private long snapshotAgeNs;

    private NettyTransport transport;

    /** Null until {@link #restoreAndScheduleSnapshots}. */
    private SidecarComponents components;

    /** Begins to load the newest snapshot, on the store's thread. */
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
            // The store reports the error at each step that needs the folder.
        }
        store =
                new StateStore(
                        directory,
                        stateSettings.retainedFileCount(),
                        stateSettings.maxFileBytes(),
                        config.name(),
                        l -> log.info("state", l));
        // The seed may come from a file and be the same at each start, so the time is mixed in.
        random = new SplittableRandom(config.seed() ^ clock.nowNs());
        startId = random.nextLong();
        pendingLoad = store.openAsync();
    }

    /**
     * Waits until the newest snapshot is loaded, up to the configured timeout. Not called on the
     * event loop.
     */
    void awaitLoaded() throws InterruptedException {
        loaded = store.awaitLoad(pendingLoad, stateSettings.readTimeoutNs());
        if (loaded == null) {
            return;
        }
        loaded.notes().stream()
                .limit(MAX_LOGGED_NOTES)
                .forEach(l -> log.info("state", "passed over " + l));
        if (loaded.snapshot() == null) {
            log.info("state", "no state restored: no valid file in " + stateSettings.folder());
            loaded = null;
        } else {
            snapshotAgeNs =
                    StateDecay.computeAgeNs(loaded.snapshot().header().unixMs(), clock.nowNs());
        }
    }

    /**
     * Returns the configuration to start with: with the pod list of the snapshot if that is newer,
     * and with its rollout status if that is stricter.
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
                            + ", as in the snapshot");
        }
        boolean listUsable =
                SnapshotFilter.isPodListUsable(
                        snapshot, snapshotAgeNs, config.initialPodList().version());
        if (listUsable) {
            log.info(
                    "state",
                    "starting from list generation "
                            + snapshot.header().listVersion()
                            + " of the snapshot");
        }
        return config.withInitialState(
                listUsable ? toPodList(snapshot) : config.initialPodList(),
                stricterStatus == null ? config.initialRolloutStatus() : stricterStatus);
    }

    private static PodList toPodList(StateSnapshot snapshot) {
        Map<String, String> addresses = new LinkedHashMap<>();
        snapshot.pods().forEach(p -> addresses.put(p.learned().is().id(), p.address()));
        List<PodEntry> entries = snapshot.pods().stream().map(p -> p.learned().is()).toList();
        return new PodList(snapshot.header().listVersion(), true, entries, addresses);
    }

    /**
     * Restores into the policy what is still valid, then captures snapshots periodically. Called
     * before the first client is accepted.
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
            boolean fromOtherMachine = !loaded.snapshot().header().machine().equals(machineHash());
            log.info(
                    "state",
                    loaded.fileName()
                            + (fromOtherMachine ? ", written on another machine, " : ", ")
                            + describeAge()
                            + ": "
                            + restored);
            loaded = null;
        }
        scheduleSnapshot();
    }

    private String describeAge() {
        return snapshotAgeNs == StateDecay.UNKNOWN_AGE_NS
                ? "of unknown age"
                : snapshotAgeNs / 1_000_000 / 1e3 + " s old";
    }

    /** Returns the zone, routes and pods that the loaded values have to match to be restored. */
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

    /**
     * Schedules the next snapshot, with jitter so that sidecars that started together do not write
     * at the same time. A snapshot is skipped while the store is still writing.
     */
    private void scheduleSnapshot() {
        double jitterFactor = 1 + stateSettings.jitterRatio() * (2 * random.nextDouble() - 1);
        transport.schedule(
                (long) (stateSettings.snapshotIntervalNs() * jitterFactor),
                () -> {
                    if (store.isIdle()) {
                        captureSlice(newSnapshotBuilder());
                    } else {
                        scheduleSnapshot();
                    }
                });
    }

    private SnapshotBuilder newSnapshotBuilder() {
        return new SnapshotBuilder(
                components.policy.exportLearned(clock.nowNs()), components::podAddress);
    }

    /** Captures for one time slice; offers the snapshot to the store once it is complete. */
    private void captureSlice(SnapshotBuilder builder) {
        if (builder.collectUntil(
                clock::nowNs, clock.nowNs() + stateSettings.maxSnapshotSliceNs())) {
            store.offer(toSnapshot(builder));
            scheduleSnapshot();
        } else {
            transport.schedule(SLICE_PAUSE_NS, () -> captureSlice(builder));
        }
    }

    private StateSnapshot toSnapshot(SnapshotBuilder builder) {
        return builder.toSnapshot(
                new StateSnapshot.Header(
                        Version.VERSION,
                        config.name(),
                        machineHash(),
                        config.settings().zone(),
                        startId,
                        0,
                        clock.nowNs() / 1_000_000,
                        components.discoveryClient.listVersion()),
                components.releasePlatformClient.latestStatusOr(config.initialRolloutStatus()));
    }

    /**
     * Captures and offers the final snapshot. The capture takes a single slice, since no req is in
     * flight any more.
     */
    void writeFinalSnapshot() {
        if (components != null) {
            SnapshotBuilder builder = newSnapshotBuilder();
            builder.collectUntil(clock::nowNs, Long.MAX_VALUE);
            store.offer(toSnapshot(builder));
        }
    }

    /** Waits for the last write, up to the configured timeout. Not called on the event loop. */
    void awaitFinalWrite() throws InterruptedException {
        store.close(stateSettings.finalWriteTimeoutNs());
    }

    /**
     * Returns a checksum of the machine's ID, which distinguishes machines without disclosing the
     * ID; empty if the ID can't be read.
     */
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
