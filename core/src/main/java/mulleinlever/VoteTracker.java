package mulleinlever;

/** What a sidecar wants to vote, has asked for, and stands for. */
final class VoteTracker {
    RolloutVote wantedVote = RolloutVote.NONE;
    long wantedSinceNs;
    RolloutVote pendingVote;
    long sentNs;
    long retryAtNs;
    private RolloutVote standing = RolloutVote.NONE;
    private long standsUntilNs;

    void setWanted(long nowNs, RolloutVote verdict) {
        wantedSinceNs = verdict == wantedVote ? wantedSinceNs : nowNs;
        wantedVote = verdict;
    }

    void markSent(long nowNs) {
        pendingVote = wantedVote;
        sentNs = nowNs;
    }

    void onAnswer(boolean counts, long standsNs, long tryAgainNs) {
        if (counts && pendingVote != null) {
            standing = pendingVote;
            standsUntilNs = sentNs + standsNs;
        }
        retryAtNs = counts ? retryAtNs : tryAgainNs;
        pendingVote = null;
    }

    /** A vote is for one build and stage: on any other nothing stands. */
    void reset() {
        standing = RolloutVote.NONE;
        wantedVote = RolloutVote.NONE;
    }

    RolloutVote standingVoteAt(long nowNs) {
        return nowNs < standsUntilNs ? standing : RolloutVote.NONE;
    }
}
