package mulleinlever;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Tracks whether a zone is unreachable, by the tries of this sidecar: which of the zone's pods have
 * left a try unanswered since any of its pods last answered. Used by {@link Policy} on the event
 * loop.
 */
final class ZoneReachability {
    private final Set<String> unansweredPodIds = new HashSet<>();
    private long unreachableSinceNs = Long.MIN_VALUE;
    private long nextProbeNs;
    private long backoffNs;

    /** Called on any answer from a pod of the zone, which shows that the zone can be reached. */
    void onAnswer() {
        unansweredPodIds.clear();
        unreachableSinceNs = Long.MIN_VALUE;
        backoffNs = 0;
    }

    /**
     * Called when a pod has left a try unanswered or could not be connected to.
     *
     * @param podThreshold the number of such pods from which the zone counts as unreachable
     */
    void onNoAnswer(long nowNs, Pod pod, int podThreshold) {
        unansweredPodIds.add(pod.id);
        if (unreachableSinceNs == Long.MIN_VALUE && unansweredPodIds.size() >= podThreshold) {
            unreachableSinceNs = nowNs;
        }
    }

    /**
     * Returns whether a pod of the zone that started at {@code startedNs} is taken to be
     * unreachable. Pods that started after the zone became unreachable are not.
     */
    boolean isUnreachable(long startedNs) {
        return startedNs < unreachableSinceNs;
    }

    /** Returns whether the next try into the unreachable zone is due. */
    boolean canProbe(long nowNs) {
        return nowNs >= nextProbeNs;
    }

    /**
     * Schedules the next try into the unreachable zone after an exponential backoff with jitter, so
     * that sidecars do not probe at the same time.
     */
    void scheduleNextProbe(
            long nowNs, long initialBackoffNs, long maxBackoffNs, SplittableRandom random) {
        backoffNs = backoffNs == 0 ? initialBackoffNs : Math.min(maxBackoffNs, 2 * backoffNs);
        nextProbeNs = nowNs + backoffNs / 2 + random.nextLong(backoffNs);
    }
}
