package mulleinlever.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import mulleinlever.News;
import mulleinlever.Settings;
import mulleinlever.settings.Fault;
import mulleinlever.settings.Json;
import mulleinlever.settings.JsonFields;
import mulleinlever.settings.SettingsFields;

/**
 * What one sidecar is told at its start: read, checked and given defaults here and nowhere else. A
 * fault names the key. The environment's values count where the file lacks one.
 */
record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress platform,
        long seed,
        int sockets,
        PodList known,
        News news,
        Settings settings) {
    /** Taken where no limit is told: what a process may usually open. */
    private static final int SOCKETS = 1024;

    private static final int FEWEST_SOCKETS = 64;

    /** What is taken at the start only, in the order of the keys. */
    static final Map<String, Function<Config, Object>> KEPT = kept();

    private static Map<String, Function<Config, Object>> kept() {
        Map<String, Function<Config, Object>> all = new LinkedHashMap<>();
        all.put("name", Config::name);
        all.put("listen", Config::listen);
        all.put("seed", Config::seed);
        all.put("limits.sockets", Config::sockets);
        all.put("settings", Config::settings);
        return all;
    }

    /** The same, but started from another list and other news. */
    Config from(PodList list, News stands) {
        return new Config(name, listen, discovery, platform, seed, sockets, list, stands, settings);
    }

    static Config load(Map<String, String> env) {
        String file = env.get("LB_CONFIG");
        if (file == null) {
            throw new Fault("LB_CONFIG needs the path of the configuration");
        }
        try {
            return read(Files.readString(Path.of(file)), env);
        } catch (IOException e) {
            throw new Fault("LB_CONFIG names a file that can't be read: " + e);
        }
    }

    static Config read(String text, Map<String, String> env) {
        if (!(Json.read(text) instanceof Map<?, ?> root)) {
            throw new Fault("the configuration needs to be one object");
        }
        JsonFields all = new JsonFields("configuration: ", root);
        long sockets = all.whole("limits.sockets", SOCKETS);
        if (sockets < FEWEST_SOCKETS) {
            throw all.bad("limits.sockets", "at least " + FEWEST_SOCKETS);
        }
        return new Config(
                all.text("name", env.getOrDefault("LB_NAME", "sidecar")),
                address(all, "listen", env.get("LB_LISTEN")),
                address(all, "discovery", env.get("LB_DISCOVERY")),
                address(all, "release_api.address", null),
                seed(all),
                (int) Math.min(1 << 20, sockets),
                all.has("known") ? PodList.read(all.inner("known")) : PodList.NONE,
                news(all.inner("release_api.news")),
                settings(all.inner("settings")));
    }

    /** What would make the module divide by nothing, or wait for nothing, is found here. */
    private static Settings settings(JsonFields from) {
        Settings set = SettingsFields.read(from);
        check(from, "grades", "at least one route", !set.routes().isEmpty());
        for (int i = 0; i < set.routes().size(); i++) {
            Settings.Route r = set.routes().get(i);
            check(from, "grades." + i + ".aimNs", "more than 0", r.objectiveNs() > 0);
            check(from, "grades." + i + ".deadlineNs", "more than 0", r.timeoutNs() > 0);
        }
        check(from, "balancers", "more than rank", set.sidecars() > set.rank() && set.rank() >= 0);
        check(from, "stepNs", "0 or more", set.stepNs() >= 0);
        Settings.Rollout rollout = set.rollout();
        check(
                from,
                "familyInfo.mostShares",
                "as many as steps",
                !rollout.caps().isEmpty() && rollout.caps().size() == rollout.shares().size());
        check(from, "familyInfo.voteWaitNs", "more than 0", rollout.voteWaitNs() > 0);
        check(from, "policyLimits.maxAttempts", "1 or more", set.limits().maxTries() > 0);
        return set;
    }

    private static void check(JsonFields from, String key, String needs, boolean holds) {
        if (!holds) {
            throw from.bad(key, needs);
        }
    }

    private static News news(JsonFields from) {
        return new News(
                from.count("build"),
                from.count("stage"),
                Platform.phase(from.text("phase"), from),
                from.number("cap", 0),
                Math.max(0, from.whole("age_ms", 0)) * 1_000_000L);
    }

    private static long seed(JsonFields all) {
        try {
            return Long.parseUnsignedLong(all.text("seed"), 16);
        } catch (NumberFormatException e) {
            throw all.bad("seed", "up to 16 hex digits");
        }
    }

    private static InetSocketAddress address(JsonFields all, String key, String absent) {
        String v = absent == null ? all.text(key) : all.text(key, absent);
        InetSocketAddress a = Address.of(v);
        if (a == null) {
            throw all.bad(key, "an IP address and port, not " + v);
        }
        return a;
    }
}
