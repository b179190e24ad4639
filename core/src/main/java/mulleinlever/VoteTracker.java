package mulleinlever;

/** What a sidecar wants to vote, has asked for, and stands for. */
final class VoteTracker {
    RolloutVote wanted = RolloutVote.NONE;
    long wantedSinceNs;
    RolloutVote asked;
    long askedNs;
    long againNs;
    private RolloutVote standing = RolloutVote.NONE;
    private long standsUntilNs;

    void want(long nowNs, RolloutVote verdict) {
        wantedSinceNs = verdict == wanted ? wantedSinceNs : nowNs;
        wanted = verdict;
    }

    void ask(long nowNs) {
        asked = wanted;
        askedNs = nowNs;
    }

    void answered(boolean counts, long standsNs, long tryAgainNs) {
        if (counts && asked != null) {
            standing = asked;
            standsUntilNs = askedNs + standsNs;
        }
        againNs = counts ? againNs : tryAgainNs;
        asked = null;
    }

    /** A vote is for one build and stage: on any other nothing stands. */
    void clear() {
        standing = RolloutVote.NONE;
        wanted = RolloutVote.NONE;
    }

    RolloutVote standsAt(long nowNs) {
        return nowNs < standsUntilNs ? standing : RolloutVote.NONE;
    }
}
