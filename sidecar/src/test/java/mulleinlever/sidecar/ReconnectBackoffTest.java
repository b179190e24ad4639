package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ReconnectBackoffTest {
    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;

    private record Call(long atNs, int by) {}

    /**
     * The most calls in any second once the waits have grown, while a peer that all lost at once
     * stays down.
     */
    private static int mostCallsASecond(int sidecars, double callsPerSecond, long failsAfterNs) {
        ReconnectBackoff[] all = new ReconnectBackoff[sidecars];
        var agenda = new PriorityQueue<Call>((a, b) -> Long.compare(a.atNs, b.atNs));
        for (int i = 0; i < sidecars; i++) {
            all[i] =
                    new ReconnectBackoff(
                            300 * MS, ReconnectBackoff.maxDelayNs(sidecars, callsPerSecond), i);
            agenda.add(new Call(0, i));
        }
        int grown = (int) (2 * ReconnectBackoff.maxDelayNs(sidecars, callsPerSecond) / S) + 3;
        int[] inSecond = new int[grown + 40];
        while (agenda.peek().atNs < (grown + 40) * S) {
            Call c = agenda.poll();
            inSecond[(int) (c.atNs / S)]++;
            all[c.by].recordOpened(c.atNs);
            long ended = c.atNs + failsAfterNs;
            agenda.add(new Call(ended + all[c.by].nextDelayNs(ended), c.by));
        }
        int most = 0;
        for (int s = grown + 20; s < grown + 40; s++) {
            most = Math.max(most, inSecond[s]);
        }
        return most;
    }

    @Test
    void jitterSpreadsReconnectsOfFleet() {
        assertTrue(
                mostCallsASecond(14, 16, MS) <= 16,
                mostCallsASecond(14, 16, MS) + " refused at once");
        // Waits of 6 to 12 s spread a hundred that began in step too little for each second to stay
        // under 16.
        assertTrue(
                mostCallsASecond(100, 16, MS) <= 24,
                mostCallsASecond(100, 16, MS) + " refused at once");
        assertTrue(
                mostCallsASecond(100, 100, MS) <= 100,
                mostCallsASecond(100, 100, MS) + " refused at once");
        // A silent one is given up after 2 s: without chance all would come within the same moment
        // for ever.
        assertTrue(
                mostCallsASecond(14, 16, 2 * S) <= 10,
                mostCallsASecond(14, 16, 2 * S) + " after silence");
    }

    @Test
    void delayStaysWithinReferenceBounds() {
        for (int seed = 0; seed < 200; seed++) {
            var random = new SplittableRandom(seed);
            long first = 1 + random.nextLong(500 * MS);
            long most = random.nextLong(5 * S);
            ReconnectBackoff a = new ReconnectBackoff(first, most, seed);
            long bound = Math.max(first, most);
            long now = 0;
            int inRow = 0;
            for (int i = 0; i < 50; i++) {
                a.recordOpened(now);
                long stands =
                        random.nextBoolean() ? random.nextLong(100 * MS) : random.nextLong(12 * S);
                inRow = stands > bound + first ? 0 : inRow;
                now += stands;
                long wait = a.nextDelayNs(now);
                double full = Math.min(bound, first * Math.pow(2, inRow++));
                assertTrue(
                        wait >= (long) full / 2 && wait <= full,
                        "seed " + seed + ": " + wait + " of " + full);
                now += wait;
            }
        }
    }

    @Test
    void maxDelayIsBoundedForInvalidInput() {
        assertEquals(60 * S, ReconnectBackoff.maxDelayNs(1000, -5));
        assertEquals(60 * S, ReconnectBackoff.maxDelayNs(1000, Double.NaN));
        assertEquals(0, ReconnectBackoff.maxDelayNs(3, Double.POSITIVE_INFINITY));
    }
}
