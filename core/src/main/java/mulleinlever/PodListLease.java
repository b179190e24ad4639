package mulleinlever;

/**
 * Decides which servers of the list may be sent to. A change of the list counts as told some time
 * after it was made, whether or not it arrived. While nobody confirms the list, every server on it
 * may therefore be used for that long only; afterwards only those that have shown since, by serving
 * a request, that they had not left when it was sent. Times are nanoseconds of the monotonic clock.
 */
final class PodListLease {
    /** From a change to when it counts as told at the latest. */
    private static final long TOLD_AFTER_NS = 6_000_000_000L;

    /** The same, for all changes, from a move to another discovery. */
    private static final long TOLD_AFTER_MOVE_NS = 4_000_000_000L;

    /** The process may be held up for so long between reading its clock and writing. */
    private static final long HELD_UP_NS = 150_000_000L;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long toldAfterNs;
    private final long slackNs;
    private boolean confirmed;
    private boolean moved;
    private long confirmedNs = NEVER;

    /** When the last call did not reach discovery; never where the last one did. */
    private long unreachedNs = NEVER;

    /**
     * @param askWithinNs how long a sidecar may go without asking before changes count as told
     * @param graceNs from when a change counts as told until sending has to stop
     * @param connectNs how long an attempt may wait for its connection before it is written
     */
    PodListLease(long askWithinNs, long graceNs, long connectNs) {
        this.toldAfterNs = Math.min(TOLD_AFTER_NS, askWithinNs);
        this.slackNs = graceNs - connectNs - HELD_UP_NS;
    }

    /** The list is true, and changes will be told as they are made. */
    void onConfirmed(long nowNs) {
        confirmed = true;
        moved = false;
        unreachedNs = NEVER;
        confirmedNs = nowNs;
    }

    /** When the list was last known to be true; long ago before that. */
    long lastConfirmedNs() {
        return confirmedNs;
    }

    /**
     * The list that was confirmed no longer is: changes made after that moment may not have been
     * told.
     */
    void onUnconfirmedSince(long sinceNs) {
        if (confirmed) {
            confirmed = false;
            confirmedNs = sinceNs;
        }
    }

    /** Nobody has said when the list was true: it may be of any age. */
    void onNeverConfirmed() {
        confirmed = false;
        confirmedNs = NEVER;
    }

    /**
     * A call has found discovery reachable, or not: a change counts as told only so long after
     * discovery could be reached. From one call that did not reach it to the next the lease does
     * not run; a list of any age is trusted from the first on.
     */
    void onDiscoveryCall(boolean reached, long nowNs) {
        if (reached || confirmed) {
            unreachedNs = NEVER;
            return;
        }
        if (confirmedNs == NEVER) {
            confirmedNs = nowNs;
        } else if (unreachedNs != NEVER) {
            confirmedNs += nowNs - unreachedNs;
        }
        unreachedNs = nowNs;
    }

    /** What was not told before is to be asked for elsewhere, and counts as told sooner. */
    void onDiscoveryChanged() {
        confirmed = false;
        moved = true;
    }

    /** Whether attempts that begin now may go to that server. */
    boolean allows(long nowNs, Pod server) {
        long lengthNs = (moved ? Math.min(toldAfterNs, TOLD_AFTER_MOVE_NS) : toldAfterNs) + slackNs;
        return confirmed || nowNs < Math.max(confirmedNs, server.lastServedSentNs) + lengthNs;
    }

    /** A server that was sent a request at that time has served it. */
    void onServed(Pod server, long sentNs) {
        // A connection that broke since may mean that another process listens there, which nobody
        // has told
        // of.
        if (confirmed || server.lastConnectionFailureNs <= confirmedNs) {
            server.lastServedSentNs = Math.max(server.lastServedSentNs, sentNs);
        }
    }

    /** A connection to the server could not be made or broke. */
    void onConnectionFailed(Pod server, long nowNs) {
        server.lastConnectionFailureNs = nowNs;
    }
}
