package mulleinlever;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A zone as this sidecar's tries know it: which of its pods gave nothing since any of them last
 * did.
 */
final class ZoneReachability {
    private final Set<String> missed = new HashSet<>();
    private long darkSinceNs = Long.MIN_VALUE;
    private long askNs;
    private long pauseNs;

    /** Anything that came from there shows that it can be reached. */
    void onAnswer() {
        missed.clear();
        darkSinceNs = Long.MIN_VALUE;
        pauseNs = 0;
    }

    void onNoAnswer(long nowNs, Pod pod, int enough) {
        missed.add(pod.id);
        if (darkSinceNs == Long.MIN_VALUE && missed.size() >= enough) {
            darkSinceNs = nowNs;
        }
    }

    /** Whether pods there that have run since then are taken to be out of reach. */
    boolean isUnreachable(long startedNs) {
        return startedNs < darkSinceNs;
    }

    boolean canProbe(long nowNs) {
        return nowNs >= askNs;
    }

    /** The next try there is due after a pause that grows and differs by sidecar. */
    void scheduleNextProbe(long nowNs, long firstNs, long mostNs, SplittableRandom random) {
        pauseNs = pauseNs == 0 ? firstNs : Math.min(mostNs, 2 * pauseNs);
        askNs = nowNs + pauseNs / 2 + random.nextLong(pauseNs);
    }
}
