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
 * The configuration of one sidecar: read, checked and completed with defaults in this class only.
 * Errors name the key. Environment variables apply where the file lacks the value.
 *
 * @param seed the seed of the random numbers
 * @param maxSockets the maximum number of descriptors for clients, pods, files, the platform and
 *     discovery
 * @param maxMemoryBytes the maximum memory of the process; 0 if the file has none
 * @param initialPodList the list in use until discovery sends one
 * @param initialRolloutStatus the status in use until the platform sends one
 */
record SidecarConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        InetSocketAddress releaseApiAddress,
        long seed,
        int maxSockets,
        long maxMemoryBytes,
        PodList initialPodList,
        RolloutStatus initialRolloutStatus,
        Settings settings) {
    /** The usual limit of open files per process, for a configuration without a limit. */
    private static final int DEFAULT_MAX_SOCKETS = 1024;

    private static final int MIN_SOCKETS = 64;
    private static final double BYTES_PER_MB = 1 << 20;

    /** The settings that apply at the start only, by key, in the order of the keys in the file. */
    static final Map<String, Function<SidecarConfig, Object>> RESTART_REQUIRED =
            restartRequiredSettings();

    private static Map<String, Function<SidecarConfig, Object>> restartRequiredSettings() {
        Map<String, Function<SidecarConfig, Object>> getters = new LinkedHashMap<>();
        getters.put("name", SidecarConfig::name);
        getters.put("listen", SidecarConfig::listenAddress);
        getters.put("seed", SidecarConfig::seed);
        getters.put("limits.sockets", SidecarConfig::maxSockets);
        getters.put("limits.memory_mb", SidecarConfig::maxMemoryBytes);
        getters.put("settings", SidecarConfig::settings);
        return getters;
    }

    /** Returns a copy with another initial list and rollout status. */
    SidecarConfig withInitialState(PodList podList, RolloutStatus rolloutStatus) {
        return new SidecarConfig(
                name,
                listenAddress,
                discoveryAddress,
                releaseApiAddress,
                seed,
                maxSockets,
                maxMemoryBytes,
                podList,
                rolloutStatus,
                settings);
    }

    /**
     * Reads the file that LB_CONFIG names.
     *
     * @throws InvalidInputException if LB_CONFIG is not set, or the file can't be read or is
     *     invalid
     */
    static SidecarConfig load(Map<String, String> env) {
        String path = env.get("LB_CONFIG");
        if (path == null) {
            throw new InvalidInputException("LB_CONFIG needs the path of the configuration");
        }
        try {
            return parse(Files.readString(Path.of(path)), env);
        } catch (IOException e) {
            throw new InvalidInputException("LB_CONFIG names a file that can't be read: " + e);
        }
    }

    /**
     * Parses a configuration in JSON.
     *
     * @param env the environment variables
     * @throws InvalidInputException if it is invalid; the message names the key or the position
     */
    static SidecarConfig parse(String text, Map<String, String> env) {
        if (!(Json.parse(text) instanceof Map<?, ?> root)) {
            throw new InvalidInputException("the configuration must be a JSON object");
        }
        JsonFieldReader reader = new JsonFieldReader("configuration: ", root);
        long maxSockets = reader.getLong("limits.sockets", DEFAULT_MAX_SOCKETS);
        if (maxSockets < MIN_SOCKETS) {
            throw reader.fieldError("limits.sockets", "at least " + MIN_SOCKETS);
        }
        return new SidecarConfig(
                reader.getString("name", env.getOrDefault("LB_NAME", "sidecar")),
                readAddress(reader, "listen", env.get("LB_LISTEN")),
                readAddress(reader, "discovery", env.get("LB_DISCOVERY")),
                readAddress(reader, "release_api.address", null),
                readSeed(reader),
                (int) Math.min(1 << 20, maxSockets),
                (long) (Math.max(0, reader.getDouble("limits.memory_mb", 0)) * BYTES_PER_MB),
                reader.hasField("known")
                        ? PodList.fromJson(reader.getObject("known"))
                        : PodList.EMPTY,
                readRolloutStatus(reader.getObject("release_api.news")),
                readSettings(reader.getObject("settings")));
    }

    /**
     * Reads the settings. Rejects values by which the policy would divide by zero or wait for no
     * time.
     */
    private static Settings readSettings(JsonFieldReader reader) {
        Settings settings = SettingsReader.read(reader);
        require(reader, "grades", "at least one route", !settings.routes().isEmpty());
        for (int i = 0; i < settings.routes().size(); i++) {
            Settings.RouteSettings route = settings.routes().get(i);
            require(
                    reader,
                    "grades." + i + ".aimNs",
                    "more than 0",
                    route.latencyObjectiveNs() > 0);
            require(reader, "grades." + i + ".deadlineNs", "more than 0", route.timeoutNs() > 0);
        }
        require(
                reader,
                "balancers",
                "more than rank",
                settings.sidecarCount() > settings.rank() && settings.rank() >= 0);
        require(reader, "stepNs", "0 or more", settings.clockStepNs() >= 0);
        Settings.RolloutSettings rollout = settings.rollout();
        require(
                reader,
                "familyInfo.mostShares",
                "as many as steps",
                !rollout.stageExposureCaps().isEmpty()
                        && rollout.stageExposureCaps().size() == rollout.stageShares().size());
        require(reader, "familyInfo.voteWaitNs", "more than 0", rollout.voteTimeoutNs() > 0);
        require(
                reader,
                "policyLimits.maxAttempts",
                "1 or more",
                settings.policyLimits().maxTries() > 0);
        return settings;
    }

    private static void require(
            JsonFieldReader reader, String key, String requirement, boolean valid) {
        if (!valid) {
            throw reader.fieldError(key, requirement);
        }
    }

    private static RolloutStatus readRolloutStatus(JsonFieldReader reader) {
        return new RolloutStatus(
                reader.getInt("build"),
                reader.getInt("stage"),
                ReleasePlatformClient.parsePhase(reader.getString("phase"), reader),
                reader.getDouble("cap", 0),
                Math.max(0, reader.getLong("age_ms", 0)) * 1_000_000L);
    }

    private static long readSeed(JsonFieldReader reader) {
        try {
            return Long.parseUnsignedLong(reader.getString("seed"), 16);
        } catch (NumberFormatException e) {
            throw reader.fieldError("seed", "up to 16 hex digits");
        }
    }

    private static InetSocketAddress readAddress(
            JsonFieldReader reader, String key, String defaultValue) {
        String text =
                defaultValue == null ? reader.getString(key) : reader.getString(key, defaultValue);
        InetSocketAddress address = SocketAddresses.parse(text);
        if (address == null) {
            throw reader.fieldError(key, "an IP address and port, not " + text);
        }
        return address;
    }
}
