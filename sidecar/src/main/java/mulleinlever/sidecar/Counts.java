package mulleinlever.sidecar;

import java.util.Locale;
import mulleinlever.Ending;
import mulleinlever.Policy;

/**
 * What happened since the last line of the log on it: one line a second while reqs come, which
 * {@code fleetlog} adds up over a fleet. Counting costs an increment; the line is put together once
 * a second, not by req.
 */
final class Counts {
    /**
     * In the order of the line. A req never sent on is counted as that beside how it was answered.
     */
    enum What {
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
    private final Log log;
    private final int[] of = new int[What.values().length];
    private final int[] ends = new int[Ending.values().length];
    private int stories;

    Counts(Clock clock, Log log) {
        this.clock = clock;
        this.log = log;
    }

    void add(What what) {
        of[what.ordinal()]++;
    }

    void ended(Ending how) {
        ends[how.ordinal()]++;
    }

    /**
     * How a req was answered: completed and in time or late, shed, errored, or left by its client.
     */
    void answered(Held held, What how) {
        add(how);
        long tookNs = clock.now() - held.takenNs;
        if (how == What.COMPLETED && tookNs > held.objectiveNs) {
            add(What.LATE);
        }
        boolean sent = held.tries.stream().anyMatch(t -> t.written);
        if (!sent) {
            add(What.UNSENT);
        }
        boolean overdue = tookNs > held.waitsNs;
        if (overdue) {
            add(What.OVERDUE);
        }
        if ((overdue || how != What.COMPLETED && how != What.GONE) && ++stories <= STORIES) {
            log.say("req", story(held, how, tookNs));
        }
    }

    private static String story(Held held, What how, long tookNs) {
        StringBuilder b =
                new StringBuilder(held.statement.id)
                        .append(' ')
                        .append(word(how))
                        .append(" after ")
                        .append(tookNs / 1_000_000)
                        .append(" of ")
                        .append(held.waitsNs / 1_000_000)
                        .append(" ms");
        for (Upstream t : held.tries) {
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
    void tell(Policy.Sight sight, int clients, int links, long listAgeNs) {
        StringBuilder b = new StringBuilder();
        for (What w : What.values()) {
            put(b, word(w), of[w.ordinal()]);
            of[w.ordinal()] = 0;
        }
        for (Ending e : Ending.values()) {
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
