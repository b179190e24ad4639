package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import mulleinlever.ClientConnectionPolicy.Activity;
import mulleinlever.ClientConnectionPolicy.State;
import org.junit.jupiter.api.Test;

/** Tests which client connections are closed. */
class ClientConnectionPolicyTest {
    private static final long MILLISECOND_NS = 1_000_000L;

    private static Activity activity(State state, long sinceMs) {
        return new Activity(state, sinceMs * MILLISECOND_NS);
    }

    private static Optional<Activity> select(long nowMs, Activity... activities) {
        return ClientConnectionPolicy.selectForEviction(
                List.of(activities), Function.identity(), nowMs * MILLISECOND_NS);
    }

    @Test
    void incompleteMessagesGiveWayBeforeIdleConnections() {
        Activity idle = activity(State.IDLE, 0);
        Activity older = activity(State.AWAITING_MESSAGE, 1000);
        Activity newer = activity(State.AWAITING_MESSAGE, 1100);
        assertEquals(Optional.of(older), select(2000, idle, newer, older));
    }

    @Test
    void messagesThatHaveJustBegunAreLeftToArrive() {
        Activity begun = activity(State.AWAITING_MESSAGE, 1950);
        Activity idle = activity(State.IDLE, 1900);
        assertEquals(Optional.of(idle), select(2000, begun, idle));
        assertEquals(Optional.empty(), select(2000, begun));
    }

    @Test
    void connectionsThatHaveJustOpenedAreLeftToSendTheirFirstCommand() {
        assertEquals(Optional.empty(), select(2000, activity(State.IDLE, 1990)));
    }

    @Test
    void connectionsThatAreDueResponsesAreNeverSelected() {
        assertEquals(
                Optional.empty(),
                select(99_000, activity(State.BUSY, 0), activity(State.AWAITING_READER, 0)));
    }

    @Test
    void incompleteMessagesStallWithinThreeSeconds() {
        Activity begun = activity(State.AWAITING_MESSAGE, 0);
        assertFalse(ClientConnectionPolicy.isStalled(begun, 2_400 * MILLISECOND_NS));
        assertTrue(ClientConnectionPolicy.isStalled(begun, 2_700 * MILLISECOND_NS));
    }

    @Test
    void idleAndBusyConnectionsNeverStall() {
        for (State state : List.of(State.IDLE, State.BUSY)) {
            assertFalse(
                    ClientConnectionPolicy.isStalled(
                            activity(state, 0), 3_600_000 * MILLISECOND_NS));
        }
    }
}
