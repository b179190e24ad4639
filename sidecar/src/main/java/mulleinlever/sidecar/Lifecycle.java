package mulleinlever.sidecar;

import java.util.Locale;
import mulleinlever.Settings;
import mulleinlever.ShutdownPolicy;

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
        /**
         * Accepts no more connections and only the reqs that have time left, answers those in
         * flight and closes idle connections.
         */
        FINISHING,
        /**
         * The event loop ends: the shutdown is complete or out of time, or the start has failed.
         */
        ENDED
    }

    private final RateLimitedLog log;
    private final ShutdownPolicy shutdownPolicy;
    private volatile Phase phase = Phase.STARTING;

    /** When the process was asked to stop; only read in phases after that. */
    private volatile long stopRequestedNs;

    Lifecycle(RateLimitedLog log, ShutdownPolicy shutdownPolicy) {
        this.log = log;
        this.shutdownPolicy = shutdownPolicy;
    }

    /** Sets when the process was asked to stop, before the phase is advanced for it. */
    void setStopRequestedNs(long newStopRequestedNs) {
        stopRequestedNs = newStopRequestedNs;
    }

    /** Returns the time since the process was asked to stop. */
    long sinceStopNs(long nowNs) {
        return nowNs - stopRequestedNs;
    }

    /**
     * Returns how long a req may take that arrives now, or 0 if it is refused.
     *
     * @param remainingNs for how long its client waits
     */
    long timeForReq(long nowNs, long remainingNs, Settings.RetrySafety retrySafety) {
        return phase.ordinal() < Phase.FINISHING.ordinal()
                ? remainingNs
                : shutdownPolicy.timeForReq(sinceStopNs(nowNs), remainingNs, retrySafety);
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
