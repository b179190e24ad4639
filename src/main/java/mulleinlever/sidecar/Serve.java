package mulleinlever.sidecar;

import io.netty.channel.ChannelFuture;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import mulleinlever.Policy;
import mulleinlever.Settings;

/** The real sidecar: puts its parts together, starts and ends. */
public final class Serve {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    /** Descriptors for clients and for pods; the rest is for the files, the platform and discovery. */
    private static final double CLIENTS_PART = 0.55;
    private static final double PODS_PART = 0.35;
    /** Who sends to us hears late that we leave. */
    private static final long LEAVING_NS = 500 * MS;
    /** What was taken last may be answered this much after its route timeout. */
    private static final long SLACK_NS = 100 * MS;
    private static final long LISTEN_AGAIN_NS = 250 * MS;
    private static final int LISTEN_TRIES = 40;
    private static final long WATCH_NS = 50 * MS;
    private static final long LATE_NS = 50 * MS;

    private final Map<String, String> env;
    private final Config config;
    private final Clock clock;
    private final Log log;
    private final Life life;
    private final Net net;
    private final CountDownLatch done = new CountDownLatch(1);
    private final Clients clients;
    private final Book book;
    private final Pods pods;
    private final Flow flow = new Flow();
    private Admit admit;
    private long lastNs;

    private Serve(Map<String, String> env, Config config, Clock clock, Log log) {
        this.env = env;
        this.config = config;
        this.clock = clock;
        this.log = log;
        this.life = new Life(log);
        this.net = new Net(log);
        this.clients = new Clients((int) (CLIENTS_PART * config.sockets()), life);
        this.book = new Book(clock);
        this.pods = new Pods(net, clock, log, new Relay(book), (int) (PODS_PART * config.sockets()),
                config.settings().limits());
    }

    /** Serves until the process is told to stop; the exit code is 0 then, 2 where it can't start. */
    public static int run(Map<String, String> env) throws InterruptedException {
        Clock clock = new Clock();
        Log log = new Log(System.err, clock);
        Config config;
        try {
            config = Config.load(env);
        } catch (RuntimeException e) {
            log.say("config", e instanceof Fault ? e.getMessage() : e.toString());
            return 2;
        }
        Serve serve = new Serve(env, config, clock, log);
        Runtime.getRuntime().addShutdownHook(new Thread(serve::stop, "stop"));
        AtomicInteger code = new AtomicInteger();
        serve.net.soon(() -> {
            try {
                serve.start(code);
            } catch (RuntimeException e) {
                log.say("life", "can't start: " + e);
                code.set(2);
                serve.end();
            }
        });
        serve.done.await();
        return code.get();
    }

    private void start(AtomicInteger code) {
        Settings set = config.settings();
        Send send = new Send(net, clock, book, pods);
        Discovery discovery = new Discovery(net, clock, log, config.discovery(), pods);
        Platform platform = new Platform(net, clock, log, config.platform(), set.rollout().voteWaitNs());
        Route route = new Route(net, clock, book, send, discovery, platform, log);
        Policy policy = new Policy(set, config.seed(), clock.now(), route);
        book.reportsTo(policy);
        route.asks(policy);
        discovery.reportsTo(policy);
        platform.reportsTo(policy);
        discovery.take(config.known());
        policy.news(clock.now(), config.news());
        admit = new Admit(set, book, route);
        new Reload(env, config, net, log, discovery, platform).listen();
        platform.listen();
        if (!set.listMustBeAsked()) {
            discovery.watch();
        }
        net.every(SECOND, () -> {
            clients.sweep(clock.now());
            pods.sweep(clock.now());
        });
        lastNs = clock.now();
        net.every(WATCH_NS, this::watchLoop);
        listen(LISTEN_TRIES, code);
    }

    /** A predecessor may hold the address for a moment after it was told to go. */
    private void listen(int tries, AtomicInteger code) {
        ChannelFuture listening = net.listen(config.listen(),
                () -> new TakeIn(admit, clients, flow, book, clock, log));
        listening.addListener(f -> {
            if (f.isSuccess()) {
                clients.listensAt(listening.channel());
                life.enter(Life.Phase.SERVING);
            } else if (tries > 1) {
                net.after(LISTEN_AGAIN_NS, () -> listen(tries - 1, code));
            } else {
                log.say("life", "can't listen at " + config.listen() + ": " + f.cause());
                code.set(2);
                end();
            }
        });
    }

    /** All time limits are as late as the loop is. */
    private void watchLoop() {
        long now = clock.now();
        long late = now - lastNs - WATCH_NS;
        if (late > LATE_NS) {
            log.say("loop", "late by " + late / MS + " ms, " + book.count() + " reqs in hand");
        }
        lastNs = now;
    }

    /** Runs when the process is told to stop, which it does when this returns. */
    private void stop() {
        if (life.is(Life.Phase.ENDED)) {
            return;
        }
        net.soon(() -> {
            if (life.is(Life.Phase.STARTING)) {
                end();
            } else if (life.enter(Life.Phase.LEAVING)) {
                net.after(LEAVING_NS, this::finish);
            }
        });
        try {
            done.await(1, TimeUnit.MINUTES);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void finish() {
        life.enter(Life.Phase.FINISHING);
        clients.finish();
        long longest = config.settings().routes().stream().mapToLong(Settings.Route::timeoutNs).max()
                .orElse(0);
        net.after(longest + SLACK_NS, this::end);
        net.every(10 * MS, () -> {
            if (clients.count() == 0) {
                end();
            }
        });
    }

    private void end() {
        if (life.enter(Life.Phase.ENDED)) {
            net.close();
            done.countDown();
        }
    }
}
