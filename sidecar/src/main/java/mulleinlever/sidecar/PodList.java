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
record PodList(long version, boolean whole, List<PodEntry> entries, Map<String, String> addresses) {
    /** Before any list was told: discovery is asked for all of it. */
    static final PodList NONE = new PodList(0, true, List.of(), Map.of());

    static PodList read(JsonFieldReader from) {
        List<PodEntry> entries = new ArrayList<>();
        Map<String, String> addresses = new LinkedHashMap<>();
        for (JsonFieldReader pod : from.all("instances")) {
            String id = pod.text("instanceId");
            PodEntry.State state = pod.word("lifecycle", PodEntry.State.class);
            entries.add(
                    new PodEntry(
                            id,
                            pod.text("zone", ""),
                            pod.text("machineType", ""),
                            (int) pod.whole("cell", 0),
                            (int) pod.whole("build", 0),
                            state,
                            pod.number("weight", 1),
                            Clock.ofUnixMs(pod.whole("startedAtMs", 0))));
            if (state != PodEntry.State.GONE || pod.has("hostPort")) {
                addresses.put(id, pod.text("hostPort"));
            }
        }
        return new PodList(from.whole("generation"), from.flag("reset", false), entries, addresses);
    }
}
