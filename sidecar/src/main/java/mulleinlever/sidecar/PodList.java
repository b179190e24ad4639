package mulleinlever.sidecar;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mulleinlever.PodEntry;
import mulleinlever.settings.JsonFieldReader;

/**
 * A pod list from discovery: either all pods, or the changes since an earlier list.
 *
 * @param version the generation by which discovery numbers its lists
 * @param isFull whether the list replaces the previous one; false if it holds changes only
 * @param entries the pods, in the order of discovery
 * @param addressesByPodId the host and port at which each pod listens; a pod that is gone may be
 *     absent
 */
record PodList(
        long version,
        boolean isFull,
        List<PodEntry> entries,
        Map<String, String> addressesByPodId) {
    /** The list before any is known. A watch that starts from its version 0 receives all pods. */
    static final PodList EMPTY = new PodList(0, true, List.of(), Map.of());

    /** Parses a list in the JSON form of discovery and of the configuration. */
    static PodList fromJson(JsonFieldReader reader) {
        List<PodEntry> entries = new ArrayList<>();
        Map<String, String> addresses = new LinkedHashMap<>();
        for (JsonFieldReader pod : reader.getObjects("instances")) {
            String id = pod.getString("instanceId");
            PodEntry.State state = pod.getEnum("lifecycle", PodEntry.State.class);
            entries.add(
                    new PodEntry(
                            id,
                            pod.getString("zone", ""),
                            pod.getString("machineType", ""),
                            (int) pod.getLong("cell", 0),
                            (int) pod.getLong("build", 0),
                            state,
                            pod.getDouble("weight", 1),
                            Clock.unixMsToNs(pod.getLong("startedAtMs", 0))));
            if (state != PodEntry.State.GONE || pod.hasField("hostPort")) {
                addresses.put(id, pod.getString("hostPort"));
            }
        }
        return new PodList(
                reader.getLong("generation"),
                reader.getBoolean("reset", false),
                entries,
                addresses);
    }
}
