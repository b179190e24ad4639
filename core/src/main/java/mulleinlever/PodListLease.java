package mulleinlever;

/**
 * Decides which pods of the list tries may be sent to. A change of the list counts as announced
 * some time after it was made, whether or not it reached this sidecar, and a pod that has left must
 * not be sent to for long after that. While discovery does not confirm the list, its pods may
 * therefore be used until the lease ends. Afterwards only pods that have served a try sent since
 * may be used, because they had not left when that try was sent; each of these leases has the same
 * length. Used by {@link Policy} on the event loop. Times are nanoseconds of the monotonic clock.
 */
final class PodListLease {
    /** The maximum time from a change of the list until it counts as announced. */
    private static final long MAX_NOTICE_DELAY_NS = 6_000_000_000L;

    /** The same maximum once the sidecar has switched to another discovery. */
    private static final long MAX_NOTICE_DELAY_AFTER_SWITCH_NS = 4_000_000_000L;

    /**
     * The maximum time for which the process may be suspended between reading its clock and writing
     * a try.
     */
    private static final long MAX_SUSPENSION_NS = 150_000_000L;

    private static final long NEVER_NS = Long.MIN_VALUE / 2;

    private final long noticeDelayNs;

    /** How long after a change counts as announced tries may still start. */
    private final long slackNs;

    private boolean confirmed;
    private boolean discoverySwitched;
    private long lastConfirmedNs = NEVER_NS;

    /** The time of the latest call if it did not reach discovery, otherwise {@code NEVER_NS}. */
    private long lastUnreachedNs = NEVER_NS;

    /**
     * @param listRefreshWithinNs the maximum time between two refreshes of the list by a sidecar;
     *     changes count as announced after it at the latest
     * @param drainGraceNs the time from the announcement that a pod leaves until sending to it has
     *     to stop
     * @param connectTimeoutNs the maximum time that a try waits for its connection before it is
     *     written
     */
    PodListLease(long listRefreshWithinNs, long drainGraceNs, long connectTimeoutNs) {
        this.noticeDelayNs = Math.min(MAX_NOTICE_DELAY_NS, listRefreshWithinNs);
        this.slackNs = drainGraceNs - connectTimeoutNs - MAX_SUSPENSION_NS;
    }

    /** Called when discovery confirms the list; it announces changes from now on. */
    void onConfirmed(long nowNs) {
        confirmed = true;
        discoverySwitched = false;
        lastUnreachedNs = NEVER_NS;
        lastConfirmedNs = nowNs;
    }

    /** Returns when the list was last known to be correct, or a time long ago if never. */
    long lastConfirmedNs() {
        return lastConfirmedNs;
    }

    /**
     * Called when the list is no longer confirmed: changes made after {@code sinceNs} may not have
     * been announced. Has no effect if the list was not confirmed before.
     */
    void onUnconfirmedSince(long sinceNs) {
        if (confirmed) {
            confirmed = false;
            lastConfirmedNs = sinceNs;
        }
    }

    /** Called when it is not known when the list was last correct: it may be of any age. */
    void onNeverConfirmed() {
        confirmed = false;
        lastConfirmedNs = NEVER_NS;
    }

    /**
     * Called when a call to discovery has ended. The time until a change counts as announced only
     * runs while discovery can be reached, so the lease is extended by the time between two
     * successive calls that did not reach it. The lease of a list of unknown age starts with the
     * first such call.
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

    /**
     * Called when the sidecar switches to another discovery. Changes that were not announced before
     * have to be fetched from there, and count as announced sooner.
     */
    void onDiscoverySwitched() {
        confirmed = false;
        discoverySwitched = true;
    }

    /** Returns whether tries that start now may be sent to the pod. */
    boolean allows(long nowNs, Pod pod) {
        long leaseNs =
                (discoverySwitched
                                ? Math.min(noticeDelayNs, MAX_NOTICE_DELAY_AFTER_SWITCH_NS)
                                : noticeDelayNs)
                        + slackNs;
        return confirmed || nowNs < Math.max(lastConfirmedNs, pod.lastServedSentNs) + leaseNs;
    }

    /** Called when the pod has served a try that was sent at {@code sentNs}. */
    void onServed(Pod pod, long sentNs) {
        // A connection that failed since the list was confirmed may mean that another process now
        // listens at the address, which the list does not show yet.
        if (confirmed || pod.lastConnectionFailureNs <= lastConfirmedNs) {
            pod.lastServedSentNs = Math.max(pod.lastServedSentNs, sentNs);
        }
    }

    /** Called when a connection to the pod could not be opened or was reset. */
    void onConnectionFailed(Pod pod, long nowNs) {
        pod.lastConnectionFailureNs = nowNs;
    }
}
