package mulleinlever.sidecar;

import io.netty.channel.ChannelFuture;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import mulleinlever.Settings;
import mulleinlever.settings.FeatureSettings;
import mulleinlever.settings.InvalidInputException;

/** The real sidecar: puts its parts together, starts and ends. */
public final class SidecarServer {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long SECOND_NS = 1_000 * MILLISECOND_NS;

    /** Who sends to us hears late that we leave. */
    private static final long LEAVING_DURATION_NS = 500 * MILLISECOND_NS;

    /** What was taken last may be answered this much after its route timeout. */
    private static final long FINISHING_SLACK_NS = 100 * MILLISECOND_NS;

    /** From the start of the process: until then it waits for a list that is known to be true. */
    private static final long MAX_LIST_WAIT_NS = 5 * SECOND_NS;

    private static final long LIST_CHECK_INTERVAL_NS = 20 * MILLISECOND_NS;
    private static final long BIND_RETRY_DELAY_NS = 250 * MILLISECOND_NS;
    private static final int MAX_BIND_ATTEMPTS = 40;
    private static final long LOOP_CHECK_INTERVAL_NS = 50 * MILLISECOND_NS;
    private static final long LOGGED_LOOP_DELAY_NS = 50 * MILLISECOND_NS;

    private final SidecarConfig config;

    /** Null where nothing is remembered. */
    private final StatePersistence persistence;

    private final Clock clock;
    private final RateLimitedLog log;
    private final Lifecycle lifecycle;
    private final NettyTransport transport;
    private final ConfigReloader reloader;
    private final CountDownLatch endedLatch = new CountDownLatch(1);
    private final long startedNs;
    private SidecarComponents components;
    private long lastLoopCheckNs;

    private SidecarServer(
            Map<String, String> env,
            SidecarConfig config,
            StatePersistence persistence,
            Clock clock,
            RateLimitedLog log) {
        this.config = config;
        this.persistence = persistence;
        this.clock = clock;
        this.startedNs = clock.nowNs();
        this.log = log;
        this.lifecycle = new Lifecycle(log);
        this.transport = new NettyTransport(log);
        this.reloader = new ConfigReloader(env, config, transport, log);
    }

    /**
     * Serves until the process is told to stop; the exit code is 0 then, 2 where it can't start.
     *
     * @param featureFiles files of ours, in TOML, that switch on what is off without them
     */
    public static int run(Map<String, String> env, List<Path> featureFiles)
            throws InterruptedException {
        Clock clock = new Clock();
        RateLimitedLog log = new RateLimitedLog(System.err, clock);
        NettyLogHandler.install(log);
        SidecarConfig config;
        FeatureSettings features;
        try {
            config = SidecarConfig.load(env);
            features =
                    featureFiles.isEmpty()
                            ? FeatureSettings.NONE
                            : FeatureSettings.read(featureFiles);
        } catch (RuntimeException e) {
            log.info("config", e instanceof InvalidInputException ? e.getMessage() : e.toString());
            return 2;
        }
        // Not even named where it is off: what it needs is not on the bare daemon's class path.
        StatePersistence persistence =
                features.stateSettings() == null
                        ? null
                        : new StatePersistence(features.stateSettings(), config, clock, log);
        SidecarServer server = new SidecarServer(env, config, persistence, clock, log);
        Runtime.getRuntime().addShutdownHook(new Thread(server::stop, "stop"));
        AtomicInteger exitCode = new AtomicInteger();
        server.reloader.installSignalHandler();
        if (persistence == null) {
            // Discovery may have a long line, so it is asked while the rehearsal goes on.
            server.transport.execute(server::createComponents);
        }
        WarmUp.run(
                config,
                rehearsal -> {
                    log.info("life", rehearsal.toString());
                    server.awaitLoadedState();
                    server.transport.execute(
                            () -> {
                                try {
                                    server.start(exitCode);
                                } catch (RuntimeException e) {
                                    log.info("life", "can't start: " + e);
                                    exitCode.set(2);
                                    server.end();
                                }
                            });
                });
        server.endedLatch.await();
        server.awaitFinalWrite();
        return exitCode.get();
    }

    /** On the rehearsal's thread, which may wait. */
    private void awaitLoadedState() {
        try {
            if (persistence != null) {
                persistence.awaitLoaded();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitFinalWrite() throws InterruptedException {
        if (persistence != null) {
            persistence.awaitFinalWrite();
        }
    }

    private void start(AtomicInteger exitCode) {
        if (lifecycle.isIn(Lifecycle.Phase.ENDED)) {
            return;
        }
        if (components == null) {
            createComponents();
        }
        if (persistence != null) {
            persistence.restoreAndScheduleSnapshots(transport, components);
        }
        components.releasePlatform.subscribe();
        reloader.applyTo(components);
        transport.scheduleAtFixedRate(SECOND_NS, components::runMaintenance);
        lastLoopCheckNs = clock.nowNs();
        transport.scheduleAtFixedRate(LOOP_CHECK_INTERVAL_NS, this::checkLoopDelay);
        listenWhenListConfirmed(exitCode);
    }

    /** Puts the stages together and asks discovery for the list. */
    private void createComponents() {
        components =
                new SidecarComponents(
                        persistence == null ? config : persistence.initialConfig(),
                        transport,
                        clock,
                        log,
                        lifecycle);
        if (!config.settings().requiresListWatch()) {
            components.discovery.openWatch();
        }
    }

    /**
     * Without a list that is known to be true requests are better served elsewhere; but not for
     * long.
     */
    private void listenWhenListConfirmed(AtomicInteger exitCode) {
        if (lifecycle.isIn(Lifecycle.Phase.ENDED)) {
            return;
        }
        if (components.discovery.isListConfirmedOrUnreachable()
                || clock.nowNs() >= startedNs + MAX_LIST_WAIT_NS) {
            listen(MAX_BIND_ATTEMPTS, exitCode);
        } else {
            transport.schedule(LIST_CHECK_INTERVAL_NS, () -> listenWhenListConfirmed(exitCode));
        }
    }

    /** A predecessor may hold the address for a moment after it was told to go. */
    private void listen(int remainingAttempts, AtomicInteger exitCode) {
        ChannelFuture bindFuture =
                transport.bind(config.listenAddress(), components::newClientHandler);
        bindFuture.addListener(
                f -> {
                    if (f.isSuccess()) {
                        components.clientConnections.setListener(bindFuture.channel());
                        lifecycle.advanceTo(Lifecycle.Phase.SERVING);
                    } else if (remainingAttempts > 1) {
                        transport.schedule(
                                BIND_RETRY_DELAY_NS, () -> listen(remainingAttempts - 1, exitCode));
                    } else {
                        log.info(
                                "life",
                                "can't listen at " + config.listenAddress() + ": " + f.cause());
                        exitCode.set(2);
                        end();
                    }
                });
    }

    /** All time limits are as late as the loop is. */
    private void checkLoopDelay() {
        long nowNs = clock.nowNs();
        long delayNs = nowNs - lastLoopCheckNs - LOOP_CHECK_INTERVAL_NS;
        if (delayNs > LOGGED_LOOP_DELAY_NS) {
            log.info(
                    "loop",
                    "late by "
                            + delayNs / MILLISECOND_NS
                            + " ms, "
                            + components.reqRegistry.inFlightCount()
                            + " reqs in hand");
        }
        lastLoopCheckNs = nowNs;
    }

    /** Runs when the process is told to stop, which it does when this returns. */
    private void stop() {
        if (lifecycle.isIn(Lifecycle.Phase.ENDED)) {
            return;
        }
        transport.execute(
                () -> {
                    if (lifecycle.isIn(Lifecycle.Phase.STARTING)) {
                        end();
                    } else if (lifecycle.advanceTo(Lifecycle.Phase.LEAVING)) {
                        transport.schedule(LEAVING_DURATION_NS, this::finish);
                    }
                });
        try {
            endedLatch.await(1, TimeUnit.MINUTES);
            awaitFinalWrite();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void finish() {
        lifecycle.advanceTo(Lifecycle.Phase.FINISHING);
        components.clientConnections.shutDown();
        long maxTimeoutNs =
                config.settings().routes().stream()
                        .mapToLong(Settings.RouteSettings::timeoutNs)
                        .max()
                        .orElse(0);
        transport.schedule(maxTimeoutNs + FINISHING_SLACK_NS, this::end);
        transport.scheduleAtFixedRate(
                10 * MILLISECOND_NS,
                () -> {
                    if (components.clientConnections.connectionCount() == 0) {
                        end();
                    }
                });
    }

    private void end() {
        if (lifecycle.advanceTo(Lifecycle.Phase.ENDED)) {
            if (persistence != null) {
                persistence.writeFinalSnapshot();
            }
            transport.close();
            endedLatch.countDown();
        }
    }
}
