package mulleinlever;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the number of tries that may be sent to builds on trial. Each build on trial has a token
 * bucket, or one for each route. Each req that arrives adds the build's exposure cap to it, and
 * each try at the build takes one token. No more tokens are kept than the exposure burst, which the
 * exposure rule does not count, so that the rule holds in windows of any length. Used by {@link
 * Policy} on the event loop.
 */
final class ExposureBudget {
    private final Settings.RolloutSettings rollout;
    private final int routeCount;
    private final Map<Integer, double[]> tokensByBuild = new HashMap<>();

    ExposureBudget(Settings.RolloutSettings rollout, int routeCount) {
        this.rollout = rollout;
        this.routeCount = routeCount;
    }

    /**
     * Returns the tokens of a build by route, or in element 0 if all routes share a bucket. The
     * first call for a build creates its buckets, which are empty.
     */
    double[] tokensOf(int build) {
        return tokensByBuild.computeIfAbsent(build, b -> new double[routeCount]);
    }

    /** Adds the tokens for a req of a route that has arrived. */
    void accrue(RolloutStatus status, int routeIndex) {
        tokensByBuild.forEach(
                (build, tokens) ->
                        tokens[tokenIndex(routeIndex)] =
                                Math.min(
                                        rollout.exposureBurst(),
                                        tokens[tokenIndex(routeIndex)]
                                                + status.capOf(build, rollout)));
    }

    boolean hasToken(int build, int routeIndex) {
        return tokensOf(build)[tokenIndex(routeIndex)] >= 1;
    }

    /** Takes a token for a try that is sent. */
    void consume(int build, int routeIndex) {
        tokensOf(build)[tokenIndex(routeIndex)]--;
    }

    private int tokenIndex(int routeIndex) {
        return rollout.isExposurePerRoute() ? routeIndex : 0;
    }
}
