package mulleinlever.drill;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mulleinlever.PodEntry;
import mulleinlever.Policy;
import mulleinlever.Req;
import mulleinlever.RolloutStatus;
import mulleinlever.TryOutcome;
import mulleinlever.settings.SettingsReader;

/**
 * A session of the simulator's text protocol. It runs the {@link Policy} of any number of sidecars
 * in virtual time, without sockets: messages read become calls to the policies, and the policies'
 * actions become messages written.
 *
 * <p>Each line holds a message type and fields separated by tabs. A batch starts with TICK, which
 * carries the time, and ends with END; its replies are written together and end with EOR. An ABOUT
 * line selects the sidecar that the following messages of the batch concern; an AT line in the
 * output names the sidecar whose replies follow.
 */
public final class DrillSession {
    /** The phases of a rollout by their numbers in the protocol. */
    private static final RolloutStatus.Phase[] PHASES = RolloutStatus.Phase.values();

    private final BufferedReader in;
    private final PrintStream out;

    /** The replies to the current batch. */
    private final StringBuilder reply = new StringBuilder();

    /** The policies of the running sidecars by sidecar id. */
    private final Map<String, Policy> policies = new HashMap<>();

    /** The lists of DEFINE_LIST by their reference number. */
    private final Map<Long, List<PodEntry>> podLists = new HashMap<>();

    private long lineNumber;

    /** The virtual time of the current batch. */
    private long nowNs;

    /** The sidecar named by the last AT line written in this batch; null before the first. */
    private String replyingSidecarId;

    /** The sidecar named by the last ABOUT line read in this batch; null before the first. */
    private String currentSidecarId;

    public DrillSession(InputStream in, PrintStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /**
     * Processes batches until the end of the input.
     *
     * @throws DrillInputException if the input is invalid or ends within a batch
     */
    public void run() throws IOException {
        for (WireLine line = readLine(); line != null; line = readLine()) {
            if (line.messageType.isEmpty()) {
                continue;
            }
            if (!line.messageType.equals("TICK")) {
                throw new DrillInputException(
                        line.lineNumber, "expected TICK, found " + line.messageType);
            }
            nowNs = line.getLong("timeNs");
            String frame = line.getString("frame");
            currentSidecarId = null;
            replyingSidecarId = null;
            reply.setLength(0);
            for (line = readBatchLine(); !line.messageType.equals("END"); line = readBatchLine()) {
                handleMessage(line);
            }
            reply.append("EOR\tframe=").append(frame).append('\n');
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    /** Returns the buffer for replies of a sidecar, after an AT line if the sidecar changes. */
    StringBuilder outputFor(String sidecarId) {
        if (!sidecarId.equals(replyingSidecarId)) {
            reply.append("AT\tsidecarId=").append(sidecarId).append('\n');
            replyingSidecarId = sidecarId;
        }
        return reply;
    }

    /** Returns the next line, or null at the end of the input. */
    private WireLine readLine() throws IOException {
        String text = in.readLine();
        lineNumber++;
        return text == null ? null : new WireLine(lineNumber, text);
    }

    /** Returns the next line of a batch, which must not be the end of the input. */
    private WireLine readBatchLine() throws IOException {
        WireLine line = readLine();
        if (line == null) {
            throw new DrillInputException(lineNumber, "expected END, found the end of the input");
        }
        return line;
    }

    private void handleMessage(WireLine line) throws IOException {
        switch (line.messageType) {
            case "ABOUT" -> currentSidecarId = line.getString("sidecarId");
            case "DEFINE_LIST" -> definePodList(line);
            case "POWER_ON",
                    "BACKENDS_CHANGED",
                    "NEW_REQUEST",
                    "ECHO",
                    "HEAD_RECEIVED",
                    "PEER_DATA",
                    "PROMOTION",
                    "CLIENT_GONE",
                    "PLATFORM_SAW",
                    "ELAPSED",
                    "DETACH",
                    "DISPUTED",
                    "REPORT_BACK" -> {
                if (currentSidecarId == null) {
                    throw line.lineError("needs an ABOUT line before it");
                }
                handleSidecarMessage(line);
            }
            default ->
                    throw new DrillInputException(
                            line.lineNumber, "no such message: " + line.messageType);
        }
    }

    /**
     * Handles a message to the current sidecar. An internal error is reported to the simulator by a
     * BROKEN message, and the session continues.
     */
    private void handleSidecarMessage(WireLine line) {
        try {
            if (line.messageType.equals("POWER_ON")) {
                WirePolicyActions actions = new WirePolicyActions(this, currentSidecarId);
                policies.put(
                        currentSidecarId,
                        new Policy(
                                SettingsReader.read(line), line.getLong("prng"), nowNs, actions));
                return;
            }
            Policy policy = policies.get(currentSidecarId);
            if (policy == null) {
                throw line.lineError("names a sidecar that was not started: " + currentSidecarId);
            }
            callPolicy(policy, line);
        } catch (DrillInputException e) {
            throw e;
        } catch (RuntimeException e) {
            StackTraceElement[] stackTrace = e.getStackTrace();
            String note =
                    WirePolicyActions.toSingleLine(
                            e + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
            outputFor(currentSidecarId).append("BROKEN\tnoteText=").append(note).append('\n');
        }
    }

    private void callPolicy(Policy policy, WireLine line) {
        switch (line.messageType) {
            case "BACKENDS_CHANGED" -> updatePodList(policy, line);
            case "NEW_REQUEST" ->
                    policy.onReq(
                            nowNs,
                            new Req(
                                    line.getString("ticket"),
                                    line.getString("cls"),
                                    line.getBoolean("repeat", false),
                                    line.getBoolean("isWrite", false),
                                    line.getLong("expiresInNs"),
                                    line.getLong("workNs", 0),
                                    line.getLong("item", -1),
                                    findTenant(line),
                                    0));
            case "HEAD_RECEIVED" -> policy.onStreamStarted(nowNs, line.getString("ticket"));
            case "PROMOTION" -> updateRolloutStatus(policy, line);
            case "CLIENT_GONE" -> policy.onClientDisconnected(nowNs, line.getString("ticket"));
            // Policies neither send probes nor exchange messages with other sidecars.
            case "ECHO", "PEER_DATA" -> {}
            case "PLATFORM_SAW" ->
                    policy.onPlatformTally(
                            nowNs,
                            line.getString("cls"),
                            line.getInt("buildNo"),
                            line.getDouble("n", 0),
                            line.getDouble("failed", 0),
                            line.getLong("rttNs", 0),
                            line.getLong("ageNs", 0));
            case "ELAPSED" -> policy.onTimer(nowNs, line.getString("nonce"));
            case "DETACH" -> policies.remove(currentSidecarId);
            case "DISPUTED" ->
                    policy.onComplaint(nowNs, line.getString("pod"), line.getString("cls"));
            // REPORT_BACK
            default ->
                    policy.onTryEnded(
                            nowNs,
                            line.getString("ticket"),
                            line.getInt("sendNo"),
                            line.getEnum("ending", TryOutcome.class),
                            line.getLong("rttNs", 0),
                            line.getBoolean("complete", false));
        }
    }

    /** Reads the entries of a pod list, one M line each, and stores the list. */
    private void definePodList(WireLine header) throws IOException {
        int entryCount = header.getInt("members");
        List<PodEntry> entries = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            WireLine line = readBatchLine();
            if (!line.messageType.equals("M")) {
                throw new DrillInputException(
                        line.lineNumber,
                        "expected entry "
                                + (i + 1)
                                + " of "
                                + entryCount
                                + ", found "
                                + line.messageType);
            }
            entries.add(
                    new PodEntry(
                            line.getString("pod"),
                            line.getString("locality", ""),
                            line.getString("model", ""),
                            (int) line.getLong("stripe", 0),
                            (int) line.getDouble("edition", 0),
                            line.getEnum("state", PodEntry.State.class),
                            line.getDouble("capacityHint", 1),
                            line.getLong("readyAtNs", 0)));
        }
        podLists.put(header.getLong("ref"), entries);
    }

    private void updatePodList(Policy policy, WireLine line) {
        String kind = line.getString("how");
        if (kind.equals("failed")) {
            policy.onPodListWatchFailed(nowNs);
            return;
        }
        List<PodEntry> entries = podLists.get(line.getLong("ref"));
        if (entries == null) {
            throw line.lineError("names a list that was not defined: " + line.getString("ref"));
        }
        switch (kind) {
            case "delta" -> policy.onPodListUpdated(nowNs, entries);
            case "full", "cached" -> policy.onPodListReplaced(nowNs, entries);
            default -> throw line.lineError("needs delta, full, cached or failed in how");
        }
    }

    /**
     * Passes on a PROMOTION message: the reply to a vote if the field {@code how} is 1, and the
     * rollout status unless the platform's call failed.
     */
    private void updateRolloutStatus(Policy policy, WireLine line) {
        boolean succeeded = line.getString("ending", "ok").equals("ok");
        if (line.getLong("how", 0) == 1) {
            policy.onVoteAnswered(nowNs, succeeded);
        }
        if (succeeded) {
            int phase = line.getInt("whereAt");
            if (phase < 0 || phase >= PHASES.length) {
                throw line.lineError("needs 0 to 3 in whereAt");
            }
            policy.onRolloutStatus(
                    nowNs,
                    new RolloutStatus(
                            line.getInt("buildNo"),
                            line.getInt("step"),
                            PHASES[phase],
                            line.getDouble("exposure", 0),
                            line.getLong("ageNs", 0)));
        }
    }

    /** Returns the name of a req's tenant, or null if it has none, written as 0. */
    private static String findTenant(WireLine line) {
        String name = line.getString("owner", "0");
        return name.equals("0") ? null : name;
    }
}
