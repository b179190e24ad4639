package mulleinlever.sidecar;

import mulleinlever.MemoryBudget;
import mulleinlever.MemoryLimits;

/**
 * The memory of all messages that the sidecar holds.
 *
 * @param requests the memory of messages of clients
 * @param responses the memory of messages of pods, and of responses that clients haven't taken
 * @param maxAdmissionWaitNs how long a client's message waits for memory before it is shed
 */
record MessageMemory(
        MessageMemoryLimiter requests, MessageMemoryLimiter responses, long maxAdmissionWaitNs) {
    static MessageMemory of(MemoryLimits limits) {
        return new MessageMemory(
                new MessageMemoryLimiter(new MemoryBudget(limits.requestBytes())),
                new MessageMemoryLimiter(new MemoryBudget(limits.responseBytes())),
                limits.maxAdmissionWaitNs());
    }
}
