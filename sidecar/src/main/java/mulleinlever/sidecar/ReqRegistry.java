package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mulleinlever.Policy;
import mulleinlever.TryOutcome;

/**
 * The reqs in flight. Records how each try ended and reports it to the policy, passes at most one
 * response of a req to its {@link ClientConnection}, and releases a req once it has its outcome and
 * none of its tries is in flight. Called by the event loop only.
 */
final class ReqRegistry {
    private final NettyTransport transport;
    private final Clock clock;
    private final Map<String, PendingCommand> commandsById = new HashMap<>();

    /** The reqs that wait until an abandoned one with the same id has been released. */
    private final Map<String, Successor> successorsById = new HashMap<>();

    private final SidecarMetrics metrics;
    private Policy policy;

    ReqRegistry(NettyTransport transport, Clock clock, SidecarMetrics metrics) {
        this.transport = transport;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** A req that waits for its id, and who is to be told of the end of the wait. */
    private record Successor(PendingCommand command, WaitListener listener) {}

    /** Is told how the wait of a req for its id has ended. */
    interface WaitListener {
        /** Called when the req has been registered. */
        void onRegistered(PendingCommand command);

        /** Called when the earlier req with the id got its response, so that the id was in use. */
        void onIdInUse(PendingCommand command);
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
        String id = command.statement.id;
        command.receivedNs = clock.nowNs();
        if (commandsById.containsKey(id) || successorsById.containsKey(id)) {
            return false;
        }
        enter(command);
        return true;
    }

    /**
     * Lets a req wait until the earlier one with its id has been released because its client has
     * disconnected. Returns false if another req waits for that already.
     */
    boolean awaitId(PendingCommand command, WaitListener listener) {
        return successorsById.putIfAbsent(command.statement.id, new Successor(command, listener))
                == null;
    }

    /** Returns whether a req waits for its id, and the earlier one with it has no outcome yet. */
    boolean waitsForOpenReq(PendingCommand command) {
        PendingCommand earlier = commandsById.get(command.statement.id);
        return isWaiting(command) && earlier != null && !earlier.outcomeDecided;
    }

    private boolean isWaiting(PendingCommand command) {
        Successor successor = successorsById.get(command.statement.id);
        return successor != null && successor.command() == command;
    }

    private void enter(PendingCommand command) {
        commandsById.put(command.statement.id, command);
        metrics.increment(SidecarMetrics.Event.IN);
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
        rejectSuccessor(command);
        metrics.recordOutcome(command, event);
        command.client.flushResponses();
        releaseIfFinished(command);
    }

    /**
     * Records that the client of a req has disconnected, which decides the outcome if it wasn't
     * yet.
     */
    void onClientDisconnected(PendingCommand command) {
        if (commandsById.get(command.statement.id) != command) {
            dropUnregistered(command);
            return;
        }
        if (!command.outcomeDecided) {
            command.outcomeDecided = true;
            metrics.recordOutcome(command, SidecarMetrics.Event.GONE);
            policy.onClientDisconnected(clock.nowNs(), command.statement.id);
        }
        releaseIfFinished(command);
    }

    /** Records that a connection has closed, after the disconnect of the client of each req. */
    void onClientConnectionClosed(ClientConnection client) {
        policy.onClientConnectionClosed(client.id());
    }

    /** Releases a req that was not registered, whose client has disconnected. */
    private void dropUnregistered(PendingCommand command) {
        removeSuccessor(command);
        if (!command.outcomeDecided) {
            command.outcomeDecided = true;
            command.statement.text.release();
        }
    }

    /** Ends all waits of reqs for their ids. */
    void endWaitsForIds() {
        List<Successor> waiting = List.copyOf(successorsById.values());
        waiting.forEach(successor -> successor.listener().onIdInUse(successor.command()));
    }

    /** Ends the wait for the id of a req that has got its response. */
    private void rejectSuccessor(PendingCommand answered) {
        Successor successor = successorsById.remove(answered.statement.id);
        if (successor != null) {
            transport.execute(() -> successor.listener().onIdInUse(successor.command()));
        }
    }

    /** Removes a req that waits for its id. Returns false if it doesn't wait. */
    private boolean removeSuccessor(PendingCommand command) {
        boolean waiting = isWaiting(command);
        if (waiting) {
            successorsById.remove(command.statement.id);
        }
        return waiting;
    }

    /**
     * Removes a req that has its outcome and no tries in flight, and releases its memory. A req
     * that waits for its id is registered then.
     */
    private void releaseIfFinished(PendingCommand command) {
        if (command.outcomeDecided
                && !command.hasTriesInFlight()
                && commandsById.remove(command.statement.id, command)) {
            command.statement.text.release();
            if (successorsById.containsKey(command.statement.id)) {
                // The policy may be running, and must not be called again within that.
                transport.execute(() -> enterSuccessor(command.statement.id));
            }
        }
    }

    private void enterSuccessor(String id) {
        Successor successor = successorsById.remove(id);
        if (successor != null) {
            enter(successor.command());
            successor.listener().onRegistered(successor.command());
        }
    }

    /**
     * Responds to a req that was not registered. Has no effect if it was registered meanwhile or
     * its client has disconnected.
     */
    void respondUnregistered(PendingCommand command, ByteBuf response) {
        removeSuccessor(command);
        if (command.outcomeDecided || commandsById.get(command.statement.id) == command) {
            response.release();
            return;
        }
        command.outcomeDecided = true;
        command.response = response;
        command.statement.text.release();
        command.client.flushResponses();
    }
}
