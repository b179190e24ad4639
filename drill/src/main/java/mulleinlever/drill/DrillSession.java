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
            if (l.message.isEmpty()) {
                continue;
            }
            if (!l.message.equals("TICK")) {
                throw new DrillInputException(l.no, "expected TICK, found " + l.message);
            }
            now = l.whole("timeNs");
            String frame = l.text("frame");
            about = null;
            speaker = null;
            reply.setLength(0);
            for (l = inBatch(); !l.message.equals("END"); l = inBatch()) {
                event(l);
            }
            reply.append("EOR\tframe=").append(frame).append('\n');
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    /** The answers of one sidecar go under its name. */
    StringBuilder speak(String sidecar) {
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
        switch (l.message) {
            case "ABOUT" -> about = l.text("sidecarId");
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
                    throw l.bad("needs an ABOUT line before it");
                }
                decide(l);
            }
            default -> throw new DrillInputException(l.no, "no such message: " + l.message);
        }
    }

    private void decide(WireLine l) {
        try {
            if (l.message.equals("POWER_ON")) {
                WirePolicyActions host = new WirePolicyActions(this, about);
                running.put(about, new Policy(SettingsReader.read(l), l.whole("prng"), now, host));
                return;
            }
            Policy policy = running.get(about);
            if (policy == null) {
                throw l.bad("needs a sidecar that was started: " + about);
            }
            call(policy, l);
        } catch (DrillInputException e) {
            throw e;
        } catch (RuntimeException e) {
            StackTraceElement[] at = e.getStackTrace();
            String text = WirePolicyActions.oneLine(e + (at.length > 0 ? " at " + at[0] : ""));
            speak(about).append("BROKEN\tnoteText=").append(text).append('\n');
        }
    }

    private void call(Policy policy, WireLine l) {
        switch (l.message) {
            case "BACKENDS_CHANGED" -> list(policy, l);
            case "NEW_REQUEST" ->
                    policy.req(
                            now,
                            new Req(
                                    l.text("ticket"),
                                    l.text("cls"),
                                    l.flag("repeat", false),
                                    l.flag("isWrite", false),
                                    l.whole("expiresInNs"),
                                    l.whole("workNs", 0),
                                    l.whole("item", -1),
                                    tenant(l)));
            case "HEAD_RECEIVED" -> policy.streamBegan(now, l.text("ticket"));
            case "PROMOTION" -> news(policy, l);
            case "CLIENT_GONE" -> policy.clientGone(now, l.text("ticket"));
            // The module asks for no probes and no peers' messages.
            case "ECHO", "PEER_DATA" -> {}
            case "PLATFORM_SAW" ->
                    policy.tally(
                            now,
                            l.text("cls"),
                            l.count("buildNo"),
                            l.number("n", 0),
                            l.number("failed", 0),
                            l.whole("rttNs", 0),
                            l.whole("ageNs", 0));
            case "ELAPSED" -> policy.timer(now, l.text("nonce"));
            case "DETACH" -> running.remove(about);
            case "DISPUTED" -> policy.flagged(now, l.text("pod"), l.text("cls"));
            default ->
                    policy.tryEnded(
                            now,
                            l.text("ticket"),
                            l.count("sendNo"),
                            l.word("ending", TryOutcome.class),
                            l.whole("rttNs", 0),
                            l.flag("complete", false));
        }
    }

    private void define(WireLine head) throws IOException {
        int n = head.count("members");
        List<PodEntry> entries = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            WireLine l = inBatch();
            if (!l.message.equals("M")) {
                throw new DrillInputException(
                        l.no, "expected entry " + (i + 1) + " of " + n + ", found " + l.message);
            }
            entries.add(
                    new PodEntry(
                            l.text("pod"),
                            l.text("locality", ""),
                            l.text("model", ""),
                            (int) l.whole("stripe", 0),
                            (int) l.number("edition", 0),
                            l.word("state", PodEntry.State.class),
                            l.number("capacityHint", 1),
                            l.whole("readyAtNs", 0)));
        }
        lists.put(head.whole("ref"), entries);
    }

    private void list(Policy policy, WireLine l) {
        String how = l.text("how");
        if (how.equals("failed")) {
            policy.listFailed(now);
            return;
        }
        List<PodEntry> entries = lists.get(l.whole("ref"));
        if (entries == null) {
            throw l.bad("needs a list that was defined: " + l.text("ref"));
        }
        switch (how) {
            case "delta" -> policy.listChanged(now, entries);
            case "full", "cached" -> policy.listWhole(now, entries);
            default -> throw l.bad("needs delta, full, cached or failed in how");
        }
    }

    private void news(Policy policy, WireLine l) {
        boolean ok = l.text("ending", "ok").equals("ok");
        if (l.whole("how", 0) == 1) {
            policy.voteAnswered(now, ok);
        }
        if (ok) {
            int phase = l.count("whereAt");
            if (phase < 0 || phase >= PHASES.length) {
                throw l.bad("needs 0 to 3 in whereAt");
            }
            policy.news(
                    now,
                    new RolloutStatus(
                            l.count("buildNo"),
                            l.count("step"),
                            PHASES[phase],
                            l.number("exposure", 0),
                            l.whole("ageNs", 0)));
        }
    }

    private static String tenant(WireLine l) {
        String name = l.text("owner", "0");
        return name.equals("0") ? null : name;
    }
}
