package mulleinlever.sidecar;

import mulleinlever.MemoryBudget;
import mulleinlever.MemoryLimits;

/**
 * The memory of all messages that the sidecar holds.
 *
 * @param requests the memory of messages of clients
 * @param responses the memory of messages of pods, and of responses that clients haven't taken
 * @param readAhead the memory of what clients send before their earlier commands have their
 *     responses
 * @param limits the limits on the memory of messages
 */
record MessageMemory(
        MessageMemoryLimiter requests,
        MessageMemoryLimiter responses,
        MemoryBudget readAhead,
        MemoryLimits limits) {
    static MessageMemory of(MemoryLimits limits) {
        return new MessageMemory(
                new MessageMemoryLimiter(new MemoryBudget(limits.requestBytes())),
                new MessageMemoryLimiter(new MemoryBudget(limits.responseBytes())),
                new MemoryBudget(limits.readAheadBytes()),
                limits);
    }
}
