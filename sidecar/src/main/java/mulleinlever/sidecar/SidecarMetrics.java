package mulleinlever.sidecar;

import java.util.Locale;
import mulleinlever.Policy;
import mulleinlever.TryOutcome;

/**
 * Counts the events of reqs, connections and tries, and logs the counts in one line a second while
 * there are any. The command {@code fleetlog} sums these lines over a fleet. Counting is only an
 * increment, since the line is built once a second and not for each req. Called by the event loop
 * only.
 */
final class SidecarMetrics {
    /**
     * The events that are counted, in the order in which the log line lists them. Their names in
     * lower case are the names in the line. {@link #LATE}, {@link #UNSENT} and {@link #OVERDUE} are
     * counted in addition to the outcome of a req.
     */
    enum Event {
        /** A req was registered. */
        IN,
        /** A req was answered with a row. */
        COMPLETED,
        /** A req was answered with a row, but after its latency objective. */
        LATE,
        /** A req was shed. */
        SHED,
        /** A req was answered with an error that doesn't tell whether it ran. */
        ERRORED,
        /** The client of a req disconnected before the response. */
        GONE,
        /** A req ended without any try having been written completely. */
        UNSENT,
        /** A req ended after the time for which its client waits. */
        OVERDUE,
        /** Opening a connection to a pod was started for a try. */
        OPENED,
        /** A try was given an idle connection to its pod. */
        REUSED,
        /** A try waited for the end of the cooldown of its connection. */
        RESTED,
        /** A connection to a pod was refused, by the network or by the pod. */
        REFUSED,
        /** A connection to a pod was not ready within the connect timeout. */
        TOO_LATE,
        /** Accepting paused at the maximum number of client connections. */
        ACCEPT_PAUSED,
        /** A client connection was closed in favor of a new one. */
        EVICTED,
        /** A client connection was closed because its client kept the sidecar waiting. */
        STALLED,
        /** A client ended its connection while commands of it were in hand. */
        CLIENT_LEFT,
        /** A client connection was closed because of a message that no client may send. */
        MALFORMED,
        /** Reading from a client paused. */
        READ_PAUSED,
        /** A try was not begun because the client may have left unseen. */
        MAY_HAVE_LEFT,
        /** A req or a try waited until its client was known to be connected. */
        PRESENCE_AWAITED,
        /** A client was written to, to find out whether it is connected. */
        PRESENCE_PROBED,
        /**
         * A client sent more messages than its connection handles in one turn of the event loop.
         */
        TURN_EXCEEDED,
        /** A message of a client waited for memory. */
        MEMORY_WAITED,
        /** A message of a client was shed for lack of memory. */
        MEMORY_SHED,
        /** A message was shed because its client had sent too much ahead. */
        AHEAD_SHED
    }

    /**
     * The memory of network buffers.
     *
     * @param poolBytes the size of the pool of buffers, in bytes
     * @param requestBytes the memory reserved for messages of clients, in bytes
     * @param responseBytes the memory reserved for messages of pods, in bytes
     */
    record BufferMemory(long poolBytes, long requestBytes, long responseBytes) {}

    /** The maximum number of shed, errored or overdue reqs that are logged with their tries. */
    private static final int MAX_LOGGED_REQS_PER_SECOND = 3;

    /** The maximum number of clients that left with commands in hand that are logged. */
    private static final int MAX_LOGGED_CLIENTS_PER_SECOND = 3;

    private static final double BYTES_PER_MB = 1 << 20;

    private final Clock clock;
    private final RateLimitedLog log;
    private final int[] eventCounts = new int[Event.values().length];
    private final int[] outcomeCounts = new int[TryOutcome.values().length];

    /** The number of shed, errored or overdue reqs since the last line. */
    private int failedOrOverdueCount;

    /** The number of clients that left with commands in hand since the last line. */
    private int clientLeftCount;

    /** The longest delay of the event loop since the last line, in nanoseconds. */
    private long maxLoopDelayNs;

    /**
     * The longest time since its client was last known to be connected at which a try was written
     * since the last line, in nanoseconds.
     */
    private long maxUnconfirmedNs;

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
     * Records the outcome of a req: completed, shed, errored, or gone if its client disconnected.
     * The first reqs of each second that are shed, errored or overdue are logged with their tries.
     */
    void recordOutcome(PendingCommand command, Event event) {
        increment(event);
        long tookNs = clock.nowNs() - command.receivedNs;
        if (event == Event.COMPLETED && tookNs > command.latencyObjectiveNs) {
            increment(Event.LATE);
        }
        boolean anyFullyWritten = command.tries.stream().anyMatch(t -> t.fullyWritten);
        if (!anyFullyWritten) {
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

    /**
     * Records that a client has ended its connection while commands of it were in hand. The first
     * ones of each second are logged.
     *
     * @param unconfirmedNs the time since it was last known to be connected
     */
    void recordClientLeft(int commandCount, int undecodedBytes, long unconfirmedNs) {
        increment(Event.CLIENT_LEFT);
        if (++clientLeftCount <= MAX_LOGGED_CLIENTS_PER_SECOND) {
            log.info(
                    "clients",
                    "left with "
                            + commandCount
                            + " commands in hand, "
                            + undecodedBytes
                            + " bytes undecoded, last known to be connected "
                            + unconfirmedNs / 1_000_000
                            + " ms before");
        }
    }

    /** Records by how much the event loop was late. */
    void recordLoopDelay(long delayNs) {
        maxLoopDelayNs = Math.max(maxLoopDelayNs, delayNs);
    }

    /**
     * Records that a try was written.
     *
     * @param unconfirmedNs the time since its client was last known to be connected
     */
    void recordWrite(long unconfirmedNs) {
        maxUnconfirmedNs = Math.max(maxUnconfirmedNs, unconfirmedNs);
    }

    /** Returns the log line of a req; times are in milliseconds since its receipt. */
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

    /**
     * Logs the counts since the last call, if any is above 0, and resets them; called once a
     * second.
     */
    void logAndReset(
            Policy.Stats stats,
            int clientConnectionCount,
            int podConnectionCount,
            long listAgeNs,
            BufferMemory memory) {
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
        clientLeftCount = 0;
        long loopDelayNs = maxLoopDelayNs;
        maxLoopDelayNs = 0;
        long unconfirmedNs = maxUnconfirmedNs;
        maxUnconfirmedNs = 0;
        if (line.length() > 0) {
            log.info(
                    "count",
                    line.append(
                                    String.format(
                                            Locale.ROOT,
                                            "clients=%d links=%d room=%.1f open=%d first=%d "
                                                    + "further=%d ease=%.2f ready=%d usable=%d fit=%d cold=%d dark=%d remembered=%d no_place=%d list_age=%.1f "
                                                    + "pool_mb=%.1f req_mb=%.1f resp_mb=%.1f loop_ms=%.1f "
                                                    + "unconfirmed_ms=%.1f",
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
                                            stats.slowStartPodCount(),
                                            stats.unreachablePodCount(),
                                            stats.rememberedReqCount(),
                                            stats.shedWithoutPlaceCount(),
                                            listAgeNs / 1e9,
                                            memory.poolBytes() / BYTES_PER_MB,
                                            memory.requestBytes() / BYTES_PER_MB,
                                            memory.responseBytes() / BYTES_PER_MB,
                                            loopDelayNs / 1e6,
                                            unconfirmedNs / 1e6))
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
