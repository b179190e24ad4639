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

    void add(Event what) {
        of[what.ordinal()]++;
    }

    void ended(TryOutcome how) {
        ends[how.ordinal()]++;
    }

    /**
     * How a req was answered: completed and in time or late, shed, errored, or left by its client.
     */
    void answered(PendingCommand held, Event how) {
        add(how);
        long tookNs = clock.now() - held.takenNs;
        if (how == Event.COMPLETED && tookNs > held.objectiveNs) {
            add(Event.LATE);
        }
        boolean sent = held.tries.stream().anyMatch(t -> t.written);
        if (!sent) {
            add(Event.UNSENT);
        }
        boolean overdue = tookNs > held.waitsNs;
        if (overdue) {
            add(Event.OVERDUE);
        }
        if ((overdue || how != Event.COMPLETED && how != Event.GONE) && ++stories <= STORIES) {
            log.say("req", story(held, how, tookNs));
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
                        .append(held.waitsNs / 1_000_000)
                        .append(" ms");
        for (UpstreamTry t : held.tries) {
            b.append("; ")
                    .append(t.pod)
                    .append(" at ")
                    .append((t.calledNs - held.takenNs) / 1_000_000)
                    .append(' ')
                    .append(t.ended() ? word(t.how) : "out")
                    .append(t.written ? "" : " unwritten");
        }
        return b.toString();
    }

    /** Says what there is to say, and begins anew. */
    void tell(Policy.Stats sight, int clients, int links, long listAgeNs) {
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
            log.say(
                    "count",
                    b.append(
                                    String.format(
                                            Locale.ROOT,
                                            "clients=%d links=%d room=%.1f open=%d first=%d "
                                                    + "further=%d ease=%.2f ready=%d usable=%d fit=%d cold=%d dark=%d list_age=%.1f",
                                            clients,
                                            links,
                                            sight.room(),
                                            sight.open(),
                                            sight.firstTries(),
                                            sight.furtherTries(),
                                            sight.ease(),
                                            sight.ready(),
                                            sight.usable(),
                                            sight.fit(),
                                            sight.cold(),
                                            sight.dark(),
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
