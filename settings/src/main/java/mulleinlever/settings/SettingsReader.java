package mulleinlever.settings;

import java.util.ArrayList;
import java.util.List;
import mulleinlever.Settings;
import mulleinlever.Settings.Contract;
import mulleinlever.Settings.CostWeights;
import mulleinlever.Settings.DedupScope;
import mulleinlever.Settings.PolicyLimits;
import mulleinlever.Settings.ReportSource;
import mulleinlever.Settings.RetrySafety;
import mulleinlever.Settings.RolloutSettings;
import mulleinlever.Settings.RouteSettings;
import mulleinlever.Settings.TenantSettings;
import mulleinlever.Settings.VoteControl;

/** Reads the settings of a sidecar: from a start line of the wire, or from a configuration. */
public final class SettingsReader {
    private SettingsReader() {}

    public static Settings read(FieldReader l) {
        List<RouteSettings> routes = new ArrayList<>();
        for (int i = 0; i < l.count("grades.count"); i++) {
            routes.add(route(l, "grades." + i + "."));
        }
        List<TenantSettings> tenants = new ArrayList<>();
        for (int i = 0; i < l.whole("tenants.count", 0); i++) {
            String at = "tenants." + i + ".";
            tenants.add(
                    new TenantSettings(
                            l.text(at + "name"),
                            l.number(at + "quotaRps", Double.POSITIVE_INFINITY),
                            l.number(at + "share", 0)));
        }
        ReportSource source =
                switch (l.text("reporting.source", "off")) {
                    case "inline" -> ReportSource.INLINE;
                    case "on_probe" -> ReportSource.ON_PROBE;
                    case "off" -> ReportSource.OFF;
                    default -> throw l.bad("reporting.source", "inline, on_probe or off");
                };
        Contract rules =
                new Contract(
                        l.whole("contract.answerSlackNs", 0),
                        l.whole("contract.stopSendingWithinNs", 0),
                        l.number("contract.coldShare", 1),
                        l.whole("contract.warmAfterNs", 0),
                        l.number("contract.fallMultiple", 1),
                        l.whole("contract.fallNs", 0),
                        l.whole("contract.askWithinNs", Long.MAX_VALUE));
        PolicyLimits limits =
                new PolicyLimits(
                        (int) l.whole("policyLimits.maxAttempts", 1),
                        (int) l.whole("policyLimits.maxOpen", Integer.MAX_VALUE),
                        l.flag("policyLimits.cancel", false),
                        l.flag("policyLimits.probes", false),
                        l.flag("policyLimits.secondCopies", false),
                        l.flag("policyLimits.retryAfter", false),
                        l.whole("policyLimits.maxRetryAfterNs", 0),
                        (int) l.whole("policyLimits.streamsPerConn", 1),
                        l.whole("policyLimits.connectTimeoutNs", 0),
                        l.whole("policyLimits.connIdleNs", 0));
        CostWeights prices =
                new CostWeights(
                        l.number("prices.crossZone", 0),
                        l.number("prices.waste", 0),
                        l.number("prices.probe", 0),
                        l.number("prices.lateFail", 0));
        String zones = l.text("zones", "");
        return new Settings(
                l.count("rank"),
                l.count("balancers"),
                l.text("zone", ""),
                List.of(zones.split(",")),
                l.text("discovery").equals("subscribe"),
                l.whole("stepNs", 1_000_000),
                l.number("overShareWorth", 1),
                routes,
                tenants,
                rollout(l),
                rules,
                limits,
                prices,
                source,
                !l.text("weights", "off").equals("off"));
    }

    private static RouteSettings route(FieldReader l, String at) {
        RetrySafety repeat =
                switch (l.text(at + "repeat")) {
                    case "safe" -> RetrySafety.RETRIABLE;
                    case "keyed" -> RetrySafety.DEDUPED;
                    case "unsafe" -> RetrySafety.NON_RETRIABLE;
                    default -> throw l.bad(at + "repeat", "safe, keyed or unsafe");
                };
        return new RouteSettings(
                l.text(at + "name"),
                l.whole(at + "aimNs"),
                l.number(at + "aimStretch", 0),
                l.whole(at + "deadlineNs"),
                repeat,
                l.has(at + "keyScope") ? l.word(at + "keyScope", DedupScope.class) : DedupScope.ALL,
                l.whole(at + "windowNs", 0),
                l.flag(at + "streamed", false),
                l.number(at + "lateWorth", 0),
                l.number(at + "worth", 1));
    }

    private static RolloutSettings rollout(FieldReader l) {
        String at = "familyInfo.";
        return new RolloutSettings(
                l.word(at + "control", VoteControl.class),
                l.text(at + "replaceMode", "side_by_side").equals("rolling"),
                l.count(at + "ayesNeeded"),
                l.count(at + "votesToRevert"),
                (int) l.whole(at + "holdVotes", 0),
                l.whole(at + "bakeNs", 0),
                l.whole(at + "movesAfterNs", 0),
                l.whole(at + "voteStandsNs"),
                l.whole(at + "voteWaitNs"),
                l.number(at + "votesPerS", 1),
                l.whole(at + "newsPeriodNs", 0),
                l.whole(at + "tallyEveryNs", 0),
                l.number(at + "sample", 0),
                l.number(at + "complaintShare", 0),
                numbers(l, at + "steps"),
                numbers(l, at + "mostShares"),
                l.whole(at + "windowNs", 0),
                l.number(at + "uncounted", 0),
                l.text(at + "countedBy", "all").equals("per_lane"),
                (int) l.whole(at + "shielded", 0),
                l.flag(at + "oneWay", false),
                l.flag(at + "warmKeys", false),
                l.number(at + "staleBuildPrice", 0),
                l.number(at + "damagePrice", 0));
    }

    private static List<Double> numbers(FieldReader l, String name) {
        List<Double> all = new ArrayList<>();
        for (String v : l.text(name).split(",")) {
            all.add(l.parseNumber(name, v));
        }
        return all;
    }
}
