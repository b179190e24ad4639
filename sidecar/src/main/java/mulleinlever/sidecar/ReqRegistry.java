package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.Map;
import mulleinlever.Policy;
import mulleinlever.TryOutcome;

/**
 * The reqs in flight. Records how each try ended and reports it to the policy, passes at most one
 * response of a req to its {@link ClientConnection}, and releases a req once it has its outcome and
 * none of its tries is in flight. Called by the event loop only.
 */
final class ReqRegistry {
    private final Clock clock;
    private final Map<String, PendingCommand> commandsById = new HashMap<>();
    private final SidecarMetrics metrics;
    private Policy policy;

    ReqRegistry(Clock clock, SidecarMetrics metrics) {
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Sets the policy; called once, before the first req. */
    void setPolicy(Policy policy) {
        this.policy = policy;
    }

    /** Returns the req in flight with the given id, or null if there is none. */
    PendingCommand find(String id) {
        return commandsById.get(id);
    }

    /**
     * Registers a req and records when it was received. Returns false, without registering it, if a
     * req with the same id is in flight.
     */
    boolean register(PendingCommand command) {
        boolean registered = commandsById.putIfAbsent(command.statement.id, command) == null;
        if (registered) {
            command.receivedNs = clock.nowNs();
            metrics.increment(SidecarMetrics.Event.IN);
        }
        return registered;
    }

    /** Returns the number of reqs without an outcome or with tries in flight. */
    int inFlightCount() {
        return commandsById.size();
    }

    /**
     * Records that a try has ended, and reports it to the policy. Only the first call for a try has
     * an effect.
     *
     * @param response the pod's response, with which the req completes, or null if the try returned
     *     none; ownership passes to this method
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
                upstreamTry.tryNumber,
                outcome,
                nowNs - upstreamTry.startedNs,
                outcomeDecided);
        releaseIfFinished(upstreamTry.command);
    }

    /**
     * Sends the response of a req to its client, and counts the given event. If the outcome of the
     * req is decided already, the response is released without effect.
     */
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

    /**
     * Records that the client of a req has disconnected, which decides the outcome if it wasn't
     * yet.
     */
    void onClientDisconnected(PendingCommand command) {
        if (!command.outcomeDecided) {
            command.outcomeDecided = true;
            metrics.recordOutcome(command, SidecarMetrics.Event.GONE);
            policy.onClientDisconnected(clock.nowNs(), command.statement.id);
        }
        releaseIfFinished(command);
    }

    /** Removes a req that has its outcome and no tries in flight, and releases its memory. */
    private void releaseIfFinished(PendingCommand command) {
        if (command.outcomeDecided
                && !command.hasTriesInFlight()
                && commandsById.remove(command.statement.id, command)) {
            command.statement.text.release();
        }
    }
}
