package mulleinlever;

import java.util.HashMap;
import java.util.Map;

/**
 * What may still be sent to builds on trial. Each req earns its share and only the free number is
 * saved, so that no window whatever its length exceeds the rule.
 */
final class ExposureBudget {
    private final Settings.RolloutSettings rollout;
    private final int routeCount;
    private final Map<Integer, double[]> tokensByBuild = new HashMap<>();

    ExposureBudget(Settings.RolloutSettings rollout, int routeCount) {
        this.rollout = rollout;
        this.routeCount = routeCount;
    }

    double[] tokensOf(int build) {
        return tokensByBuild.computeIfAbsent(build, b -> new double[routeCount]);
    }

    void accrue(RolloutStatus status, int route) {
        tokensByBuild.forEach(
                (build, tokens) ->
                        tokens[tokenIndex(route)] =
                                Math.min(
                                        rollout.exposureBurst(),
                                        tokens[tokenIndex(route)] + status.capOf(build, rollout)));
    }

    boolean hasToken(int build, int route) {
        return tokensOf(build)[tokenIndex(route)] >= 1;
    }

    void consume(int build, int route) {
        tokensOf(build)[tokenIndex(route)]--;
    }

    private int tokenIndex(int route) {
        return rollout.isExposurePerRoute() ? route : 0;
    }
}
