package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The lease of the list against a model that goes through all that happened to one server. */
class PodListLeaseTest {
    private static final long MS = 1_000_000L;
    private static final long LENGTH_MS = 6_000 + 1_000 - 250 - 150;
    private static final long MOVED_LENGTH_MS = LENGTH_MS - 2_000;

    // Report abbe30: a list was gone by for as long as no other came, whatever its age.
    @Test
    void leaseMatchesReferenceModel() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            var lease = new PodListLease(10_000 * MS, 1_000 * MS, 250 * MS);
            Pod server = new Pod(PolicyHarness.podEntry(0, 1, 0), MS);
            lease.onConfirmed(0);
            boolean confirmed = true;
            boolean moved = false;
            long brokeMs = Long.MIN_VALUE / 2;
            long servedMs = Long.MIN_VALUE / 2;
            long trueMs = 0;
            for (long ms = 1; ms < 40_000; ms += 1 + random.nextInt(400)) {
                switch (random.nextInt(40)) {
                    case 0, 1 -> {
                        lease.onConfirmed(ms * MS);
                        confirmed = true;
                        moved = false;
                        trueMs = ms;
                    }
                    case 2, 3, 4 -> {
                        lease.onUnconfirmedSince(Math.max(trueMs, ms - 2_000) * MS);
                        trueMs = confirmed ? Math.max(trueMs, ms - 2_000) : trueMs;
                        confirmed = false;
                    }
                    case 5 -> {
                        lease.onDiscoveryChanged();
                        confirmed = false;
                        moved = true;
                    }
                    case 6, 7 -> {
                        lease.onConnectionFailed(server, ms * MS);
                        brokeMs = ms;
                    }
                    case 8, 9, 10, 11, 12 -> {
                        lease.onServed(server, (ms - 300) * MS);
                        servedMs =
                                confirmed || brokeMs <= trueMs
                                        ? Math.max(servedMs, ms - 300)
                                        : servedMs;
                    }
                    default -> {}
                }
                boolean expected =
                        confirmed
                                || ms
                                        < Math.max(trueMs, servedMs)
                                                + (moved ? MOVED_LENGTH_MS : LENGTH_MS);
                assertEquals(
                        expected,
                        lease.allows(ms * MS, server),
                        "seed " + seed + " at " + ms + " ms");
            }
        }
    }

    @Test
    void leaseDoesNotExpireWhileDiscoveryIsUnreachable() {
        var lease = new PodListLease(10_000 * MS, 1_000 * MS, 250 * MS);
        Pod server = new Pod(PolicyHarness.podEntry(0, 1, 0), MS);
        lease.onNeverConfirmed();
        assertFalse(lease.allows(0, server));
        for (long ms = 0; ms < 60_000; ms += 3_000) {
            lease.onDiscoveryCall(false, ms * MS);
            assertTrue(lease.allows((ms + 2_999) * MS, server));
        }
        lease.onDiscoveryCall(true, 60_000 * MS);
        assertTrue(lease.allows((57_000 + LENGTH_MS - 1) * MS, server));
        assertFalse(lease.allows((57_000 + LENGTH_MS) * MS, server));
    }
}
