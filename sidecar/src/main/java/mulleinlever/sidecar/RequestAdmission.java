package mulleinlever.sidecar;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Admits the messages of one client connection: reserves the memory of each before it is received,
 * and bounds the time for which one waits for memory. Called by the event loop only.
 */
final class RequestAdmission {
    /**
     * The memory that a message takes besides its text: unused capacity of the buffer it was read
     * into, its tries, and its state in the policy.
     */
    private static final int MESSAGE_OVERHEAD_BYTES = 2048;

    /** How the admission of a message has ended, or goes on. */
    enum Result {
        /** The memory of the message is reserved. */
        ADMITTED,
        /** The message waits for memory. */
        WAITING,
        /** There is no memory for the message, and no time to wait for it. */
        REJECTED
    }

    private final MessageReservation reservation;
    private final EventLoop eventLoop;
    private final long maxWaitNs;
    private final Clock clock;
    private final Runnable onWaitTooLong;

    /** The task that ends the wait for memory; null while there is none. */
    private Future<?> waitTimeoutTask;

    private long waitStartNs;

    /** How long the current message waited for memory. */
    private long waitedNs;

    /**
     * @param onReserved called when memory that was waited for has been reserved; it must not
     *     handle messages within the call
     * @param onWaitTooLong called when a message has waited for memory for too long; the wait has
     *     ended
     */
    RequestAdmission(
            MessageMemory memory,
            EventLoop eventLoop,
            Clock clock,
            Runnable onReserved,
            Runnable onWaitTooLong) {
        this.reservation = new MessageReservation(memory.requests(), onReserved);
        this.eventLoop = eventLoop;
        this.maxWaitNs = memory.limits().maxAdmissionWaitNs();
        this.clock = clock;
        this.onWaitTooLong = onWaitTooLong;
    }

    /**
     * Reserves memory for a message, unless that was done before or is being waited for.
     *
     * @param unseenNs for how long the end of the connection may have gone unseen, which is taken
     *     off the time to wait
     */
    Result admit(int messageBytes, long unseenNs) {
        int pooledBytes = NettyTransport.pooledBytes(messageBytes);
        if (reservation.reserve(pooledBytes + MESSAGE_OVERHEAD_BYTES)) {
            endWait();
            return Result.ADMITTED;
        }
        if (waitTimeoutTask != null) {
            return Result.WAITING;
        }
        if (unseenNs >= maxWaitNs) {
            reservation.release();
            return Result.REJECTED;
        }
        waitStartNs = clock.nowNs();
        waitTimeoutTask =
                eventLoop.schedule(this::waitTimedOut, maxWaitNs - unseenNs, TimeUnit.NANOSECONDS);
        return Result.WAITING;
    }

    private void endWait() {
        if (waitTimeoutTask != null) {
            waitedNs = clock.nowNs() - waitStartNs;
            cancelWaitTimeout();
        }
    }

    private void cancelWaitTimeout() {
        if (waitTimeoutTask != null) {
            waitTimeoutTask.cancel(false);
            waitTimeoutTask = null;
        }
    }

    private void waitTimedOut() {
        waitTimeoutTask = null;
        if (reservation.isWaiting()) {
            reservation.release();
            onWaitTooLong.run();
        }
    }

    boolean isWaiting() {
        return reservation.isWaiting();
    }

    /** Returns how long the current message waited for memory, in nanoseconds. */
    long waitedNs() {
        return waitedNs;
    }

    /** Returns the memory reserved for the current message, which passes to the caller. */
    int takeReservation() {
        return reservation.take();
    }

    /** Ends the admission of the current message, and releases memory that was not taken. */
    void release() {
        cancelWaitTimeout();
        reservation.release();
        waitedNs = 0;
    }
}
