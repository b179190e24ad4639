package mulleinlever;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the reqs that have ended and may have run at a pod, by hashes of their ids. A client
 * whose connection has ended may send its req once more under the same id; that must not run again
 * where its first run is not recognised.
 *
 * <p>What is remembered is never dropped early. Instead a req takes a place before its first try,
 * and is not sent where there is none. The last part of the places is kept for clients that hold
 * few of them. Used on the event loop.
 */
final class ExecutionHistory {
    /**
     * The memory of one entry in bytes, whatever the length of the req's id: the entry with its
     * try, its key, and its node and its part of the table in the map.
     */
    static final int ENTRY_BYTES = 136;

    /** The share of the places that any client may take. */
    private static final double COMMON_SHARE = 0.75;

    /**
     * The share of the places up to which a client that holds none may take one. The rest is for
     * clients that hold some: those that connect anew for each req never do.
     */
    private static final double NEW_CLIENT_SHARE = 0.875;

    /**
     * The place of a req.
     *
     * @param earlierTry the first try that may have run of an earlier req with the same id; null if
     *     none did
     */
    record Place(long idHash, long clientId, Try earlierTry) {}

    /** The first try that may have run of a req that has ended. */
    private record Execution(long clientId, Try firstTry, long expiresNs) {}

    private final long retentionNs;
    private final SipHash idHash;
    private int maxPlaces = Integer.MAX_VALUE;

    /** The number of places that are held by reqs that have not ended. */
    private int openPlaceCount;

    /** By the hashes of the reqs' ids, in the order in which the reqs ended. */
    private final Map<Long, Execution> executionsByIdHash = new LinkedHashMap<>();

    /** The number of places of each client that holds any and has not disconnected. */
    private final Map<Long, Integer> placeCountsByClient = new HashMap<>();

    /**
     * Creates an empty history.
     *
     * @param retentionNs how long a req is remembered after its end
     * @param seed the seed of the key with which ids are hashed
     */
    ExecutionHistory(long retentionNs, long seed) {
        this.retentionNs = retentionNs;
        this.idHash = SipHash.ofSeed(seed);
    }

    /**
     * Returns the history for reqs of these routes. It lasts for the longest time for which a
     * client waits, and for the longest dedup window after that.
     */
    static ExecutionHistory of(Settings settings, long seed) {
        long longestWindowNs =
                settings.routes().stream()
                        .mapToLong(Settings.RouteSettings::dedupWindowNs)
                        .max()
                        .orElse(0);
        return new ExecutionHistory(settings.longestTimeoutNs() + longestWindowNs, seed);
    }

    /** Returns whether reqs of a route need a place: a repeat of them may do harm. */
    static boolean needsPlace(Settings.RouteSettings route) {
        return route.retrySafety() != Settings.RetrySafety.IDEMPOTENT;
    }

    /** Sets the memory that all places together may take, in bytes. */
    void limitMemory(long maxBytes) {
        maxPlaces = (int) Math.max(1, Math.min(maxBytes / ENTRY_BYTES, Integer.MAX_VALUE));
    }

    /**
     * Takes a place for an arriving req: that of an earlier req with the same id, or else a new
     * one. Returns null if there is none, in which case the req must not be sent.
     */
    Place take(long nowNs, Req req) {
        Place earlier = takeEarlier(nowNs, req);
        if (earlier != null) {
            return earlier;
        }
        if (!hasPlaceFor(req.clientId())) {
            return null;
        }
        openPlaceCount++;
        placeCountsByClient.merge(req.clientId(), 1, Integer::sum);
        return new Place(hash(req.id()), req.clientId(), null);
    }

    /**
     * Takes the place of an earlier req with the same id that may have run. Returns null if none
     * did.
     */
    Place takeEarlier(long nowNs, Req req) {
        removeExpired(nowNs);
        long key = hash(req.id());
        Execution execution = executionsByIdHash.remove(key);
        if (execution == null) {
            return null;
        }
        openPlaceCount++;
        return new Place(key, execution.clientId(), execution.firstTry());
    }

    private boolean hasPlaceFor(long clientId) {
        int usedPlaces = openPlaceCount + executionsByIdHash.size();
        // One more than those that hold places, so that there is room for a new one.
        int evenShare = maxPlaces / (placeCountsByClient.size() + 1);
        int heldPlaces = placeCountsByClient.getOrDefault(clientId, 0);
        double shareForClient = heldPlaces == 0 ? NEW_CLIENT_SHARE : 1;
        return usedPlaces < COMMON_SHARE * maxPlaces
                || heldPlaces < evenShare && usedPlaces < shareForClient * maxPlaces;
    }

    /**
     * Records that a req with a place has ended. Its place is free at once unless a try of it may
     * have run, else after some time.
     */
    void recordEnded(long nowNs, ReqState reqState) {
        openPlaceCount--;
        Place place = reqState.place;
        Try firstTry = reqState.firstTryThatMayHaveRun();
        if (firstTry == null) {
            removeFromClient(place.clientId());
            return;
        }
        Execution replaced = executionsByIdHash.remove(place.idHash());
        if (replaced != null) {
            removeFromClient(replaced.clientId());
        }
        executionsByIdHash.put(
                place.idHash(), new Execution(place.clientId(), firstTry, nowNs + retentionNs));
    }

    private void removeExpired(long nowNs) {
        for (Iterator<Execution> oldestFirst = executionsByIdHash.values().iterator();
                oldestFirst.hasNext(); ) {
            Execution oldest = oldestFirst.next();
            if (oldest.expiresNs() > nowNs) {
                return;
            }
            oldestFirst.remove();
            removeFromClient(oldest.clientId());
        }
    }

    private void removeFromClient(long clientId) {
        placeCountsByClient.computeIfPresent(clientId, (id, count) -> count > 1 ? count - 1 : null);
    }

    /** Records that a client's connection has closed: its places count as those of no client. */
    void recordConnectionClosed(long clientId) {
        placeCountsByClient.remove(clientId);
    }

    private long hash(String reqId) {
        return idHash.hash(reqId);
    }

    /** Returns the number of reqs that are remembered. */
    int size() {
        return executionsByIdHash.size();
    }
}
