package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayDeque;

/**
 * The commands of one client connection that have no written response yet. Writes the responses in
 * the order of the commands. Called by the event loop only.
 */
final class ResponseQueue {
    private final Channel channel;
    private final MessageMemoryLimiter memory;
    private final Clock clock;
    private final Runnable onSent;

    /** The commands without a written response, in the order of their arrival. */
    private final ArrayDeque<PendingCommand> commands = new ArrayDeque<>();

    /** The last command, if it stands for commands in a row that were shed; else null. */
    private PendingCommand shedRun;

    /** The size of the responses that were written but not yet taken by the network. */
    private int unsentBytes;

    /** When the network last took a response, or the first one was written that it hasn't taken. */
    private long unsentSinceNs;

    /**
     * @param memory the memory of responses
     * @param onSent called when the network has taken a response
     */
    ResponseQueue(Channel channel, MessageMemoryLimiter memory, Clock clock, Runnable onSent) {
        this.channel = channel;
        this.memory = memory;
        this.clock = clock;
        this.onSent = onSent;
    }

    /** Adds a command behind those that were received before. */
    void add(PendingCommand command) {
        commands.add(command);
        shedRun = null;
    }

    /** Adds a command that was shed. Any number of these in a row takes the memory of one. */
    void addShed(ClientConnection client) {
        if (shedRun != null) {
            shedRun.repeatCount++;
            return;
        }
        PendingCommand command = new PendingCommand(client, null);
        command.response = PostgresMessages.shedResponse();
        add(command);
        shedRun = command;
    }

    boolean isEmpty() {
        return commands.isEmpty();
    }

    int size() {
        return commands.size();
    }

    /** Returns whether the network hasn't taken all responses that were written. */
    boolean hasUnsentResponses() {
        return unsentBytes > 0;
    }

    /** Returns since when the network has taken no response that was written. */
    long unsentSinceNs() {
        return unsentSinceNs;
    }

    /**
     * Writes the responses that are available, up to the first command without one. Of those to
     * shed commands in a row no more are written than the channel takes. The caller flushes the
     * channel.
     *
     * @return whether any was written
     */
    boolean writeAvailable() {
        boolean anyWritten = false;
        while (!commands.isEmpty() && commands.peek().response != null) {
            anyWritten |= writeRepeats(commands.peek());
            if (commands.peek().repeatCount > 1) {
                return anyWritten;
            }
            PendingCommand first = commands.poll();
            shedRun = first == shedRun ? null : shedRun;
            write(first.response);
            anyWritten = true;
        }
        return anyWritten;
    }

    /**
     * Writes all but the last of the responses to commands in a row, while the channel is writable.
     */
    private boolean writeRepeats(PendingCommand command) {
        boolean anyWritten = false;
        while (command.repeatCount > 1 && channel.isWritable()) {
            command.repeatCount--;
            write(command.response.retainedDuplicate());
            anyWritten = true;
        }
        return anyWritten;
    }

    private void write(ByteBuf response) {
        int responseBytes = response.readableBytes();
        // The memory of a pod's response is reserved with the buffer.
        int reservedBytes = response instanceof ReservedBuffer ? 0 : responseBytes;
        memory.reserve(reservedBytes);
        unsentSinceNs = unsentBytes == 0 ? clock.nowNs() : unsentSinceNs;
        unsentBytes += responseBytes;
        channel.write(response).addListener(future -> sent(responseBytes, reservedBytes));
    }

    private void sent(int responseBytes, int reservedBytes) {
        unsentBytes -= responseBytes;
        unsentSinceNs = clock.nowNs();
        memory.release(reservedBytes);
        onSent.run();
    }

    /**
     * Removes all commands after the client has disconnected: releases responses that weren't
     * written, and ends the reqs.
     */
    void clear(ReqRegistry reqRegistry) {
        for (PendingCommand command : commands) {
            if (command.response != null) {
                command.response.release();
            }
            if (command.statement != null) {
                reqRegistry.onClientDisconnected(command);
            }
        }
        commands.clear();
    }
}
