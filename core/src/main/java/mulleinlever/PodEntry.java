package mulleinlever;

/** A line of the list of pods. {@code startedNs} is 0 where the start was long ago. */
public record PodEntry(
        String id,
        String zone,
        String kind,
        int cell,
        int build,
        State state,
        double weight,
        long startedNs) {
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    PodEntry withStateGone() {
        return new PodEntry(id, zone, kind, cell, build, State.GONE, weight, startedNs);
    }
}
