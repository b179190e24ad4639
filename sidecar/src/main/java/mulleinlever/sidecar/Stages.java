package mulleinlever.sidecar;

import io.netty.channel.ChannelHandler;
import mulleinlever.Policy;
import mulleinlever.Settings;

/**
 * The stages that a req passes and what stands beside them, put together around one {@link Policy}.
 */
final class Stages {
    /**
     * Descriptors for clients and for pods; the rest is for the files, the platform and discovery.
     */
    private static final double CLIENTS_PART = 0.55;

    private static final double PODS_PART = 0.35;

    final Clients clients;
    final Book book;
    final Discovery discovery;
    final Platform platform;
    final Policy policy;
    private final Pods pods;
    private final Flow flow = new Flow();
    private final Admit admit;
    private final Counts counts;
    private final Clock clock;
    private final Log log;
    private boolean wallClockStepped;

    Stages(Config config, Net net, Clock clock, Log log, Life life) {
        this.clock = clock;
        this.log = log;
        Settings set = config.settings();
        clients = new Clients((int) (CLIENTS_PART * config.sockets()), life);
        counts = new Counts(clock, log);
        book = new Book(clock, counts);
        pods =
                new Pods(
                        net,
                        clock,
                        log,
                        new Relay(book),
                        (int) (PODS_PART * config.sockets()),
                        set.limits(),
                        counts);
        discovery = new Discovery(net, clock, log, config.discovery(), pods);
        platform = new Platform(net, clock, log, config);
        Route route =
                new Route(
                        net,
                        clock,
                        book,
                        new Send(net, clock, book, pods),
                        discovery,
                        platform,
                        log);
        policy = new Policy(set, config.seed(), clock.now(), route);
        book.reportsTo(policy);
        route.asks(policy);
        discovery.reportsTo(policy);
        platform.reportsTo(policy);
        discovery.takeKnown(config.known());
        policy.news(clock.now(), config.news());
        admit = new Admit(set, book, route);
    }

    /** For one client's connection. */
    ChannelHandler client() {
        return new TakeIn(admit, clients, flow, book, clock, log);
    }

    /** Where a pod listens; null where that is not known. */
    String addressOf(String pod) {
        return pods.addressOf(pod);
    }

    /** A step is told to the policy once: it can't be undone. */
    private void watchWallClock() {
        long steppedNs = clock.steppedNs();
        if (steppedNs != 0 && !wallClockStepped) {
            wallClockStepped = true;
            log.say("clock", "the wall clock was stepped by " + steppedNs / 1_000_000 + " ms");
            policy.wallClockStepped();
        }
    }

    void sweep() {
        watchWallClock();
        clients.sweep(clock.now());
        pods.sweep(clock.now());
        counts.tell(policy.sight(clock.now()), clients.count(), pods.links(), discovery.ageNs());
    }
}
