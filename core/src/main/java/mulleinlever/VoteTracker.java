package mulleinlever;

/**
 * Tracks the vote that a sidecar wants to cast, the vote whose answer it awaits, and the vote that
 * the platform counts.
 */
final class VoteTracker {
    RolloutVote wantedVote = RolloutVote.NONE;
    long wantedSinceNs;

    /** The vote that was sent and not answered yet, or null. */
    RolloutVote pendingVote;

    long sentNs;

    /** The earliest time for the next vote after one that was not counted. */
    long retryAtNs;

    /** The vote that the platform counts until {@link #standingUntilNs}. */
    private RolloutVote standingVote = RolloutVote.NONE;

    private long standingUntilNs;

    void setWanted(long nowNs, RolloutVote vote) {
        wantedSinceNs = vote == wantedVote ? wantedSinceNs : nowNs;
        wantedVote = vote;
    }

    /** Records that the wanted vote is sent. */
    void markSent(long nowNs) {
        pendingVote = wantedVote;
        sentNs = nowNs;
    }

    /**
     * Handles the answer to the pending vote.
     *
     * @param counted whether the platform has counted the vote
     * @param lifetimeNs how long a counted vote stands after it was sent
     * @param nextAttemptNs the earliest time for the next vote if this one was not counted
     */
    void onAnswer(boolean counted, long lifetimeNs, long nextAttemptNs) {
        if (counted && pendingVote != null) {
            standingVote = pendingVote;
            standingUntilNs = sentNs + lifetimeNs;
        }
        retryAtNs = counted ? retryAtNs : nextAttemptNs;
        pendingVote = null;
    }

    /** Forgets the wanted and the standing vote, which hold for one build and stage only. */
    void reset() {
        standingVote = RolloutVote.NONE;
        wantedVote = RolloutVote.NONE;
    }

    /** Returns the vote that stands at a time. */
    RolloutVote standingVoteAt(long nowNs) {
        return nowNs < standingUntilNs ? standingVote : RolloutVote.NONE;
    }
}
