package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.Map;
import mulleinlever.Policy;
import mulleinlever.TryOutcome;

/** Last stage: what is in hand, how each try ended, and the one final answer of each req. */
final class ReqRegistry {
    private final Clock clock;
    private final Map<String, PendingCommand> inHand = new HashMap<>();
    private final SidecarMetrics counts;
    private Policy policy;

    ReqRegistry(Clock clock, SidecarMetrics counts) {
        this.clock = clock;
        this.counts = counts;
    }

    void setPolicy(Policy decides) {
        this.policy = decides;
    }

    PendingCommand find(String id) {
        return inHand.get(id);
    }

    boolean register(PendingCommand held) {
        boolean mine = inHand.putIfAbsent(held.statement.id, held) == null;
        if (mine) {
            held.receivedNs = clock.nowNs();
            counts.increment(SidecarMetrics.Event.IN);
        }
        return mine;
    }

    int inFlightCount() {
        return inHand.size();
    }

    /**
     * A try is over, once; what still comes for it is passed over. A served one answers the req.
     */
    void onTryEnded(UpstreamTry t, TryOutcome ending, ByteBuf served) {
        if (t.hasEnded()) {
            if (served != null) {
                served.release();
            }
            return;
        }
        t.outcome = ending;
        counts.recordTryOutcome(ending);
        if (t.timeoutTask != null) {
            t.timeoutTask.cancel(false);
        }
        long now = clock.nowNs();
        if (served != null) {
            respond(t.command, served, SidecarMetrics.Event.COMPLETED);
        }
        boolean complete = t.command.outcomeDecided;
        policy.onTryEnded(
                now, t.command.statement.id, t.tryNo, ending, now - t.startedNs, complete);
        settle(t.command);
    }

    /** The first answer goes to the client, any other nowhere. */
    void respond(PendingCommand held, ByteBuf answer, SidecarMetrics.Event how) {
        if (held.outcomeDecided) {
            answer.release();
            return;
        }
        held.outcomeDecided = true;
        held.response = answer;
        counts.recordOutcome(held, how);
        held.client.flushResponses();
        settle(held);
    }

    void onClientDisconnected(PendingCommand held) {
        if (!held.outcomeDecided) {
            held.outcomeDecided = true;
            counts.recordOutcome(held, SidecarMetrics.Event.GONE);
            policy.onClientDisconnected(clock.nowNs(), held.statement.id);
        }
        settle(held);
    }

    private void settle(PendingCommand held) {
        if (held.outcomeDecided
                && !held.hasTriesInFlight()
                && inHand.remove(held.statement.id, held)) {
            held.client.releaseMemory(held);
            held.statement.text.release();
        }
    }
}
