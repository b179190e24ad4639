package mulleinlever.settings;

import java.util.ArrayList;
import java.util.List;
import mulleinlever.Settings;
import mulleinlever.Settings.Contract;
import mulleinlever.Settings.DedupScope;
import mulleinlever.Settings.PolicyLimits;
import mulleinlever.Settings.Prices;
import mulleinlever.Settings.ReportSource;
import mulleinlever.Settings.RetrySafety;
import mulleinlever.Settings.RolloutSettings;
import mulleinlever.Settings.RouteSettings;
import mulleinlever.Settings.TenantSettings;
import mulleinlever.Settings.VoteControl;

/**
 * Reads the {@link Settings} of a sidecar from a POWER_ON line of the simulator's protocol or from
 * the JSON configuration. Both use the same field names.
 */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * Returns the settings. An invalid or missing field raises the exception of {@link
     * FieldReader#fieldError}.
     */
    public static Settings read(FieldReader reader) {
        List<RouteSettings> routes = new ArrayList<>();
        for (int i = 0; i < reader.getInt("grades.count"); i++) {
            routes.add(readRoute(reader, "grades." + i + "."));
        }
        List<TenantSettings> tenants = new ArrayList<>();
        for (int i = 0; i < reader.getLong("tenants.count", 0); i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(
                    new TenantSettings(
                            reader.getString(prefix + "name"),
                            reader.getDouble(prefix + "quotaRps", Double.POSITIVE_INFINITY),
                            reader.getDouble(prefix + "share", 0)));
        }
        ReportSource reportSource =
                switch (reader.getString("reporting.source", "off")) {
                    case "inline" -> ReportSource.INLINE;
                    case "on_probe" -> ReportSource.ON_PROBE;
                    case "off" -> ReportSource.OFF;
                    default ->
                            throw reader.fieldError("reporting.source", "inline, on_probe or off");
                };
        Contract contract =
                new Contract(
                        reader.getLong("contract.answerSlackNs", 0),
                        reader.getLong("contract.stopSendingWithinNs", 0),
                        reader.getDouble("contract.coldShare", 1),
                        reader.getLong("contract.warmAfterNs", 0),
                        reader.getDouble("contract.fallMultiple", 1),
                        reader.getLong("contract.fallNs", 0),
                        reader.getLong("contract.askWithinNs", Long.MAX_VALUE));
        PolicyLimits limits =
                new PolicyLimits(
                        (int) reader.getLong("policyLimits.maxAttempts", 1),
                        (int) reader.getLong("policyLimits.maxOpen", Integer.MAX_VALUE),
                        reader.getBoolean("policyLimits.cancel", false),
                        reader.getBoolean("policyLimits.probes", false),
                        reader.getBoolean("policyLimits.secondCopies", false),
                        reader.getBoolean("policyLimits.retryAfter", false),
                        reader.getLong("policyLimits.maxRetryAfterNs", 0),
                        (int) reader.getLong("policyLimits.streamsPerConn", 1),
                        reader.getLong("policyLimits.connectTimeoutNs", 0),
                        reader.getLong("policyLimits.connIdleNs", 0));
        Prices prices =
                new Prices(
                        reader.getDouble("prices.crossZone", 0),
                        reader.getDouble("prices.waste", 0),
                        reader.getDouble("prices.probe", 0),
                        reader.getDouble("prices.lateFail", 0));
        String zones = reader.getString("zones", "");
        return new Settings(
                reader.getInt("rank"),
                reader.getInt("balancers"),
                reader.getString("zone", ""),
                List.of(zones.split(",")),
                reader.getString("discovery").equals("subscribe"),
                reader.getLong("stepNs", 1_000_000),
                reader.getDouble("overShareWorth", 1),
                routes,
                tenants,
                readRollout(reader),
                contract,
                limits,
                prices,
                reportSource,
                !reader.getString("weights", "off").equals("off"));
    }

    /** Reads the route whose fields start with a prefix, such as {@code grades.0.}. */
    private static RouteSettings readRoute(FieldReader reader, String prefix) {
        RetrySafety retrySafety =
                switch (reader.getString(prefix + "repeat")) {
                    case "safe" -> RetrySafety.IDEMPOTENT;
                    case "keyed" -> RetrySafety.DEDUPLICATED;
                    case "unsafe" -> RetrySafety.NOT_RETRYABLE;
                    default -> throw reader.fieldError(prefix + "repeat", "safe, keyed or unsafe");
                };
        return new RouteSettings(
                reader.getString(prefix + "name"),
                reader.getLong(prefix + "aimNs"),
                reader.getDouble(prefix + "aimStretch", 0),
                reader.getLong(prefix + "deadlineNs"),
                retrySafety,
                reader.hasField(prefix + "keyScope")
                        ? reader.getEnum(prefix + "keyScope", DedupScope.class)
                        : DedupScope.ALL,
                reader.getLong(prefix + "windowNs", 0),
                reader.getBoolean(prefix + "streamed", false),
                reader.getDouble(prefix + "lateWorth", 0),
                reader.getDouble(prefix + "worth", 1));
    }

    private static RolloutSettings readRollout(FieldReader reader) {
        String prefix = "familyInfo.";
        return new RolloutSettings(
                reader.getEnum(prefix + "control", VoteControl.class),
                reader.getString(prefix + "replaceMode", "side_by_side").equals("rolling"),
                reader.getInt(prefix + "ayesNeeded"),
                reader.getInt(prefix + "votesToRevert"),
                (int) reader.getLong(prefix + "holdVotes", 0),
                reader.getLong(prefix + "bakeNs", 0),
                reader.getLong(prefix + "movesAfterNs", 0),
                reader.getLong(prefix + "voteStandsNs"),
                reader.getLong(prefix + "voteWaitNs"),
                reader.getDouble(prefix + "votesPerS", 1),
                reader.getLong(prefix + "newsPeriodNs", 0),
                reader.getLong(prefix + "tallyEveryNs", 0),
                reader.getDouble(prefix + "sample", 0),
                reader.getDouble(prefix + "complaintShare", 0),
                readNumbers(reader, prefix + "steps"),
                readNumbers(reader, prefix + "mostShares"),
                reader.getLong(prefix + "windowNs", 0),
                reader.getDouble(prefix + "uncounted", 0),
                reader.getString(prefix + "countedBy", "all").equals("per_lane"),
                (int) reader.getLong(prefix + "shielded", 0),
                reader.getBoolean(prefix + "oneWay", false),
                reader.getBoolean(prefix + "warmKeys", false),
                reader.getDouble(prefix + "staleBuildPrice", 0),
                reader.getDouble(prefix + "damagePrice", 0));
    }

    /** Reads a required list of numbers. */
    private static List<Double> readNumbers(FieldReader reader, String name) {
        List<Double> numbers = new ArrayList<>();
        for (String value : reader.getString(name).split(",")) {
            numbers.add(reader.parseDouble(name, value));
        }
        return numbers;
    }
}
