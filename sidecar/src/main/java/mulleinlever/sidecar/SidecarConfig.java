package mulleinlever.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import mulleinlever.RolloutStatus;
import mulleinlever.Settings;
import mulleinlever.settings.InvalidInputException;
import mulleinlever.settings.Json;
import mulleinlever.settings.JsonFieldReader;
import mulleinlever.settings.SettingsReader;

/**
 * What one sidecar is told at its start: read, checked and given defaults here and nowhere else. A
 * fault names the key. The environment's values count where the file lacks one.
 */
record SidecarConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        InetSocketAddress releaseApiAddress,
        long seed,
        int maxSockets,
        PodList initialPodList,
        RolloutStatus initialRolloutStatus,
        Settings settings) {
    /** Taken where no limit is told: what a process may usually open. */
    private static final int SOCKETS = 1024;

    private static final int FEWEST_SOCKETS = 64;

    /** What is taken at the start only, in the order of the keys. */
    static final Map<String, Function<SidecarConfig, Object>> RESTART_REQUIRED = kept();

    private static Map<String, Function<SidecarConfig, Object>> kept() {
        Map<String, Function<SidecarConfig, Object>> all = new LinkedHashMap<>();
        all.put("name", SidecarConfig::name);
        all.put("listen", SidecarConfig::listenAddress);
        all.put("seed", SidecarConfig::seed);
        all.put("limits.sockets", SidecarConfig::maxSockets);
        all.put("settings", SidecarConfig::settings);
        return all;
    }

    /** The same, but started from another list and other news. */
    SidecarConfig withInitialState(PodList list, RolloutStatus stands) {
        return new SidecarConfig(
                name,
                listenAddress,
                discoveryAddress,
                releaseApiAddress,
                seed,
                maxSockets,
                list,
                stands,
                settings);
    }

    static SidecarConfig load(Map<String, String> env) {
        String file = env.get("LB_CONFIG");
        if (file == null) {
            throw new InvalidInputException("LB_CONFIG needs the path of the configuration");
        }
        try {
            return parse(Files.readString(Path.of(file)), env);
        } catch (IOException e) {
            throw new InvalidInputException("LB_CONFIG names a file that can't be read: " + e);
        }
    }

    static SidecarConfig parse(String text, Map<String, String> env) {
        if (!(Json.parse(text) instanceof Map<?, ?> root)) {
            throw new InvalidInputException("the configuration needs to be one object");
        }
        JsonFieldReader all = new JsonFieldReader("configuration: ", root);
        long sockets = all.getLong("limits.sockets", SOCKETS);
        if (sockets < FEWEST_SOCKETS) {
            throw all.fieldError("limits.sockets", "at least " + FEWEST_SOCKETS);
        }
        return new SidecarConfig(
                all.getString("name", env.getOrDefault("LB_NAME", "sidecar")),
                address(all, "listen", env.get("LB_LISTEN")),
                address(all, "discovery", env.get("LB_DISCOVERY")),
                address(all, "release_api.address", null),
                seed(all),
                (int) Math.min(1 << 20, sockets),
                all.hasField("known") ? PodList.fromJson(all.getObject("known")) : PodList.EMPTY,
                news(all.getObject("release_api.news")),
                settings(all.getObject("settings")));
    }

    /** What would make the module divide by nothing, or wait for nothing, is found here. */
    private static Settings settings(JsonFieldReader from) {
        Settings set = SettingsReader.read(from);
        check(from, "grades", "at least one route", !set.routes().isEmpty());
        for (int i = 0; i < set.routes().size(); i++) {
            Settings.RouteSettings r = set.routes().get(i);
            check(from, "grades." + i + ".aimNs", "more than 0", r.latencyObjectiveNs() > 0);
            check(from, "grades." + i + ".deadlineNs", "more than 0", r.timeoutNs() > 0);
        }
        check(
                from,
                "balancers",
                "more than rank",
                set.sidecarCount() > set.rank() && set.rank() >= 0);
        check(from, "stepNs", "0 or more", set.clockStepNs() >= 0);
        Settings.RolloutSettings rollout = set.rollout();
        check(
                from,
                "familyInfo.mostShares",
                "as many as steps",
                !rollout.stageExposureCaps().isEmpty()
                        && rollout.stageExposureCaps().size() == rollout.stageShares().size());
        check(from, "familyInfo.voteWaitNs", "more than 0", rollout.voteTimeoutNs() > 0);
        check(from, "policyLimits.maxAttempts", "1 or more", set.policyLimits().maxTries() > 0);
        return set;
    }

    private static void check(JsonFieldReader from, String key, String needs, boolean holds) {
        if (!holds) {
            throw from.fieldError(key, needs);
        }
    }

    private static RolloutStatus news(JsonFieldReader from) {
        return new RolloutStatus(
                from.getInt("build"),
                from.getInt("stage"),
                ReleasePlatformClient.parsePhase(from.getString("phase"), from),
                from.getDouble("cap", 0),
                Math.max(0, from.getLong("age_ms", 0)) * 1_000_000L);
    }

    private static long seed(JsonFieldReader all) {
        try {
            return Long.parseUnsignedLong(all.getString("seed"), 16);
        } catch (NumberFormatException e) {
            throw all.fieldError("seed", "up to 16 hex digits");
        }
    }

    private static InetSocketAddress address(JsonFieldReader all, String key, String absent) {
        String v = absent == null ? all.getString(key) : all.getString(key, absent);
        InetSocketAddress a = SocketAddresses.parse(v);
        if (a == null) {
            throw all.fieldError(key, "an IP address and port, not " + v);
        }
        return a;
    }
}
