package mulleinlever.sidecar;

/**
 * Tells for how long the end of one client's connection may have gone unseen: it is found only once
 * all that was sent before has been read. Called by the event loop only.
 */
final class InputEndMonitor {
    /** In place of a time: all that has arrived was read, and the end was not found. */
    private static final long ALL_READ = Long.MIN_VALUE;

    private final Clock clock;
    private final ReadRounds rounds;

    /** Since when more may have arrived than was read. */
    private long unreadSinceNs = ALL_READ;

    /** The same in time for which the process ran. */
    private long unreadSinceRunningNs;

    InputEndMonitor(Clock clock, ReadRounds rounds) {
        this.clock = clock;
        this.rounds = rounds;
    }

    /** Records that all that had arrived was read, and the end was not found. */
    void allRead() {
        unreadSinceNs = ALL_READ;
    }

    /** Records that more may have arrived than was read. */
    void moreUnread() {
        if (unreadSinceNs == ALL_READ) {
            unreadSinceNs = clock.nowNs();
            unreadSinceRunningNs = rounds.runningNs();
        }
    }

    boolean isAllRead() {
        return unreadSinceNs == ALL_READ;
    }

    /** Returns for how long the end may have gone unseen, in nanoseconds. */
    long unseenNs() {
        return isAllRead() ? 0 : clock.nowNs() - unreadSinceNs;
    }

    /** Returns for how long the process ran while the end may have gone unseen, in nanoseconds. */
    long unseenRunningNs() {
        return isAllRead() ? 0 : rounds.runningNs() - unreadSinceRunningNs;
    }
}
