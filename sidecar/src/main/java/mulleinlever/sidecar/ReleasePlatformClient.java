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

/**
 * The client of the release platform, which stages builds. It receives rollout statuses, tallies
 * and complaints on one long-lived connection, and sends each vote on a connection of its own. Used
 * on the event loop only.
 */
final class ReleasePlatformClient {
    private static final int MAX_LINE_BYTES = 8192;
    private static final long CONNECT_TIMEOUT_NS = 1_000_000_000L;

    /**
     * The platform sends a line every second. After two missed lines its notifications may no
     * longer arrive.
     */
    private static final long SILENCE_TIMEOUT_NS = 2_000_000_000L;

    private static final long INITIAL_RECONNECT_DELAY_NS = 300_000_000L;

    /** How long after the latest status an older one is ignored as out of order. */
    private static final long REORDER_WINDOW_NS = 1_000_000_000L;

    private static final long MILLISECOND_NS = 1_000_000L;

    /**
     * The phases in the order in which a build goes through them: on trial, then released, or
     * rolled back from either.
     */
    private static final List<RolloutStatus.Phase> PHASE_ORDER =
            List.of(
                    RolloutStatus.Phase.ON_TRIAL,
                    RolloutStatus.Phase.RELEASED,
                    RolloutStatus.Phase.REVERTING,
                    RolloutStatus.Phase.WITHDRAWN);

    private static final Comparator<RolloutStatus> PROGRESS_ORDER =
            Comparator.comparingInt(RolloutStatus::build)
                    .thenComparingInt(status -> PHASE_ORDER.indexOf(status.phase()))
                    .thenComparingInt(RolloutStatus::stage);

    private final NettyTransport transport;
    private final Clock clock;
    private final RateLimitedLog log;
    private InetSocketAddress address;
    private final long voteTimeoutNs;
    private Policy policy;
    private RolloutStatus latestStatus;
    private long latestStatusNs;
    private NotificationConnection notifications;
    private final ReconnectBackoff reconnectBackoff;

    ReleasePlatformClient(
            NettyTransport transport, Clock clock, RateLimitedLog log, SidecarConfig config) {
        this.transport = transport;
        this.clock = clock;
        this.log = log;
        this.address = config.releaseApiAddress();
        Settings settings = config.settings();
        this.voteTimeoutNs = settings.rollout().voteTimeoutNs();
        this.reconnectBackoff =
                new ReconnectBackoff(
                        INITIAL_RECONNECT_DELAY_NS,
                        ReconnectBackoff.maxDelayNs(
                                settings.sidecarCount(), settings.rollout().votesPerSecond()),
                        config.seed());
    }

    /** Sets the policy to notify. Called once, before {@link #subscribe}. */
    void setPolicy(Policy policy) {
        this.policy = policy;
    }

    /**
     * Returns the phase for the platform's word, or throws the error of {@code reader} for its
     * field "phase".
     */
    static RolloutStatus.Phase parsePhase(String word, FieldReader reader) {
        return switch (word) {
            case "testing" -> RolloutStatus.Phase.ON_TRIAL;
            case "recalling" -> RolloutStatus.Phase.REVERTING;
            case "live" -> RolloutStatus.Phase.RELEASED;
            case "recalled" -> RolloutStatus.Phase.WITHDRAWN;
            default -> throw reader.fieldError("phase", "testing, recalling, live or recalled");
        };
    }

    /**
     * Applies a rollout status unless it is behind the latest one. Statuses arrive on two
     * connections, which may be read in another order than they were written: an old exposure cap
     * taken for the current one would let too many tries through. A build only moves forward, so an
     * older status is ignored, but only for a limited time, so that one erroneous line does not
     * block all later statuses.
     */
    private void applyStatus(RolloutStatus status) {
        long nowNs = clock.nowNs();
        if (latestStatus == null
                || nowNs - latestStatusNs > REORDER_WINDOW_NS
                || PROGRESS_ORDER.compare(status, latestStatus) >= 0) {
            latestStatus = status;
            latestStatusNs = nowNs;
            policy.onRolloutStatus(nowNs, status);
        }
    }

    /** Returns the latest rollout status received, or {@code initialStatus} before any. */
    RolloutStatus latestStatusOr(RolloutStatus initialStatus) {
        return latestStatus == null ? initialStatus : latestStatus;
    }

    /**
     * Parses build, stage, phase, exposure cap and age in milliseconds, from {@code firstIndex} on.
     */
    private static RolloutStatus parseStatus(String[] words, int firstIndex) {
        RolloutStatus.Phase phase =
                parsePhase(words[firstIndex + 2], new JsonFieldReader("platform: ", null));
        return new RolloutStatus(
                Integer.parseInt(words[firstIndex]),
                Integer.parseInt(words[firstIndex + 1]),
                phase,
                Double.parseDouble(words[firstIndex + 3]),
                parseAgeNs(words[firstIndex + 4]));
    }

    /** Parses an age in milliseconds; a negative one counts as 0. */
    private static long parseAgeNs(String ageMs) {
        return (long) (Math.max(0, Double.parseDouble(ageMs)) * MILLISECOND_NS);
    }

    /** Opens the connection for notifications. */
    void subscribe() {
        notifications = new NotificationConnection();
        reconnectBackoff.recordOpened(clock.nowNs());
        notifications.connect(address, CONNECT_TIMEOUT_NS, SILENCE_TIMEOUT_NS);
    }

    /**
     * Subscribes at another address from now on. Votes in progress at the old address are still
     * answered there, or end without an answer and may have counted.
     */
    void updateAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            notifications.cancel();
            subscribe();
        }
    }

    /**
     * Sends a vote on a stage of a build. The policy is notified whether the platform accepted it.
     */
    void sendVote(int build, int stage, RolloutVote vote) {
        String word =
                switch (vote) {
                    case NONE -> "clear";
                    case ON -> "approve";
                    case HOLD -> "wait";
                    case BACK -> "reject";
                };
        log.info("platform", "vote: build " + build + " stage " + stage + " " + word);
        new VoteConnection("BALLOT " + build + " " + stage + " " + word)
                .connect(address, Math.min(CONNECT_TIMEOUT_NS, voteTimeoutNs), voteTimeoutNs);
    }

    /** Sends one vote and receives the answer. */
    private final class VoteConnection extends LineConnection {
        private final String command;

        VoteConnection(String command) {
            super(transport, MAX_LINE_BYTES, log, "platform");
            this.command = command;
        }

        @Override
        String initialRequest() {
            return command + "\r\n";
        }

        @Override
        void onLine(String line) {
            if (line.startsWith("*")) {
                return;
            }
            String[] words = line.split(" ");
            boolean accepted = words[0].equals("OK") && words.length >= 6;
            RolloutStatus status = accepted ? parseStatus(words, 1) : null;
            cancel();
            policy.onVoteAnswered(clock.nowNs(), accepted);
            if (accepted) {
                applyStatus(status);
            } else {
                log.info("platform", "vote not taken: " + line);
            }
        }

        /**
         * Without an answer the vote may have counted nevertheless, which the policy allows for.
         */
        @Override
        void onEnd(EndReason reason) {
            log.info("platform", "no answer to the vote: " + reason + " " + describeProgress());
            policy.onVoteAnswered(clock.nowNs(), false);
        }
    }

    /**
     * Receives notifications until the platform moves, and is reopened with backoff when it ends.
     */
    private final class NotificationConnection extends LineConnection {
        NotificationConnection() {
            super(transport, MAX_LINE_BYTES, log, "platform");
        }

        @Override
        String initialRequest() {
            return "NOTIFY\r\n";
        }

        @Override
        void onLine(String line) {
            resetTimeout(SILENCE_TIMEOUT_NS);
            String[] words = line.split(" ");
            long nowNs = clock.nowNs();
            switch (words.length > 1 && words[0].equals("*") ? words[1] : "") {
                case "progress" -> applyStatus(parseStatus(words, 2));
                case "metrics" ->
                        policy.onPlatformTally(
                                nowNs,
                                words[3],
                                Integer.parseInt(words[2]),
                                Double.parseDouble(words[4]),
                                Double.parseDouble(words[5]),
                                parseAgeNs(words[6]),
                                parseAgeNs(words[7]));
                case "complaint" -> policy.onComplaint(nowNs, words[2], words[3]);
                default -> {}
            }
        }

        @Override
        void onEnd(EndReason reason) {
            log.info("platform", "the news have ended: " + reason + " " + describeProgress());
            transport.schedule(
                    reconnectBackoff.nextDelayNs(clock.nowNs()),
                    () -> {
                        // A change of address has opened another connection in the meantime:
                        // notifications received twice would count twice.
                        if (notifications == this) {
                            subscribe();
                        }
                    });
        }
    }
}
