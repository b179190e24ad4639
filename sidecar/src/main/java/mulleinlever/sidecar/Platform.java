package mulleinlever.sidecar;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import mulleinlever.News;
import mulleinlever.Policy;
import mulleinlever.Settings;
import mulleinlever.Verdict;
import mulleinlever.settings.Fields;
import mulleinlever.settings.JsonFields;

/** The platform that stages builds: its news on one connection, each vote on one of its own. */
final class Platform {
    private static final int LONGEST = 8192;
    private static final long CONNECT_NS = 1_000_000_000L;

    /**
     * A sign of life comes each second: two missed, and what the platform tells may not reach us
     * any more.
     */
    private static final long SILENT_NS = 2_000_000_000L;

    private static final long RETRY_NS = 300_000_000L;
    private static final long ORDER_NS = 1_000_000_000L;
    private static final long MS = 1_000_000L;

    /** On trial, then released, or on the way back from either. */
    private static final List<News.Phase> PHASES =
            List.of(
                    News.Phase.ON_TRIAL,
                    News.Phase.RELEASED,
                    News.Phase.REVERTING,
                    News.Phase.WITHDRAWN);

    private static final Comparator<News> FORWARD =
            Comparator.comparingInt(News::build)
                    .thenComparingInt(n -> PHASES.indexOf(n.phase()))
                    .thenComparingInt(News::stage);

    private final Net net;
    private final Clock clock;
    private final Log log;
    private InetSocketAddress address;
    private final long voteWaitNs;
    private Policy policy;
    private News last;
    private long lastNs;
    private Listener listener;
    private final Again again;

    Platform(Net net, Clock clock, Log log, Config config) {
        this.net = net;
        this.clock = clock;
        this.log = log;
        this.address = config.platform();
        Settings set = config.settings();
        this.voteWaitNs = set.rollout().voteWaitNs();
        this.again =
                new Again(
                        RETRY_NS,
                        Again.mostFor(set.sidecars(), set.rollout().votesPerSecond()),
                        config.seed());
    }

    void reportsTo(Policy decides) {
        this.policy = decides;
    }

    static News.Phase phase(String word, Fields at) {
        return switch (word) {
            case "testing" -> News.Phase.ON_TRIAL;
            case "recalling" -> News.Phase.REVERTING;
            case "live" -> News.Phase.RELEASED;
            case "recalled" -> News.Phase.WITHDRAWN;
            default -> throw at.bad("phase", "testing, recalling, live or recalled");
        };
    }

    /**
     * News come on two connections, which may be read in another order than they were written in:
     * an old cap taken for the new one would let too many tries out. A build only goes forward, so
     * what lies behind the news just heard is left out; not for long, lest one odd line make us
     * deaf.
     */
    private void tell(News n) {
        long now = clock.now();
        if (last == null || now - lastNs > ORDER_NS || FORWARD.compare(n, last) >= 0) {
            last = n;
            lastNs = now;
            policy.news(now, n);
        }
    }

    /** Where the newest build stood when last told, be it at the start. */
    News last(News atFirst) {
        return last == null ? atFirst : last;
    }

    /** The news behind a line's first words. */
    private static News news(String[] words, int from) {
        News.Phase phase = phase(words[from + 2], new JsonFields("platform: ", null));
        return new News(
                Integer.parseInt(words[from]),
                Integer.parseInt(words[from + 1]),
                phase,
                Double.parseDouble(words[from + 3]),
                age(words[from + 4]));
    }

    private static long age(String ms) {
        return (long) (Math.max(0, Double.parseDouble(ms)) * MS);
    }

    void listen() {
        listener = new Listener();
        again.opened(clock.now());
        listener.open(address, CONNECT_NS, SILENT_NS);
    }

    /** Votes under way at the old address are still answered there, or end and may have counted. */
    void moved(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            listener.drop();
            listen();
        }
    }

    void vote(int build, int stage, Verdict verdict) {
        String word =
                switch (verdict) {
                    case NONE -> "clear";
                    case ON -> "approve";
                    case HOLD -> "wait";
                    case BACK -> "reject";
                };
        log.say("platform", "vote: build " + build + " stage " + stage + " " + word);
        new Vote("BALLOT " + build + " " + stage + " " + word)
                .open(address, Math.min(CONNECT_NS, voteWaitNs), voteWaitNs);
    }

    private final class Vote extends Lines {
        private final String ballot;

        Vote(String ballot) {
            super(net, LONGEST, log, "platform");
            this.ballot = ballot;
        }

        @Override
        String says() {
            return ballot + "\r\n";
        }

        @Override
        void line(String text) {
            if (text.startsWith("*")) {
                return;
            }
            String[] words = text.split(" ");
            boolean counts = words[0].equals("OK") && words.length >= 6;
            News n = counts ? news(words, 1) : null;
            drop();
            policy.voteAnswered(clock.now(), counts);
            if (counts) {
                tell(n);
            } else {
                log.say("platform", "vote not taken: " + text);
            }
        }

        /** With no answer it may count all the same, which the module allows for. */
        @Override
        void end(EndReason reason) {
            log.say("platform", "no answer to the vote: " + reason + " " + history());
            policy.voteAnswered(clock.now(), false);
        }
    }

    private final class Listener extends Lines {
        Listener() {
            super(net, LONGEST, log, "platform");
        }

        @Override
        String says() {
            return "NOTIFY\r\n";
        }

        @Override
        void line(String text) {
            limit(SILENT_NS);
            String[] w = text.split(" ");
            long now = clock.now();
            switch (w.length > 1 && w[0].equals("*") ? w[1] : "") {
                case "progress" -> tell(news(w, 2));
                case "metrics" ->
                        policy.tally(
                                now,
                                w[3],
                                Integer.parseInt(w[2]),
                                Double.parseDouble(w[4]),
                                Double.parseDouble(w[5]),
                                age(w[6]),
                                age(w[7]));
                case "complaint" -> policy.flagged(now, w[2], w[3]);
                default -> {}
            }
        }

        @Override
        void end(EndReason reason) {
            log.say("platform", "the news have ended: " + reason + " " + history());
            net.after(
                    again.endedNs(clock.now()),
                    () -> {
                        // Unless the platform has moved meanwhile: news heard twice would count
                        // twice.
                        if (listener == this) {
                            listen();
                        }
                    });
        }
    }
}
