package mulleinlever;

import java.util.HashMap;
import java.util.Map;

/**
 * What may still be sent to builds on trial. Each req earns its share and only the free number is
 * saved, so that no window whatever its length exceeds the rule.
 */
final class ExposureBudget {
    private final Settings.RolloutSettings rollout;
    private final int routes;
    private final Map<Integer, double[]> left = new HashMap<>();

    ExposureBudget(Settings.RolloutSettings rollout, int routes) {
        this.rollout = rollout;
        this.routes = routes;
    }

    double[] tokensOf(int build) {
        return left.computeIfAbsent(build, b -> new double[routes]);
    }

    void accrue(RolloutStatus news, int route) {
        left.forEach(
                (build, saved) ->
                        saved[lane(route)] =
                                Math.min(
                                        rollout.exposureBurst(),
                                        saved[lane(route)] + news.capOf(build, rollout)));
    }

    boolean hasToken(int build, int route) {
        return tokensOf(build)[lane(route)] >= 1;
    }

    void consume(int build, int route) {
        tokensOf(build)[lane(route)]--;
    }

    private int lane(int route) {
        return rollout.isExposurePerRoute() ? route : 0;
    }
}
