package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares {@link PodListLease} with a reference model of one pod under random events. */
class PodListLeaseTest {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long LEASE_MS = 6_000 + 1_000 - 250 - 150;
    private static final long LEASE_AFTER_SWITCH_MS = LEASE_MS - 2_000;

    // Report abbe30: an old list was used for as long as no newer one arrived, whatever its age.
    @Test
    void leaseMatchesReferenceModel() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            var lease =
                    new PodListLease(
                            10_000 * MILLISECOND_NS, 1_000 * MILLISECOND_NS, 250 * MILLISECOND_NS);
            Pod pod = new Pod(PolicyHarness.podEntry(0, 1, 0), MILLISECOND_NS);
            lease.onConfirmed(0);
            boolean confirmed = true;
            boolean discoverySwitched = false;
            long connectionFailedMs = Long.MIN_VALUE / 2;
            long servedSentMs = Long.MIN_VALUE / 2;
            long lastConfirmedMs = 0;
            for (long nowMs = 1; nowMs < 40_000; nowMs += 1 + random.nextInt(400)) {
                switch (random.nextInt(40)) {
                    case 0, 1 -> {
                        lease.onConfirmed(nowMs * MILLISECOND_NS);
                        confirmed = true;
                        discoverySwitched = false;
                        lastConfirmedMs = nowMs;
                    }
                    case 2, 3, 4 -> {
                        lease.onUnconfirmedSince(
                                Math.max(lastConfirmedMs, nowMs - 2_000) * MILLISECOND_NS);
                        lastConfirmedMs =
                                confirmed
                                        ? Math.max(lastConfirmedMs, nowMs - 2_000)
                                        : lastConfirmedMs;
                        confirmed = false;
                    }
                    case 5 -> {
                        lease.onDiscoverySwitched();
                        confirmed = false;
                        discoverySwitched = true;
                    }
                    case 6, 7 -> {
                        lease.onConnectionFailed(pod, nowMs * MILLISECOND_NS);
                        connectionFailedMs = nowMs;
                    }
                    case 8, 9, 10, 11, 12 -> {
                        lease.onServed(pod, (nowMs - 300) * MILLISECOND_NS);
                        servedSentMs =
                                confirmed || connectionFailedMs <= lastConfirmedMs
                                        ? Math.max(servedSentMs, nowMs - 300)
                                        : servedSentMs;
                    }
                    default -> {}
                }
                boolean expected =
                        confirmed
                                || nowMs
                                        < Math.max(lastConfirmedMs, servedSentMs)
                                                + (discoverySwitched
                                                        ? LEASE_AFTER_SWITCH_MS
                                                        : LEASE_MS);
                assertEquals(
                        expected,
                        lease.allows(nowMs * MILLISECOND_NS, pod),
                        "seed " + seed + " at " + nowMs + " ms");
            }
        }
    }

    @Test
    void leaseDoesNotExpireWhileDiscoveryIsUnreachable() {
        var lease =
                new PodListLease(
                        10_000 * MILLISECOND_NS, 1_000 * MILLISECOND_NS, 250 * MILLISECOND_NS);
        Pod pod = new Pod(PolicyHarness.podEntry(0, 1, 0), MILLISECOND_NS);
        lease.onNeverConfirmed();
        assertFalse(lease.allows(0, pod));
        for (long nowMs = 0; nowMs < 60_000; nowMs += 3_000) {
            lease.onDiscoveryCall(false, nowMs * MILLISECOND_NS);
            assertTrue(lease.allows((nowMs + 2_999) * MILLISECOND_NS, pod));
        }
        lease.onDiscoveryCall(true, 60_000 * MILLISECOND_NS);
        assertTrue(lease.allows((57_000 + LEASE_MS - 1) * MILLISECOND_NS, pod));
        assertFalse(lease.allows((57_000 + LEASE_MS) * MILLISECOND_NS, pod));
    }
}
