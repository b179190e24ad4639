package mulleinlever.sidecar;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import mulleinlever.Policy;
import mulleinlever.RolloutStatus;
import mulleinlever.RolloutVote;
import mulleinlever.Settings;
import mulleinlever.settings.FieldReader;
import mulleinlever.settings.JsonFieldReader;

/** The platform that stages builds: its news on one connection, each vote on one of its own. */
final class ReleasePlatformClient {
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
    private static final List<RolloutStatus.Phase> PHASES =
            List.of(
                    RolloutStatus.Phase.ON_TRIAL,
                    RolloutStatus.Phase.RELEASED,
                    RolloutStatus.Phase.REVERTING,
                    RolloutStatus.Phase.WITHDRAWN);

    private static final Comparator<RolloutStatus> FORWARD =
            Comparator.comparingInt(RolloutStatus::build)
                    .thenComparingInt(n -> PHASES.indexOf(n.phase()))
                    .thenComparingInt(RolloutStatus::stage);

    private final NettyTransport net;
    private final Clock clock;
    private final RateLimitedLog log;
    private InetSocketAddress address;
    private final long voteWaitNs;
    private Policy policy;
    private RolloutStatus last;
    private long lastNs;
    private NotificationConnection listener;
    private final ReconnectBackoff again;

    ReleasePlatformClient(
            NettyTransport net, Clock clock, RateLimitedLog log, SidecarConfig config) {
        this.net = net;
        this.clock = clock;
        this.log = log;
        this.address = config.releaseApiAddress();
        Settings set = config.settings();
        this.voteWaitNs = set.rollout().voteTimeoutNs();
        this.again =
                new ReconnectBackoff(
                        RETRY_NS,
                        ReconnectBackoff.maxDelayNs(
                                set.sidecarCount(), set.rollout().votesPerSecond()),
                        config.seed());
    }

    void setPolicy(Policy decides) {
        this.policy = decides;
    }

    static RolloutStatus.Phase parsePhase(String word, FieldReader at) {
        return switch (word) {
            case "testing" -> RolloutStatus.Phase.ON_TRIAL;
            case "recalling" -> RolloutStatus.Phase.REVERTING;
            case "live" -> RolloutStatus.Phase.RELEASED;
            case "recalled" -> RolloutStatus.Phase.WITHDRAWN;
            default -> throw at.fieldError("phase", "testing, recalling, live or recalled");
        };
    }

    /**
     * News come on two connections, which may be read in another order than they were written in:
     * an old cap taken for the new one would let too many tries out. A build only goes forward, so
     * what lies behind the news just heard is left out; not for long, lest one odd line make us
     * deaf.
     */
    private void tell(RolloutStatus n) {
        long now = clock.nowNs();
        if (last == null || now - lastNs > ORDER_NS || FORWARD.compare(n, last) >= 0) {
            last = n;
            lastNs = now;
            policy.onRolloutStatus(now, n);
        }
    }

    /** Where the newest build stood when last told, be it at the start. */
    RolloutStatus latestStatusOr(RolloutStatus atFirst) {
        return last == null ? atFirst : last;
    }

    /** The news behind a line's first words. */
    private static RolloutStatus news(String[] words, int from) {
        RolloutStatus.Phase phase =
                parsePhase(words[from + 2], new JsonFieldReader("platform: ", null));
        return new RolloutStatus(
                Integer.parseInt(words[from]),
                Integer.parseInt(words[from + 1]),
                phase,
                Double.parseDouble(words[from + 3]),
                age(words[from + 4]));
    }

    private static long age(String ms) {
        return (long) (Math.max(0, Double.parseDouble(ms)) * MS);
    }

    void subscribe() {
        listener = new NotificationConnection();
        again.recordOpened(clock.nowNs());
        listener.connect(address, CONNECT_NS, SILENT_NS);
    }

    /** Votes under way at the old address are still answered there, or end and may have counted. */
    void updateAddress(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            listener.cancel();
            subscribe();
        }
    }

    void sendVote(int build, int stage, RolloutVote verdict) {
        String word =
                switch (verdict) {
                    case NONE -> "clear";
                    case ON -> "approve";
                    case HOLD -> "wait";
                    case BACK -> "reject";
                };
        log.info("platform", "vote: build " + build + " stage " + stage + " " + word);
        new VoteConnection("BALLOT " + build + " " + stage + " " + word)
                .connect(address, Math.min(CONNECT_NS, voteWaitNs), voteWaitNs);
    }

    private final class VoteConnection extends LineConnection {
        private final String ballot;

        VoteConnection(String ballot) {
            super(net, LONGEST, log, "platform");
            this.ballot = ballot;
        }

        @Override
        String initialRequest() {
            return ballot + "\r\n";
        }

        @Override
        void onLine(String text) {
            if (text.startsWith("*")) {
                return;
            }
            String[] words = text.split(" ");
            boolean counts = words[0].equals("OK") && words.length >= 6;
            RolloutStatus n = counts ? news(words, 1) : null;
            cancel();
            policy.onVoteAnswered(clock.nowNs(), counts);
            if (counts) {
                tell(n);
            } else {
                log.info("platform", "vote not taken: " + text);
            }
        }

        /** With no answer it may count all the same, which the module allows for. */
        @Override
        void onEnd(EndReason reason) {
            log.info("platform", "no answer to the vote: " + reason + " " + describeProgress());
            policy.onVoteAnswered(clock.nowNs(), false);
        }
    }

    private final class NotificationConnection extends LineConnection {
        NotificationConnection() {
            super(net, LONGEST, log, "platform");
        }

        @Override
        String initialRequest() {
            return "NOTIFY\r\n";
        }

        @Override
        void onLine(String text) {
            resetTimeout(SILENT_NS);
            String[] w = text.split(" ");
            long now = clock.nowNs();
            switch (w.length > 1 && w[0].equals("*") ? w[1] : "") {
                case "progress" -> tell(news(w, 2));
                case "metrics" ->
                        policy.onPlatformTally(
                                now,
                                w[3],
                                Integer.parseInt(w[2]),
                                Double.parseDouble(w[4]),
                                Double.parseDouble(w[5]),
                                age(w[6]),
                                age(w[7]));
                case "complaint" -> policy.onComplaint(now, w[2], w[3]);
                default -> {}
            }
        }

        @Override
        void onEnd(EndReason reason) {
            log.info("platform", "the news have ended: " + reason + " " + describeProgress());
            net.schedule(
                    again.nextDelayNs(clock.nowNs()),
                    () -> {
                        // Unless the platform has moved meanwhile: news heard twice would count
                        // twice.
                        if (listener == this) {
                            subscribe();
                        }
                    });
        }
    }
}
