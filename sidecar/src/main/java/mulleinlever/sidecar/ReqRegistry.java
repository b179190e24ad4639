package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.Map;
import mulleinlever.Policy;
import mulleinlever.TryOutcome;

/** Last stage: what is in hand, how each try ended, and the one final answer of each req. */
final class ReqRegistry {
    private final Clock clock;
    private final Map<String, PendingCommand> commandsById = new HashMap<>();
    private final SidecarMetrics metrics;
    private Policy policy;

    ReqRegistry(Clock clock, SidecarMetrics metrics) {
        this.clock = clock;
        this.metrics = metrics;
    }

    void setPolicy(Policy policy) {
        this.policy = policy;
    }

    PendingCommand find(String id) {
        return commandsById.get(id);
    }

    boolean register(PendingCommand command) {
        boolean registered = commandsById.putIfAbsent(command.statement.id, command) == null;
        if (registered) {
            command.receivedNs = clock.nowNs();
            metrics.increment(SidecarMetrics.Event.IN);
        }
        return registered;
    }

    int inFlightCount() {
        return commandsById.size();
    }

    /**
     * A try is over, once; what still comes for it is passed over. A served one answers the req.
     */
    void onTryEnded(UpstreamTry upstreamTry, TryOutcome outcome, ByteBuf response) {
        if (upstreamTry.hasEnded()) {
            if (response != null) {
                response.release();
            }
            return;
        }
        upstreamTry.outcome = outcome;
        metrics.recordTryOutcome(outcome);
        if (upstreamTry.timeoutTask != null) {
            upstreamTry.timeoutTask.cancel(false);
        }
        long nowNs = clock.nowNs();
        if (response != null) {
            respond(upstreamTry.command, response, SidecarMetrics.Event.COMPLETED);
        }
        boolean outcomeDecided = upstreamTry.command.outcomeDecided;
        policy.onTryEnded(
                nowNs,
                upstreamTry.command.statement.id,
                upstreamTry.tryNo,
                outcome,
                nowNs - upstreamTry.startedNs,
                outcomeDecided);
        releaseIfFinished(upstreamTry.command);
    }

    /** The first answer goes to the client, any other nowhere. */
    void respond(PendingCommand command, ByteBuf response, SidecarMetrics.Event event) {
        if (command.outcomeDecided) {
            response.release();
            return;
        }
        command.outcomeDecided = true;
        command.response = response;
        metrics.recordOutcome(command, event);
        command.client.flushResponses();
        releaseIfFinished(command);
    }

    void onClientDisconnected(PendingCommand command) {
        if (!command.outcomeDecided) {
            command.outcomeDecided = true;
            metrics.recordOutcome(command, SidecarMetrics.Event.GONE);
            policy.onClientDisconnected(clock.nowNs(), command.statement.id);
        }
        releaseIfFinished(command);
    }

    private void releaseIfFinished(PendingCommand command) {
        if (command.outcomeDecided
                && !command.hasTriesInFlight()
                && commandsById.remove(command.statement.id, command)) {
            command.client.releaseMemory(command);
            command.statement.text.release();
        }
    }
}
