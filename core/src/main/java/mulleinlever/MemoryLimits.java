package mulleinlever;

/**
 * The limits on the memory of messages, by what the process may use.
 *
 * @param requestBytes the budget for messages of clients, in bytes
 * @param responseBytes the budget for messages of pods and unread responses, in bytes
 * @param readAheadBytes the budget for what clients send before their earlier commands have their
 *     responses, in bytes
 * @param executionHistoryBytes the budget for what is remembered of ended reqs, in bytes of the
 *     heap
 * @param rememberedKeys the number of one-way keys that are remembered
 * @param maxAdmissionWaitNs how long a client's message waits for memory before it is shed
 */
public record MemoryLimits(
        long requestBytes,
        long responseBytes,
        long readAheadBytes,
        long executionHistoryBytes,
        int rememberedKeys,
        long maxAdmissionWaitNs) {
    /** The share of the process's memory that network buffers may take. */
    private static final double NETWORK_SHARE = 0.2;

    /** The share of the network buffers for messages of clients. */
    private static final double REQUEST_SHARE = 0.45;

    /** The share of the network buffers for what clients send ahead. */
    private static final double READ_AHEAD_SHARE = 0.08;

    /**
     * The share of the network buffers for messages of pods. The rest beside these is for
     * connections without a message, discovery, the platform, and fragmentation.
     */
    private static final double RESPONSE_SHARE = 0.25;

    /**
     * The share of the latency objective that a message may wait. A req may wait as long in the
     * queue of the {@link Policy}.
     */
    private static final double ADMISSION_WAIT_SHARE = 0.35;

    /**
     * The maximum wait, whatever the objective. A client that disconnects meanwhile is noticed only
     * afterwards, and no try may begin later than 0.1 s after that.
     */
    private static final long MAX_ADMISSION_WAIT_NS = 80_000_000L;

    /** The memory for what is remembered of ended reqs, as a share of the network buffers. */
    private static final double EXECUTION_HISTORY_SHARE = 0.25;

    /** The maximum share of the heap for what is remembered of ended reqs. */
    private static final double EXECUTION_HISTORY_HEAP_SHARE = 0.15;

    /** The memory for one-way keys, as a share of the network buffers as well. */
    private static final double REMEMBERED_KEYS_SHARE = 0.2;

    /** The memory that one remembered key takes, in bytes. */
    private static final int REMEMBERED_KEY_BYTES = 128;

    /** The share of the budget for what is sent ahead that one connection may use. */
    private static final double CONNECTION_READ_AHEAD_SHARE = 0.25;

    /** Returns how much of what one client sends ahead is held, in bytes. */
    public long connectionReadAheadBytes() {
        return (long) (CONNECTION_READ_AHEAD_SHARE * readAheadBytes);
    }

    /**
     * Returns the limits of a process.
     *
     * @param maxDirectBytes the maximum memory outside the heap, in bytes
     * @param maxHeapBytes the maximum memory of the heap, in bytes
     * @param maxProcessBytes the maximum memory of the process in bytes; 0 if it is not known
     */
    public static MemoryLimits of(
            long maxDirectBytes, long maxHeapBytes, long maxProcessBytes, Settings settings) {
        double networkBytes =
                maxProcessBytes > 0
                        ? Math.min(maxDirectBytes, NETWORK_SHARE * maxProcessBytes)
                        : maxDirectBytes;
        // The route of a message is known only when it has been received.
        long minObjectiveNs =
                settings.routes().stream()
                        .mapToLong(Settings.RouteSettings::latencyObjectiveNs)
                        .min()
                        .orElse(0);
        return new MemoryLimits(
                (long) (REQUEST_SHARE * networkBytes),
                (long) (RESPONSE_SHARE * networkBytes),
                (long) (READ_AHEAD_SHARE * networkBytes),
                (long)
                        Math.min(
                                EXECUTION_HISTORY_SHARE * networkBytes,
                                EXECUTION_HISTORY_HEAP_SHARE * maxHeapBytes),
                (int) (REMEMBERED_KEYS_SHARE * networkBytes / REMEMBERED_KEY_BYTES),
                Math.min(MAX_ADMISSION_WAIT_NS, (long) (ADMISSION_WAIT_SHARE * minObjectiveNs)));
    }
}
