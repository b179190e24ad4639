package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mulleinlever.ClientPresencePolicy.Decision;
import org.junit.jupiter.api.Test;

class ClientPresencePolicyTest {
    private static final long MILLISECOND_NS = 1_000_000L;

    /** The time after the end of a client's connection from which no try for it may begin. */
    private static final long LEAVE_LIMIT_NS = 100 * MILLISECOND_NS;

    // A try began at once whenever the loop had run a turn since it was held up.
    @Test
    void noTryBeginsOnceClientMayHaveLeftForLimit() {
        for (long behindMs : new long[] {0, 10, 50, 51, 1_000}) {
            Decision decision =
                    ClientPresencePolicy.decide(LEAVE_LIMIT_NS, behindMs * MILLISECOND_NS);
            assertTrue(decision != Decision.BEGIN, decision + " after " + behindMs);
        }
    }

    // Clients that stayed were refused although their ends were about to be looked for.
    @Test
    void clientThatIsReadInTimeWaitsAndIsNotRefused() {
        long heldUpNs = 150 * MILLISECOND_NS;
        assertEquals(Decision.WAIT, ClientPresencePolicy.decide(heldUpNs, 10 * MILLISECOND_NS));
    }

    @Test
    void clientThatWasJustReadBeginsHoweverFarItIsBehind() {
        assertEquals(Decision.BEGIN, ClientPresencePolicy.decide(0, LEAVE_LIMIT_NS));
    }

    @Test
    void clientThatSendsWithoutPauseIsRefused() {
        assertEquals(Decision.REFUSE, ClientPresencePolicy.decide(LEAVE_LIMIT_NS, LEAVE_LIMIT_NS));
    }

    // What lies in the send buffer of a client that has closed its connection arrives later.
    @Test
    void laterBytesShowPresenceOnlyOfClientsThatSendLittle() {
        assertTrue(ClientPresencePolicy.showsSentLater(1_000));
        assertFalse(ClientPresencePolicy.showsSentLater(64 * 1024));
    }
}
