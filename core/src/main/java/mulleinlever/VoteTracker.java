package mulleinlever;

/** What a sidecar wants to vote, has asked for, and stands for. */
final class VoteTracker {
    RolloutVote wantedVote = RolloutVote.NONE;
    long wantedSinceNs;
    RolloutVote pendingVote;
    long sentNs;
    long retryAtNs;
    private RolloutVote standingVote = RolloutVote.NONE;
    private long standingUntilNs;

    void setWanted(long nowNs, RolloutVote vote) {
        wantedSinceNs = vote == wantedVote ? wantedSinceNs : nowNs;
        wantedVote = vote;
    }

    void markSent(long nowNs) {
        pendingVote = wantedVote;
        sentNs = nowNs;
    }

    void onAnswer(boolean counted, long lifetimeNs, long nextAttemptNs) {
        if (counted && pendingVote != null) {
            standingVote = pendingVote;
            standingUntilNs = sentNs + lifetimeNs;
        }
        retryAtNs = counted ? retryAtNs : nextAttemptNs;
        pendingVote = null;
    }

    /** A vote is for one build and stage: on any other nothing stands. */
    void reset() {
        standingVote = RolloutVote.NONE;
        wantedVote = RolloutVote.NONE;
    }

    RolloutVote standingVoteAt(long nowNs) {
        return nowNs < standingUntilNs ? standingVote : RolloutVote.NONE;
    }
}
