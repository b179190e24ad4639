package mulleinlever;

/**
 * The limits on the memory of messages, by what the process may use.
 *
 * @param requestBytes the budget for messages of clients, in bytes
 * @param responseBytes the budget for messages of pods and unread responses, in bytes
 * @param readAheadBytes the budget for what clients send before their earlier commands have their
 *     responses, in bytes
 * @param rememberedReqs the number of ended reqs that are remembered by their ids
 * @param rememberedKeys the number of one-way keys that are remembered
 * @param maxAdmissionWaitNs how long a client's message waits for memory before it is shed
 */
public record MemoryLimits(
        long requestBytes,
        long responseBytes,
        long readAheadBytes,
        int rememberedReqs,
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

    /** The memory outside the network buffers for the ids of ended reqs, as a share of these. */
    private static final double REMEMBERED_REQS_SHARE = 0.1;

    /** The memory that one remembered req takes, in bytes. */
    private static final int REMEMBERED_REQ_BYTES = 256;

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
     * @param maxProcessBytes the maximum memory of the process in bytes; 0 if it is not known
     */
    public static MemoryLimits of(long maxDirectBytes, long maxProcessBytes, Settings settings) {
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
                (int) (REMEMBERED_REQS_SHARE * networkBytes / REMEMBERED_REQ_BYTES),
                (int) (REMEMBERED_KEYS_SHARE * networkBytes / REMEMBERED_KEY_BYTES),
                Math.min(MAX_ADMISSION_WAIT_NS, (long) (ADMISSION_WAIT_SHARE * minObjectiveNs)));
    }
}
