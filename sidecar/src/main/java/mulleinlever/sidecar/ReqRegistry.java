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

    void reportsTo(Policy decides) {
        this.policy = decides;
    }

    PendingCommand find(String id) {
        return inHand.get(id);
    }

    boolean take(PendingCommand held) {
        boolean mine = inHand.putIfAbsent(held.statement.id, held) == null;
        if (mine) {
            held.takenNs = clock.now();
            counts.add(SidecarMetrics.Event.IN);
        }
        return mine;
    }

    int count() {
        return inHand.size();
    }

    /**
     * A try is over, once; what still comes for it is passed over. A served one answers the req.
     */
    void ended(UpstreamTry t, TryOutcome ending, ByteBuf served) {
        if (t.ended()) {
            if (served != null) {
                served.release();
            }
            return;
        }
        t.how = ending;
        counts.ended(ending);
        if (t.limit != null) {
            t.limit.cancel(false);
        }
        long now = clock.now();
        if (served != null) {
            answer(t.held, served, SidecarMetrics.Event.COMPLETED);
        }
        boolean complete = t.held.answered;
        policy.tryEnded(now, t.held.statement.id, t.no, ending, now - t.calledNs, complete);
        settle(t.held);
    }

    /** The first answer goes to the client, any other nowhere. */
    void answer(PendingCommand held, ByteBuf answer, SidecarMetrics.Event how) {
        if (held.answered) {
            answer.release();
            return;
        }
        held.answered = true;
        held.answer = answer;
        counts.answered(held, how);
        held.client.answerReady();
        settle(held);
    }

    void clientGone(PendingCommand held) {
        if (!held.answered) {
            held.answered = true;
            counts.answered(held, SidecarMetrics.Event.GONE);
            policy.clientGone(clock.now(), held.statement.id);
        }
        settle(held);
    }

    private void settle(PendingCommand held) {
        if (held.answered && !held.triesOut() && inHand.remove(held.statement.id, held)) {
            held.client.settled(held);
            held.statement.text.release();
        }
    }
}
