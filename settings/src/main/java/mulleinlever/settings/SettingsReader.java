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
        for (int i = 0; i < l.getInt("grades.count"); i++) {
            routes.add(route(l, "grades." + i + "."));
        }
        List<TenantSettings> tenants = new ArrayList<>();
        for (int i = 0; i < l.getLong("tenants.count", 0); i++) {
            String at = "tenants." + i + ".";
            tenants.add(
                    new TenantSettings(
                            l.getString(at + "name"),
                            l.getDouble(at + "quotaRps", Double.POSITIVE_INFINITY),
                            l.getDouble(at + "share", 0)));
        }
        ReportSource source =
                switch (l.getString("reporting.source", "off")) {
                    case "inline" -> ReportSource.INLINE;
                    case "on_probe" -> ReportSource.ON_PROBE;
                    case "off" -> ReportSource.OFF;
                    default -> throw l.fieldError("reporting.source", "inline, on_probe or off");
                };
        Contract rules =
                new Contract(
                        l.getLong("contract.answerSlackNs", 0),
                        l.getLong("contract.stopSendingWithinNs", 0),
                        l.getDouble("contract.coldShare", 1),
                        l.getLong("contract.warmAfterNs", 0),
                        l.getDouble("contract.fallMultiple", 1),
                        l.getLong("contract.fallNs", 0),
                        l.getLong("contract.askWithinNs", Long.MAX_VALUE));
        PolicyLimits limits =
                new PolicyLimits(
                        (int) l.getLong("policyLimits.maxAttempts", 1),
                        (int) l.getLong("policyLimits.maxOpen", Integer.MAX_VALUE),
                        l.getBoolean("policyLimits.cancel", false),
                        l.getBoolean("policyLimits.probes", false),
                        l.getBoolean("policyLimits.secondCopies", false),
                        l.getBoolean("policyLimits.retryAfter", false),
                        l.getLong("policyLimits.maxRetryAfterNs", 0),
                        (int) l.getLong("policyLimits.streamsPerConn", 1),
                        l.getLong("policyLimits.connectTimeoutNs", 0),
                        l.getLong("policyLimits.connIdleNs", 0));
        CostWeights prices =
                new CostWeights(
                        l.getDouble("prices.crossZone", 0),
                        l.getDouble("prices.waste", 0),
                        l.getDouble("prices.probe", 0),
                        l.getDouble("prices.lateFail", 0));
        String zones = l.getString("zones", "");
        return new Settings(
                l.getInt("rank"),
                l.getInt("balancers"),
                l.getString("zone", ""),
                List.of(zones.split(",")),
                l.getString("discovery").equals("subscribe"),
                l.getLong("stepNs", 1_000_000),
                l.getDouble("overShareWorth", 1),
                routes,
                tenants,
                rollout(l),
                rules,
                limits,
                prices,
                source,
                !l.getString("weights", "off").equals("off"));
    }

    private static RouteSettings route(FieldReader l, String at) {
        RetrySafety repeat =
                switch (l.getString(at + "repeat")) {
                    case "safe" -> RetrySafety.IDEMPOTENT;
                    case "keyed" -> RetrySafety.DEDUPLICATED;
                    case "unsafe" -> RetrySafety.NOT_RETRYABLE;
                    default -> throw l.fieldError(at + "repeat", "safe, keyed or unsafe");
                };
        return new RouteSettings(
                l.getString(at + "name"),
                l.getLong(at + "aimNs"),
                l.getDouble(at + "aimStretch", 0),
                l.getLong(at + "deadlineNs"),
                repeat,
                l.hasField(at + "keyScope")
                        ? l.getEnum(at + "keyScope", DedupScope.class)
                        : DedupScope.ALL,
                l.getLong(at + "windowNs", 0),
                l.getBoolean(at + "streamed", false),
                l.getDouble(at + "lateWorth", 0),
                l.getDouble(at + "worth", 1));
    }

    private static RolloutSettings rollout(FieldReader l) {
        String at = "familyInfo.";
        return new RolloutSettings(
                l.getEnum(at + "control", VoteControl.class),
                l.getString(at + "replaceMode", "side_by_side").equals("rolling"),
                l.getInt(at + "ayesNeeded"),
                l.getInt(at + "votesToRevert"),
                (int) l.getLong(at + "holdVotes", 0),
                l.getLong(at + "bakeNs", 0),
                l.getLong(at + "movesAfterNs", 0),
                l.getLong(at + "voteStandsNs"),
                l.getLong(at + "voteWaitNs"),
                l.getDouble(at + "votesPerS", 1),
                l.getLong(at + "newsPeriodNs", 0),
                l.getLong(at + "tallyEveryNs", 0),
                l.getDouble(at + "sample", 0),
                l.getDouble(at + "complaintShare", 0),
                numbers(l, at + "steps"),
                numbers(l, at + "mostShares"),
                l.getLong(at + "windowNs", 0),
                l.getDouble(at + "uncounted", 0),
                l.getString(at + "countedBy", "all").equals("per_lane"),
                (int) l.getLong(at + "shielded", 0),
                l.getBoolean(at + "oneWay", false),
                l.getBoolean(at + "warmKeys", false),
                l.getDouble(at + "staleBuildPrice", 0),
                l.getDouble(at + "damagePrice", 0));
    }

    private static List<Double> numbers(FieldReader l, String name) {
        List<Double> all = new ArrayList<>();
        for (String v : l.getString(name).split(",")) {
            all.add(l.parseDouble(name, v));
        }
        return all;
    }
}
