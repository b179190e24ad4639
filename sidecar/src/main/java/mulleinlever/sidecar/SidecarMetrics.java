package mulleinlever.sidecar;

import java.util.Locale;
import mulleinlever.Policy;
import mulleinlever.TryOutcome;

/**
 * What happened since the last line of the log on it: one line a second while reqs come, which
 * {@code fleetlog} adds up over a fleet. Counting costs an increment; the line is put together once
 * a second, not by req.
 */
final class SidecarMetrics {
    /**
     * In the order of the line. A req never sent on is counted as that beside how it was answered.
     */
    enum Event {
        IN,
        COMPLETED,
        LATE,
        SHED,
        ERRORED,
        GONE,
        UNSENT,
        OVERDUE,
        OPENED,
        REUSED,
        RESTED,
        REFUSED,
        TOO_LATE
    }

    /** Of each second, so many reqs that got no row are told with their tries. */
    private static final int MAX_LOGGED_REQS_PER_SECOND = 3;

    private final Clock clock;
    private final RateLimitedLog log;
    private final int[] eventCounts = new int[Event.values().length];
    private final int[] outcomeCounts = new int[TryOutcome.values().length];
    private int failedOrOverdueCount;

    SidecarMetrics(Clock clock, RateLimitedLog log) {
        this.clock = clock;
        this.log = log;
    }

    void increment(Event event) {
        eventCounts[event.ordinal()]++;
    }

    void recordTryOutcome(TryOutcome outcome) {
        outcomeCounts[outcome.ordinal()]++;
    }

    /**
     * How a req was answered: completed and in time or late, shed, errored, or left by its client.
     */
    void recordOutcome(PendingCommand command, Event event) {
        increment(event);
        long tookNs = clock.nowNs() - command.receivedNs;
        if (event == Event.COMPLETED && tookNs > command.latencyObjectiveNs) {
            increment(Event.LATE);
        }
        boolean fullySent = command.tries.stream().anyMatch(t -> t.fullyWritten);
        if (!fullySent) {
            increment(Event.UNSENT);
        }
        boolean overdue = tookNs > command.clientTimeoutNs;
        if (overdue) {
            increment(Event.OVERDUE);
        }
        if ((overdue || event != Event.COMPLETED && event != Event.GONE)
                && ++failedOrOverdueCount <= MAX_LOGGED_REQS_PER_SECOND) {
            log.info("req", describeReq(command, event, tookNs));
        }
    }

    private static String describeReq(PendingCommand command, Event event, long tookNs) {
        StringBuilder description =
                new StringBuilder(command.statement.id)
                        .append(' ')
                        .append(lowerCaseName(event))
                        .append(" after ")
                        .append(tookNs / 1_000_000)
                        .append(" of ")
                        .append(command.clientTimeoutNs / 1_000_000)
                        .append(" ms");
        for (UpstreamTry upstreamTry : command.tries) {
            description
                    .append("; ")
                    .append(upstreamTry.podId)
                    .append(" at ")
                    .append((upstreamTry.startedNs - command.receivedNs) / 1_000_000)
                    .append(' ')
                    .append(upstreamTry.hasEnded() ? lowerCaseName(upstreamTry.outcome) : "out")
                    .append(upstreamTry.fullyWritten ? "" : " unwritten");
        }
        return description.toString();
    }

    /** Says what there is to say, and begins anew. */
    void logAndReset(
            Policy.Stats stats, int clientConnectionCount, int podConnectionCount, long listAgeNs) {
        StringBuilder line = new StringBuilder();
        for (Event event : Event.values()) {
            appendIfPositive(line, lowerCaseName(event), eventCounts[event.ordinal()]);
            eventCounts[event.ordinal()] = 0;
        }
        for (TryOutcome outcome : TryOutcome.values()) {
            appendIfPositive(
                    line, "try_" + lowerCaseName(outcome), outcomeCounts[outcome.ordinal()]);
            outcomeCounts[outcome.ordinal()] = 0;
        }
        failedOrOverdueCount = 0;
        if (line.length() > 0) {
            log.info(
                    "count",
                    line.append(
                                    String.format(
                                            Locale.ROOT,
                                            "clients=%d links=%d room=%.1f open=%d first=%d "
                                                    + "further=%d ease=%.2f ready=%d usable=%d fit=%d cold=%d dark=%d list_age=%.1f",
                                            clientConnectionCount,
                                            podConnectionCount,
                                            stats.tryLimit(),
                                            stats.openTryCount(),
                                            stats.queuedFirstTryCount(),
                                            stats.queuedRetryCount(),
                                            stats.meanLatencyRatio(),
                                            stats.readyPodCount(),
                                            stats.leasedPodCount(),
                                            stats.healthyPodCount(),
                                            stats.coldPodCount(),
                                            stats.unreachablePodCount(),
                                            listAgeNs / 1e9))
                            .toString());
        }
    }

    private static void appendIfPositive(StringBuilder line, String name, int count) {
        if (count > 0) {
            line.append(name).append('=').append(count).append(' ');
        }
    }

    private static String lowerCaseName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
