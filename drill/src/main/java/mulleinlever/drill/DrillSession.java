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
 * The bench's wire: what is read becomes calls on the sidecars' policies, their answers become
 * messages.
 */
public final class DrillSession {
    private static final RolloutStatus.Phase[] PHASES = RolloutStatus.Phase.values();

    private final BufferedReader in;
    private final PrintStream out;
    private final StringBuilder reply = new StringBuilder();
    private final Map<String, Policy> running = new HashMap<>();
    private final Map<Long, List<PodEntry>> lists = new HashMap<>();
    private long lineNo;
    private long now;
    private String speaker;
    private String about;

    public DrillSession(InputStream in, PrintStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /** Serves batches until the input ends between two of them. */
    public void run() throws IOException {
        for (WireLine l = next(); l != null; l = next()) {
            if (l.messageType.isEmpty()) {
                continue;
            }
            if (!l.messageType.equals("TICK")) {
                throw new DrillInputException(
                        l.lineNumber, "expected TICK, found " + l.messageType);
            }
            now = l.getLong("timeNs");
            String frame = l.getString("frame");
            about = null;
            speaker = null;
            reply.setLength(0);
            for (l = inBatch(); !l.messageType.equals("END"); l = inBatch()) {
                event(l);
            }
            reply.append("EOR\tframe=").append(frame).append('\n');
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    /** The answers of one sidecar go under its name. */
    StringBuilder outputFor(String sidecar) {
        if (!sidecar.equals(speaker)) {
            reply.append("AT\tsidecarId=").append(sidecar).append('\n');
            speaker = sidecar;
        }
        return reply;
    }

    private WireLine next() throws IOException {
        String text = in.readLine();
        lineNo++;
        return text == null ? null : new WireLine(lineNo, text);
    }

    private WireLine inBatch() throws IOException {
        WireLine l = next();
        if (l == null) {
            throw new DrillInputException(lineNo, "expected END, found the end of the input");
        }
        return l;
    }

    private void event(WireLine l) throws IOException {
        switch (l.messageType) {
            case "ABOUT" -> about = l.getString("sidecarId");
            case "DEFINE_LIST" -> define(l);
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
                if (about == null) {
                    throw l.lineError("needs an ABOUT line before it");
                }
                decide(l);
            }
            default ->
                    throw new DrillInputException(
                            l.lineNumber, "no such message: " + l.messageType);
        }
    }

    private void decide(WireLine l) {
        try {
            if (l.messageType.equals("POWER_ON")) {
                WirePolicyActions host = new WirePolicyActions(this, about);
                running.put(
                        about, new Policy(SettingsReader.read(l), l.getLong("prng"), now, host));
                return;
            }
            Policy policy = running.get(about);
            if (policy == null) {
                throw l.lineError("needs a sidecar that was started: " + about);
            }
            call(policy, l);
        } catch (DrillInputException e) {
            throw e;
        } catch (RuntimeException e) {
            StackTraceElement[] at = e.getStackTrace();
            String text = WirePolicyActions.toSingleLine(e + (at.length > 0 ? " at " + at[0] : ""));
            outputFor(about).append("BROKEN\tnoteText=").append(text).append('\n');
        }
    }

    private void call(Policy policy, WireLine l) {
        switch (l.messageType) {
            case "BACKENDS_CHANGED" -> list(policy, l);
            case "NEW_REQUEST" ->
                    policy.onReq(
                            now,
                            new Req(
                                    l.getString("ticket"),
                                    l.getString("cls"),
                                    l.getBoolean("repeat", false),
                                    l.getBoolean("isWrite", false),
                                    l.getLong("expiresInNs"),
                                    l.getLong("workNs", 0),
                                    l.getLong("item", -1),
                                    tenant(l)));
            case "HEAD_RECEIVED" -> policy.onStreamStarted(now, l.getString("ticket"));
            case "PROMOTION" -> news(policy, l);
            case "CLIENT_GONE" -> policy.onClientDisconnected(now, l.getString("ticket"));
            // The module asks for no probes and no peers' messages.
            case "ECHO", "PEER_DATA" -> {}
            case "PLATFORM_SAW" ->
                    policy.onPlatformTally(
                            now,
                            l.getString("cls"),
                            l.getInt("buildNo"),
                            l.getDouble("n", 0),
                            l.getDouble("failed", 0),
                            l.getLong("rttNs", 0),
                            l.getLong("ageNs", 0));
            case "ELAPSED" -> policy.onTimer(now, l.getString("nonce"));
            case "DETACH" -> running.remove(about);
            case "DISPUTED" -> policy.onComplaint(now, l.getString("pod"), l.getString("cls"));
            default ->
                    policy.onTryEnded(
                            now,
                            l.getString("ticket"),
                            l.getInt("sendNo"),
                            l.getEnum("ending", TryOutcome.class),
                            l.getLong("rttNs", 0),
                            l.getBoolean("complete", false));
        }
    }

    private void define(WireLine head) throws IOException {
        int n = head.getInt("members");
        List<PodEntry> entries = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            WireLine l = inBatch();
            if (!l.messageType.equals("M")) {
                throw new DrillInputException(
                        l.lineNumber,
                        "expected entry " + (i + 1) + " of " + n + ", found " + l.messageType);
            }
            entries.add(
                    new PodEntry(
                            l.getString("pod"),
                            l.getString("locality", ""),
                            l.getString("model", ""),
                            (int) l.getLong("stripe", 0),
                            (int) l.getDouble("edition", 0),
                            l.getEnum("state", PodEntry.State.class),
                            l.getDouble("capacityHint", 1),
                            l.getLong("readyAtNs", 0)));
        }
        lists.put(head.getLong("ref"), entries);
    }

    private void list(Policy policy, WireLine l) {
        String how = l.getString("how");
        if (how.equals("failed")) {
            policy.onPodListWatchFailed(now);
            return;
        }
        List<PodEntry> entries = lists.get(l.getLong("ref"));
        if (entries == null) {
            throw l.lineError("needs a list that was defined: " + l.getString("ref"));
        }
        switch (how) {
            case "delta" -> policy.onPodListUpdated(now, entries);
            case "full", "cached" -> policy.onPodListReplaced(now, entries);
            default -> throw l.lineError("needs delta, full, cached or failed in how");
        }
    }

    private void news(Policy policy, WireLine l) {
        boolean ok = l.getString("ending", "ok").equals("ok");
        if (l.getLong("how", 0) == 1) {
            policy.onVoteAnswered(now, ok);
        }
        if (ok) {
            int phase = l.getInt("whereAt");
            if (phase < 0 || phase >= PHASES.length) {
                throw l.lineError("needs 0 to 3 in whereAt");
            }
            policy.onRolloutStatus(
                    now,
                    new RolloutStatus(
                            l.getInt("buildNo"),
                            l.getInt("step"),
                            PHASES[phase],
                            l.getDouble("exposure", 0),
                            l.getLong("ageNs", 0)));
        }
    }

    private static String tenant(WireLine l) {
        String name = l.getString("owner", "0");
        return name.equals("0") ? null : name;
    }
}
