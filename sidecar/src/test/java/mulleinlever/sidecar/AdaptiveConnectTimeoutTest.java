package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Of the class that decides how long to wait by what was seen of late. */
class AdaptiveConnectTimeoutTest {
    private static final long MS = 1_000_000L;
    private static final long MOST = 250 * MS;

    private record Seen(long atNs, long tookNs) {}

    /**
     * Slow and plain: from all that was ever seen, each part faded by its age. A failure took
     * nothing.
     */
    private static long model(List<Seen> all, long now) {
        double slowest = 0;
        double up = 0;
        double down = 0;
        for (Seen s : all) {
            double left = Math.exp(-Math.log(2) * (now - s.atNs) / 10e9);
            slowest = Math.max(slowest, left * s.tookNs);
            up += s.tookNs > 0 ? left : 0;
            down += s.tookNs > 0 ? 0 : left;
        }
        boolean little = all.stream().filter(s -> s.tookNs > 0).count() < 20;
        return little
                ? MOST
                : (long) Math.min(MOST, Math.max(25 * MS, 3 * slowest * (up + down) / up));
    }

    @Test
    void matchesReferenceModel() {
        for (int seed = 0; seed < 50; seed++) {
            var random = new SplittableRandom(seed);
            AdaptiveConnectTimeout p = new AdaptiveConnectTimeout(MOST);
            List<Seen> all = new ArrayList<>();
            double bad = random.nextDouble();
            long now = 1_000_000 * MS;
            for (int i = 0; i < 200; i++) {
                now += random.nextLong(200 * MS);
                long took = random.nextDouble() < bad ? 0 : 1 + random.nextLong(60 * MS);
                all.add(new Seen(now, took));
                if (took > 0) {
                    p.recordSuccess(now, took);
                } else {
                    p.recordTimeout(now);
                }
                long then = now + random.nextLong(1000 * MS);
                assertEquals(model(all, now), p.timeoutNs(now), 1000, "seed " + seed + ", " + i);
                now = then;
                assertEquals(model(all, now), p.timeoutNs(now), 1000, "seed " + seed + ", " + i);
            }
        }
    }

    @Test
    void usesMaximumWhenMostConnectsTimeOut() {
        AdaptiveConnectTimeout p = new AdaptiveConnectTimeout(MOST);
        for (int i = 0; i < 30; i++) {
            p.recordSuccess(i, 10 * MS);
        }
        assertEquals(30 * MS, p.timeoutNs(30), MS);
        for (int i = 0; i < 300; i++) {
            p.recordTimeout(30);
        }
        assertEquals(MOST, p.timeoutNs(30));
        assertTrue(new AdaptiveConnectTimeout(MOST).timeoutNs(0) == MOST);
    }
}
