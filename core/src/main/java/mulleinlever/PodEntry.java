package mulleinlever;

/**
 * An entry of the pod list.
 *
 * @param kind the machine type
 * @param cell the number of its cell, one of the scopes in which pods drop repeated reqs
 * @param weight its capacity relative to other pods
 * @param startedNs when it started; 0 if that was long ago
 */
public record PodEntry(
        String id,
        String zone,
        String kind,
        int cell,
        int build,
        State state,
        double weight,
        long startedNs) {
    /** The state of a pod on the list. The names are stored. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** Returns a copy with the state {@link State#GONE}. */
    PodEntry withStateGone() {
        return new PodEntry(id, zone, kind, cell, build, State.GONE, weight, startedNs);
    }
}
