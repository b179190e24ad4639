package mulleinlever;

/**
 * Decides which servers of the list may be sent to. A change of the list counts as told some time
 * after it was made, whether or not it arrived. While nobody confirms the list, every server on it
 * may therefore be used for that long only; afterwards only those that have shown since, by serving
 * a request, that they had not left when it was sent. Times are nanoseconds of the monotonic clock.
 */
final class PodListLease {
    /** From a change to when it counts as told at the latest. */
    private static final long MAX_NOTICE_DELAY_NS = 6_000_000_000L;

    /** The same, for all changes, from a move to another discovery. */
    private static final long MAX_NOTICE_DELAY_AFTER_SWITCH_NS = 4_000_000_000L;

    /** The process may be held up for so long between reading its clock and writing. */
    private static final long MAX_SUSPENSION_NS = 150_000_000L;

    private static final long NEVER_NS = Long.MIN_VALUE / 2;

    private final long noticeDelayNs;
    private final long slackNs;
    private boolean confirmed;
    private boolean discoverySwitched;
    private long lastConfirmedNs = NEVER_NS;

    /** When the last call did not reach discovery; never where the last one did. */
    private long lastUnreachedNs = NEVER_NS;

    /**
     * @param listRefreshWithinNs how long a sidecar may go without asking before changes count as
     *     told
     * @param drainGraceNs from when a change counts as told until sending has to stop
     * @param connectTimeoutNs how long an attempt may wait for its connection before it is written
     */
    PodListLease(long listRefreshWithinNs, long drainGraceNs, long connectTimeoutNs) {
        this.noticeDelayNs = Math.min(MAX_NOTICE_DELAY_NS, listRefreshWithinNs);
        this.slackNs = drainGraceNs - connectTimeoutNs - MAX_SUSPENSION_NS;
    }

    /** The list is true, and changes will be told as they are made. */
    void onConfirmed(long nowNs) {
        confirmed = true;
        discoverySwitched = false;
        lastUnreachedNs = NEVER_NS;
        lastConfirmedNs = nowNs;
    }

    /** When the list was last known to be true; long ago before that. */
    long lastConfirmedNs() {
        return lastConfirmedNs;
    }

    /**
     * The list that was confirmed no longer is: changes made after that moment may not have been
     * told.
     */
    void onUnconfirmedSince(long sinceNs) {
        if (confirmed) {
            confirmed = false;
            lastConfirmedNs = sinceNs;
        }
    }

    /** Nobody has said when the list was true: it may be of any age. */
    void onNeverConfirmed() {
        confirmed = false;
        lastConfirmedNs = NEVER_NS;
    }

    /**
     * A call has found discovery reachable, or not: a change counts as told only so long after
     * discovery could be reached. From one call that did not reach it to the next the lease does
     * not run; a list of any age is trusted from the first on.
     */
    void onDiscoveryCall(boolean reached, long nowNs) {
        if (reached || confirmed) {
            lastUnreachedNs = NEVER_NS;
            return;
        }
        if (lastConfirmedNs == NEVER_NS) {
            lastConfirmedNs = nowNs;
        } else if (lastUnreachedNs != NEVER_NS) {
            lastConfirmedNs += nowNs - lastUnreachedNs;
        }
        lastUnreachedNs = nowNs;
    }

    /** What was not told before is to be asked for elsewhere, and counts as told sooner. */
    void onDiscoveryChanged() {
        confirmed = false;
        discoverySwitched = true;
    }

    /** Whether attempts that begin now may go to that server. */
    boolean allows(long nowNs, Pod pod) {
        long leaseNs =
                (discoverySwitched
                                ? Math.min(noticeDelayNs, MAX_NOTICE_DELAY_AFTER_SWITCH_NS)
                                : noticeDelayNs)
                        + slackNs;
        return confirmed || nowNs < Math.max(lastConfirmedNs, pod.lastServedSentNs) + leaseNs;
    }

    /** A server that was sent a request at that time has served it. */
    void onServed(Pod pod, long sentNs) {
        // A connection that broke since may mean that another process listens there, which nobody
        // has told
        // of.
        if (confirmed || pod.lastConnectionFailureNs <= lastConfirmedNs) {
            pod.lastServedSentNs = Math.max(pod.lastServedSentNs, sentNs);
        }
    }

    /** A connection to the server could not be made or broke. */
    void onConnectionFailed(Pod pod, long nowNs) {
        pod.lastConnectionFailureNs = nowNs;
    }
}
