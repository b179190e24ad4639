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
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    /** Who sends to us hears late that we leave. */
    private static final long LEAVING_NS = 500 * MS;

    /** What was taken last may be answered this much after its route timeout. */
    private static final long SLACK_NS = 100 * MS;

    /** From the start of the process: until then it waits for a list that is known to be true. */
    private static final long LIST_WITHIN_NS = 5 * SECOND;

    private static final long LIST_LOOK_NS = 20 * MS;
    private static final long LISTEN_AGAIN_NS = 250 * MS;
    private static final int LISTEN_TRIES = 40;
    private static final long WATCH_NS = 50 * MS;
    private static final long LATE_NS = 50 * MS;

    private final SidecarConfig config;

    /** Null where nothing is remembered. */
    private final StatePersistence memory;

    private final Clock clock;
    private final RateLimitedLog log;
    private final Lifecycle life;
    private final NettyTransport net;
    private final ConfigReloader reload;
    private final CountDownLatch done = new CountDownLatch(1);
    private final long startedNs;
    private SidecarComponents stages;
    private long lastNs;

    private SidecarServer(
            Map<String, String> env,
            SidecarConfig config,
            StatePersistence memory,
            Clock clock,
            RateLimitedLog log) {
        this.config = config;
        this.memory = memory;
        this.clock = clock;
        this.startedNs = clock.nowNs();
        this.log = log;
        this.life = new Lifecycle(log);
        this.net = new NettyTransport(log);
        this.reload = new ConfigReloader(env, config, net, log);
    }

    /**
     * Serves until the process is told to stop; the exit code is 0 then, 2 where it can't start.
     *
     * @param with files of ours, in TOML, that switch on what is off without them
     */
    public static int run(Map<String, String> env, List<Path> with) throws InterruptedException {
        Clock clock = new Clock();
        RateLimitedLog log = new RateLimitedLog(System.err, clock);
        NettyLogHandler.install(log);
        SidecarConfig config;
        FeatureSettings ours;
        try {
            config = SidecarConfig.load(env);
            ours = with.isEmpty() ? FeatureSettings.NONE : FeatureSettings.read(with);
        } catch (RuntimeException e) {
            log.info("config", e instanceof InvalidInputException ? e.getMessage() : e.toString());
            return 2;
        }
        // Not even named where it is off: what it needs is not on the bare daemon's class path.
        StatePersistence memory =
                ours.stateSettings() == null
                        ? null
                        : new StatePersistence(ours.stateSettings(), config, clock, log);
        SidecarServer serve = new SidecarServer(env, config, memory, clock, log);
        Runtime.getRuntime().addShutdownHook(new Thread(serve::stop, "stop"));
        AtomicInteger code = new AtomicInteger();
        serve.reload.installSignalHandler();
        if (memory == null) {
            // Discovery may have a long line, so it is asked while the rehearsal goes on.
            serve.net.execute(serve::prepare);
        }
        WarmUp.run(
                config,
                played -> {
                    log.info("life", played.toString());
                    serve.remember();
                    serve.net.execute(
                            () -> {
                                try {
                                    serve.start(code);
                                } catch (RuntimeException e) {
                                    log.info("life", "can't start: " + e);
                                    code.set(2);
                                    serve.end();
                                }
                            });
                });
        serve.done.await();
        serve.forgo();
        return code.get();
    }

    /** On the rehearsal's thread, which may wait. */
    private void remember() {
        try {
            if (memory != null) {
                memory.awaitLoaded();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void forgo() throws InterruptedException {
        if (memory != null) {
            memory.awaitFinalWrite();
        }
    }

    private void start(AtomicInteger code) {
        if (life.isIn(Lifecycle.Phase.ENDED)) {
            return;
        }
        if (stages == null) {
            prepare();
        }
        if (memory != null) {
            memory.restoreAndScheduleSnapshots(net, stages);
        }
        stages.releasePlatform.subscribe();
        reload.applyTo(stages);
        net.scheduleAtFixedRate(SECOND, stages::runMaintenance);
        lastNs = clock.nowNs();
        net.scheduleAtFixedRate(WATCH_NS, this::watchLoop);
        listenOnceListed(code);
    }

    /** Puts the stages together and asks discovery for the list. */
    private void prepare() {
        stages =
                new SidecarComponents(
                        memory == null ? config : memory.initialConfig(), net, clock, log, life);
        if (!config.settings().requiresListWatch()) {
            stages.discovery.openWatch();
        }
    }

    /**
     * Without a list that is known to be true requests are better served elsewhere; but not for
     * long.
     */
    private void listenOnceListed(AtomicInteger code) {
        if (life.isIn(Lifecycle.Phase.ENDED)) {
            return;
        }
        if (stages.discovery.isListConfirmedOrUnreachable()
                || clock.nowNs() >= startedNs + LIST_WITHIN_NS) {
            listen(LISTEN_TRIES, code);
        } else {
            net.schedule(LIST_LOOK_NS, () -> listenOnceListed(code));
        }
    }

    /** A predecessor may hold the address for a moment after it was told to go. */
    private void listen(int tries, AtomicInteger code) {
        ChannelFuture listening = net.bind(config.listenAddress(), stages::newClientHandler);
        listening.addListener(
                f -> {
                    if (f.isSuccess()) {
                        stages.clientConnections.setListener(listening.channel());
                        life.advanceTo(Lifecycle.Phase.SERVING);
                    } else if (tries > 1) {
                        net.schedule(LISTEN_AGAIN_NS, () -> listen(tries - 1, code));
                    } else {
                        log.info(
                                "life",
                                "can't listen at " + config.listenAddress() + ": " + f.cause());
                        code.set(2);
                        end();
                    }
                });
    }

    /** All time limits are as late as the loop is. */
    private void watchLoop() {
        long now = clock.nowNs();
        long late = now - lastNs - WATCH_NS;
        if (late > LATE_NS) {
            log.info(
                    "loop",
                    "late by "
                            + late / MS
                            + " ms, "
                            + stages.reqRegistry.inFlightCount()
                            + " reqs in hand");
        }
        lastNs = now;
    }

    /** Runs when the process is told to stop, which it does when this returns. */
    private void stop() {
        if (life.isIn(Lifecycle.Phase.ENDED)) {
            return;
        }
        net.execute(
                () -> {
                    if (life.isIn(Lifecycle.Phase.STARTING)) {
                        end();
                    } else if (life.advanceTo(Lifecycle.Phase.LEAVING)) {
                        net.schedule(LEAVING_NS, this::finish);
                    }
                });
        try {
            done.await(1, TimeUnit.MINUTES);
            forgo();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void finish() {
        life.advanceTo(Lifecycle.Phase.FINISHING);
        stages.clientConnections.shutDown();
        long longest =
                config.settings().routes().stream()
                        .mapToLong(Settings.RouteSettings::timeoutNs)
                        .max()
                        .orElse(0);
        net.schedule(longest + SLACK_NS, this::end);
        net.scheduleAtFixedRate(
                10 * MS,
                () -> {
                    if (stages.clientConnections.connectionCount() == 0) {
                        end();
                    }
                });
    }

    private void end() {
        if (life.advanceTo(Lifecycle.Phase.ENDED)) {
            if (memory != null) {
                memory.writeFinalSnapshot();
            }
            net.close();
            done.countDown();
        }
    }
}
