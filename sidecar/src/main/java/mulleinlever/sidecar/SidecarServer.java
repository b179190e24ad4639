package mulleinlever.sidecar;

import io.netty.channel.ChannelFuture;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import mulleinlever.ShutdownPolicy;
import mulleinlever.settings.FeatureSettings;
import mulleinlever.settings.InvalidInputException;

/**
 * The sidecar process: creates the components, starts serving and shuts down gracefully. The
 * components are used on the event loop; only the waits for stored state, for the last write and
 * for the end of the process are on other threads.
 */
public final class SidecarServer {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long SECOND_NS = 1_000 * MILLISECOND_NS;

    /**
     * The maximum time to wait for a confirmed pod list before listening, counted from the start of
     * the process.
     */
    private static final long MAX_LIST_WAIT_NS = 5 * SECOND_NS;

    private static final long LIST_CHECK_INTERVAL_NS = 20 * MILLISECOND_NS;
    private static final long BIND_RETRY_DELAY_NS = 250 * MILLISECOND_NS;
    private static final int MAX_BIND_ATTEMPTS = 40;
    private static final long STALL_CHECK_INTERVAL_NS = 100 * MILLISECOND_NS;

    private final SidecarConfig config;

    /** Null if persistence is off. */
    private final StatePersistence persistence;

    private final Clock clock;
    private final RateLimitedLog log;
    private final ShutdownPolicy shutdownPolicy;
    private final Lifecycle lifecycle;
    private final NettyTransport transport;
    private final ConfigReloader reloader;
    private final CountDownLatch endedLatch = new CountDownLatch(1);
    private final long startedNs;

    /** Null until {@link #createComponents}. */
    private SidecarComponents components;

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
        this.shutdownPolicy = new ShutdownPolicy(config.settings().longestTimeoutNs());
        this.lifecycle = new Lifecycle(log, shutdownPolicy);
        this.transport = new NettyTransport(log);
        this.reloader = new ConfigReloader(env, config, transport, log);
    }

    /**
     * Serves until the process is asked to stop.
     *
     * @param env the environment variables
     * @param featureFiles TOML files that enable optional features
     * @return the exit code: 0 after a shutdown, 2 if the sidecar can't start
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
        // If persistence is off, its class is not loaded either: the libraries it needs are not on
        // the class path of a bare deployment.
        StatePersistence persistence =
                features.stateSettings() == null
                        ? null
                        : new StatePersistence(features.stateSettings(), config, clock, log);
        SidecarServer server = new SidecarServer(env, config, persistence, clock, log);
        Runtime.getRuntime().addShutdownHook(new Thread(server::stop, "stop"));
        AtomicInteger exitCode = new AtomicInteger();
        server.reloader.installSignalHandler();
        if (persistence == null) {
            // A call may wait long in discovery's queue, so the watch opens during the warm-up.
            server.transport.execute(server::createComponents);
        }
        WarmUp.run(
                config,
                warmUp -> {
                    log.info("life", warmUp.toString());
                    server.awaitLoadedState();
                    server.transport.execute(
                            () -> {
                                try {
                                    server.start(exitCode);
                                } catch (RuntimeException e) {
                                    log.info("life", "failed to start: " + e);
                                    exitCode.set(2);
                                    server.end();
                                }
                            });
                });
        server.endedLatch.await();
        server.awaitFinalWrite();
        return exitCode.get();
    }

    /** Waits for the stored state. Called on the thread of the warm-up, which may block. */
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
        components.releasePlatformClient.subscribe();
        reloader.applyTo(components);
        transport.scheduleAtFixedRate(SECOND_NS, components::runMaintenance);
        transport.scheduleAtFixedRate(
                STALL_CHECK_INTERVAL_NS, components.clientConnections::closeStalled);
        components.eventLoopMonitor.start();
        listenWhenListConfirmed(exitCode);
    }

    /** Creates the components and opens a watch of the pod list, unless the policy opens it. */
    private void createComponents() {
        components =
                new SidecarComponents(
                        persistence == null ? config : persistence.initialConfig(),
                        transport,
                        clock,
                        log,
                        lifecycle);
        if (!config.settings().requiresListWatch()) {
            components.discoveryClient.openWatch();
        }
    }

    /**
     * Listens once the pod list is confirmed or discovery refuses connections. Without a current
     * list, clients are better served by other sidecars, so the wait lasts up to {@link
     * #MAX_LIST_WAIT_NS}.
     */
    private void listenWhenListConfirmed(AtomicInteger exitCode) {
        if (lifecycle.isIn(Lifecycle.Phase.ENDED)) {
            return;
        }
        if (components.discoveryClient.isListConfirmedOrUnreachable()
                || clock.nowNs() >= startedNs + MAX_LIST_WAIT_NS) {
            listen(MAX_BIND_ATTEMPTS, exitCode);
        } else {
            transport.schedule(LIST_CHECK_INTERVAL_NS, () -> listenWhenListConfirmed(exitCode));
        }
    }

    /**
     * Binds the listening socket, with retries: a predecessor may hold the address for a moment
     * after it was asked to stop.
     */
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
                                "failed to listen at " + config.listenAddress() + ": " + f.cause());
                        exitCode.set(2);
                        end();
                    }
                });
    }

    /**
     * Shuts down gracefully. This is the shutdown hook of the process, which exits when this
     * returns.
     */
    private void stop() {
        if (lifecycle.isIn(Lifecycle.Phase.ENDED)) {
            return;
        }
        // The event loop may be late, but the time until the kill runs from the signal.
        lifecycle.setStopRequestedNs(clock.nowNs());
        transport.execute(
                () -> {
                    if (lifecycle.isIn(Lifecycle.Phase.STARTING)) {
                        end();
                    } else {
                        newShutdown().begin();
                    }
                });
        try {
            endedLatch.await(1, TimeUnit.MINUTES);
            awaitFinalWrite();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private GracefulShutdown newShutdown() {
        return new GracefulShutdown(
                shutdownPolicy, lifecycle, components, transport, clock, log, this::end);
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
