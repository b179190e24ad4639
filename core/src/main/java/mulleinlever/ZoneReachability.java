package mulleinlever;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A zone as this sidecar's tries know it: which of its pods gave nothing since any of them last
 * did.
 */
final class ZoneReachability {
    private final Set<String> unansweredPodIds = new HashSet<>();
    private long unreachableSinceNs = Long.MIN_VALUE;
    private long nextProbeNs;
    private long backoffNs;

    /** Anything that came from there shows that it can be reached. */
    void onAnswer() {
        unansweredPodIds.clear();
        unreachableSinceNs = Long.MIN_VALUE;
        backoffNs = 0;
    }

    void onNoAnswer(long nowNs, Pod pod, int podThreshold) {
        unansweredPodIds.add(pod.id);
        if (unreachableSinceNs == Long.MIN_VALUE && unansweredPodIds.size() >= podThreshold) {
            unreachableSinceNs = nowNs;
        }
    }

    /** Whether pods there that have run since then are taken to be out of reach. */
    boolean isUnreachable(long startedNs) {
        return startedNs < unreachableSinceNs;
    }

    boolean canProbe(long nowNs) {
        return nowNs >= nextProbeNs;
    }

    /** The next try there is due after a pause that grows and differs by sidecar. */
    void scheduleNextProbe(
            long nowNs, long initialBackoffNs, long maxBackoffNs, SplittableRandom random) {
        backoffNs = backoffNs == 0 ? initialBackoffNs : Math.min(maxBackoffNs, 2 * backoffNs);
        nextProbeNs = nowNs + backoffNs / 2 + random.nextLong(backoffNs);
    }
}
