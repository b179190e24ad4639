package mulleinlever.sidecar;

import java.util.Locale;

/**
 * The phases of the process, from start to exit. Advanced on the event loop, read by any thread.
 */
final class Lifecycle {
    /** A phase; its name appears in the log in lower case. */
    enum Phase {
        /** Reads the configuration and warms up; not listening yet. */
        STARTING,
        /** Accepts and serves reqs. */
        SERVING,
        /** Asked to stop, but still accepts reqs: clients have not learned of it yet. */
        LEAVING,
        /** Accepts no more reqs, answers those in flight and closes idle connections. */
        FINISHING,
        /**
         * The event loop ends: the shutdown is complete or out of time, or the start has failed.
         */
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

    /**
     * Advances to a later phase and logs it.
     *
     * @return false if the process is in that phase already or in a later one
     */
    boolean advanceTo(Phase next) {
        if (next.ordinal() <= phase.ordinal()) {
            return false;
        }
        phase = next;
        log.info("life", next.name().toLowerCase(Locale.ROOT));
        return true;
    }
}
