package mulleinlever.sidecar;

import java.util.Locale;

/** The phases of the process, from start to exit. */
final class Lifecycle {
    enum Phase {
        /** Reads its configuration and rehearses; nothing listens yet. */
        STARTING,
        SERVING,
        /** Told to stop, it still takes all that comes: those who send have not heard of it yet. */
        LEAVING,
        /** Takes nothing new, answers all it has taken, closes idle connections. */
        FINISHING,
        ENDED
    }

    private final RateLimitedLog log;
    private volatile Phase phase = Phase.STARTING;

    Lifecycle(RateLimitedLog log) {
        this.log = log;
    }

    boolean isIn(Phase expected) {
        return phase == expected;
    }

    /** Phases only go forward; whether this one is new. */
    boolean advanceTo(Phase next) {
        if (next.ordinal() <= phase.ordinal()) {
            return false;
        }
        phase = next;
        log.info("life", next.name().toLowerCase(Locale.ROOT));
        return true;
    }
}
