package mulleinlever.sidecar;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mulleinlever.PodEntry;
import mulleinlever.settings.JsonFieldReader;

/**
 * A list of pods as discovery writes it, or the changes since an earlier one, and where each pod
 * listens.
 */
record PodList(
        long version,
        boolean isFull,
        List<PodEntry> entries,
        Map<String, String> addressesByPodId) {
    /** Before any list was told: discovery is asked for all of it. */
    static final PodList EMPTY = new PodList(0, true, List.of(), Map.of());

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
