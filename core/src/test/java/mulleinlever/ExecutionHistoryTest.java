package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mulleinlever.Settings.DedupScope;
import mulleinlever.Settings.RetrySafety;
import org.junit.jupiter.api.Test;

/** Tests that a req that comes again under its id has no effect twice. */
class ExecutionHistoryTest {
    private static final long MS = PolicyHarness.MILLISECOND_NS;
    private static final long TIMEOUT_NS = 2_000 * MS;
    private static final int POD_COUNT = 12;

    private static PolicyHarness withRoute(RetrySafety retrySafety, DedupScope dedupScope) {
        Settings settings =
                PolicyHarness.settings(
                        Settings.VoteControl.SINGLE,
                        false,
                        0,
                        false,
                        false,
                        List.of(PolicyHarness.route("put", retrySafety, dedupScope)),
                        3,
                        false);
        return PolicyHarness.create(settings, 1).addPods(POD_COUNT, 1);
    }

    /** Sends a req whose client leaves while its try runs. Returns the number of the pod. */
    private static int sendAndLeave(PolicyHarness harness, String reqId) {
        harness.sendReq(reqId, "put", TIMEOUT_NS);
        int pod = PolicyHarness.podNumber(harness.lastSent().podId());
        harness.policy.onClientDisconnected(harness.nowNs, reqId);
        harness.endTry(reqId, 0, TryOutcome.CANCELLED, 0);
        return pod;
    }

    // A req was forgotten with its client, so that it ran again in another zone when it came again.
    @Test
    void deduplicatedReqComesAgainWithinItsScopeOnly() {
        PolicyHarness harness = withRoute(RetrySafety.DEDUPLICATED, DedupScope.ZONE);
        for (int i = 0; i < 40; i++) {
            int firstPod = sendAndLeave(harness, "r" + i);
            harness.advance(20 * MS);
            harness.sendReq("r" + i, "put", TIMEOUT_NS);
            assertEquals("r" + i, harness.lastSent().reqId());
            int secondPod = PolicyHarness.podNumber(harness.lastSent().podId());
            assertEquals(firstPod % 2, secondPod % 2, "zone");
            harness.endTry("r" + i, 0, TryOutcome.OK, MS);
        }
    }

    // After the dedup window pods don't recognise a repeat. A shed reply would promise that the req
    // had no effect.
    @Test
    void deduplicatedReqFailsAfterItsWindow() {
        PolicyHarness harness = withRoute(RetrySafety.DEDUPLICATED, DedupScope.ALL);
        sendAndLeave(harness, "r");
        harness.advance(300 * MS);
        harness.sendReq("r", "put", TIMEOUT_NS);
        assertEquals(1, harness.sentTries.size());
        assertEquals("error", harness.finalAnswers.get("r"));
    }

    @Test
    void reqThatMustNotBeRepeatedFailsWhenItComesAgain() {
        PolicyHarness harness = withRoute(RetrySafety.NOT_RETRYABLE, DedupScope.ALL);
        sendAndLeave(harness, "r");
        harness.sendReq("r", "put", TIMEOUT_NS);
        assertEquals(1, harness.sentTries.size());
        assertEquals("error", harness.finalAnswers.get("r"));
    }

    @Test
    void completedReqIsRememberedToo() {
        PolicyHarness harness = withRoute(RetrySafety.NOT_RETRYABLE, DedupScope.ALL);
        harness.sendReq("r", "put", TIMEOUT_NS);
        harness.endTry("r", 0, TryOutcome.OK, MS);
        harness.sendReq("r", "put", TIMEOUT_NS);
        assertEquals(1, harness.sentTries.size());
        assertEquals("error", harness.finalAnswers.get("r"));
    }

    @Test
    void reqThatNeverRanComesAgainLikeANewOne() {
        PolicyHarness harness = withRoute(RetrySafety.NOT_RETRYABLE, DedupScope.ALL);
        harness.sendReq("r", "put", TIMEOUT_NS);
        harness.policy.onClientDisconnected(harness.nowNs, "r");
        harness.endTry("r", 0, TryOutcome.CONNECT_FAILED, 0);
        harness.sendReq("r", "put", TIMEOUT_NS);
        assertEquals(2, harness.sentTries.size());
    }

    @Test
    void idempotentReqComesAgainLikeANewOne() {
        PolicyHarness harness = withRoute(RetrySafety.IDEMPOTENT, DedupScope.ALL);
        sendAndLeave(harness, "r");
        harness.advance(1_000 * MS);
        harness.sendReq("r", "put", TIMEOUT_NS);
        assertEquals(2, harness.sentTries.size());
    }

    // At the limit the oldest id was forgotten, and ran again when it came again.
    @Test
    void reqsAreShedUnsentWhereNoMoreCanBeRemembered() {
        PolicyHarness harness = withRoute(RetrySafety.NOT_RETRYABLE, DedupScope.ALL);
        harness.policy.limitMemory(8 * ExecutionHistory.ENTRY_BYTES, 10);
        // One client may take three quarters of the places.
        for (int i = 0; i < 6; i++) {
            sendAndLeave(harness, "r" + i);
        }
        harness.sendReq("r6", "put", TIMEOUT_NS);
        assertEquals("shed", harness.finalAnswers.get("r6"));
        harness.sendReq("r0", "put", TIMEOUT_NS);
        assertEquals("error", harness.finalAnswers.get("r0"));
        assertEquals(6, harness.sentTries.size());
        harness.advance(TIMEOUT_NS + 1_000 * MS);
        harness.sendReq("r7", "put", TIMEOUT_NS);
        assertEquals(7, harness.sentTries.size());
    }

    // A req that is not sent, or doesn't run, takes no place for longer than it is open.
    @Test
    void placesOfReqsThatNeverRanAreFreeAtOnce() {
        PolicyHarness harness = withRoute(RetrySafety.NOT_RETRYABLE, DedupScope.ALL);
        harness.policy.limitMemory(10 * ExecutionHistory.ENTRY_BYTES, 10);
        for (int i = 0; i < 100; i++) {
            harness.sendReq("r" + i, "put", TIMEOUT_NS);
            harness.policy.onClientDisconnected(harness.nowNs, "r" + i);
            harness.endTry("r" + i, 0, TryOutcome.CONNECT_FAILED, 0);
        }
        assertEquals(100, harness.sentTries.size());
    }

    // One client could take all places, so that all others were refused.
    @Test
    void clientsWithFewReqsAreServedBesideOneWithMany() {
        PolicyHarness harness = withRoute(RetrySafety.NOT_RETRYABLE, DedupScope.ALL);
        harness.policy.limitMemory(100 * ExecutionHistory.ENTRY_BYTES, 10);
        for (int i = 0; i < 200; i++) {
            sendReqOf(harness, 1, "many" + i);
        }
        for (int i = 0; i < 20; i++) {
            sendReqOf(harness, 2 + i % 4, "few" + i);
            assertEquals("few" + i, harness.lastSent().reqId());
        }
    }

    // Clients that connect anew for each req counted as new ones each time, and took all places.
    @Test
    void clientsThatStayAreServedBesideManyThatComeAndLeave() {
        PolicyHarness harness = withRoute(RetrySafety.NOT_RETRYABLE, DedupScope.ALL);
        harness.policy.limitMemory(100 * ExecutionHistory.ENTRY_BYTES, 10);
        sendReqOf(harness, 1, "first");
        for (int i = 0; i < 200; i++) {
            sendReqOf(harness, 2 + i, "left" + i);
            harness.policy.onClientConnectionClosed(2 + i);
        }
        for (int i = 0; i < 10; i++) {
            sendReqOf(harness, 1, "again" + i);
            assertEquals("again" + i, harness.lastSent().reqId());
        }
    }

    private static void sendReqOf(PolicyHarness harness, long clientId, String reqId) {
        Req req = new Req(reqId, "put", false, true, TIMEOUT_NS, 0, -1, null, clientId);
        harness.policy.onReq(harness.nowNs, req);
        if (harness.lastSent().reqId().equals(reqId)) {
            harness.endTry(reqId, 0, TryOutcome.OK, MS);
        }
    }
}
