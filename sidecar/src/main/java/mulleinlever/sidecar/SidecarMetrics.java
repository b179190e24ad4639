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
    private static final int STORIES = 3;

    private final Clock clock;
    private final RateLimitedLog log;
    private final int[] of = new int[Event.values().length];
    private final int[] ends = new int[TryOutcome.values().length];
    private int stories;

    SidecarMetrics(Clock clock, RateLimitedLog log) {
        this.clock = clock;
        this.log = log;
    }

    void increment(Event what) {
        of[what.ordinal()]++;
    }

    void recordTryOutcome(TryOutcome how) {
        ends[how.ordinal()]++;
    }

    /**
     * How a req was answered: completed and in time or late, shed, errored, or left by its client.
     */
    void recordOutcome(PendingCommand held, Event how) {
        increment(how);
        long tookNs = clock.nowNs() - held.receivedNs;
        if (how == Event.COMPLETED && tookNs > held.latencyObjectiveNs) {
            increment(Event.LATE);
        }
        boolean sent = held.tries.stream().anyMatch(t -> t.fullyWritten);
        if (!sent) {
            increment(Event.UNSENT);
        }
        boolean overdue = tookNs > held.clientTimeoutNs;
        if (overdue) {
            increment(Event.OVERDUE);
        }
        if ((overdue || how != Event.COMPLETED && how != Event.GONE) && ++stories <= STORIES) {
            log.info("req", story(held, how, tookNs));
        }
    }

    private static String story(PendingCommand held, Event how, long tookNs) {
        StringBuilder b =
                new StringBuilder(held.statement.id)
                        .append(' ')
                        .append(word(how))
                        .append(" after ")
                        .append(tookNs / 1_000_000)
                        .append(" of ")
                        .append(held.clientTimeoutNs / 1_000_000)
                        .append(" ms");
        for (UpstreamTry t : held.tries) {
            b.append("; ")
                    .append(t.podId)
                    .append(" at ")
                    .append((t.startedNs - held.receivedNs) / 1_000_000)
                    .append(' ')
                    .append(t.hasEnded() ? word(t.outcome) : "out")
                    .append(t.fullyWritten ? "" : " unwritten");
        }
        return b.toString();
    }

    /** Says what there is to say, and begins anew. */
    void logAndReset(Policy.Stats sight, int clients, int links, long listAgeNs) {
        StringBuilder b = new StringBuilder();
        for (Event w : Event.values()) {
            put(b, word(w), of[w.ordinal()]);
            of[w.ordinal()] = 0;
        }
        for (TryOutcome e : TryOutcome.values()) {
            put(b, "try_" + word(e), ends[e.ordinal()]);
            ends[e.ordinal()] = 0;
        }
        stories = 0;
        if (b.length() > 0) {
            log.info(
                    "count",
                    b.append(
                                    String.format(
                                            Locale.ROOT,
                                            "clients=%d links=%d room=%.1f open=%d first=%d "
                                                    + "further=%d ease=%.2f ready=%d usable=%d fit=%d cold=%d dark=%d list_age=%.1f",
                                            clients,
                                            links,
                                            sight.tryLimit(),
                                            sight.openTryCount(),
                                            sight.queuedFirstTryCount(),
                                            sight.queuedRetryCount(),
                                            sight.meanLatencyRatio(),
                                            sight.readyPodCount(),
                                            sight.leasedPodCount(),
                                            sight.healthyPodCount(),
                                            sight.coldPodCount(),
                                            sight.unreachablePodCount(),
                                            listAgeNs / 1e9))
                            .toString());
        }
    }

    private static void put(StringBuilder b, String name, int n) {
        if (n > 0) {
            b.append(name).append('=').append(n).append(' ');
        }
    }

    private static String word(Enum<?> of) {
        return of.name().toLowerCase(Locale.ROOT);
    }
}
