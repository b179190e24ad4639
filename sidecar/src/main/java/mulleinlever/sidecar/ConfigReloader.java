package mulleinlever.sidecar;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import mulleinlever.settings.InvalidInputException;

/**
 * At each SIGHUP the configuration is read anew: discovery and the platform may have moved. Left to
 * itself the signal ends the process, and with it all that is in hand.
 */
final class ConfigReloader {
    private final Map<String, String> env;
    private final NettyTransport net;
    private final RateLimitedLog log;
    private SidecarConfig at;

    /** Null while the sidecar starts. */
    private SidecarComponents stages;

    ConfigReloader(
            Map<String, String> env, SidecarConfig at, NettyTransport net, RateLimitedLog log) {
        this.env = env;
        this.at = at;
        this.net = net;
        this.log = log;
    }

    /** What was told until now counts for these. */
    void applyTo(SidecarComponents started) {
        stages = started;
        stages.discovery.updateAddress(at.discoveryAddress());
        stages.releasePlatform.updateAddress(at.releaseApiAddress());
    }

    /**
     * Looked up by name: the JDK has no other way to a signal, and the compiler warns of any use of
     * this.
     */
    void installSignalHandler() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object ours =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, args) -> {
                                heard();
                                return null;
                            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), ours);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            log.info("reload", "SIGHUP can't be heard here: " + e);
        }
    }

    /**
     * On the signal's own thread, since a long list would hold up the loop; one at a time, so that
     * the file read last is the one taken last. Whatever is wrong with the file, what was told
     * before stands.
     */
    private synchronized void heard() {
        SidecarConfig next;
        try {
            next = SidecarConfig.load(env);
        } catch (RuntimeException e) {
            log.info(
                    "reload",
                    "nothing is changed: "
                            + (e instanceof InvalidInputException ? e.getMessage() : e.toString()));
            return;
        }
        net.execute(() -> take(next));
    }

    private void take(SidecarConfig next) {
        List<String> left = new ArrayList<>();
        for (String key : SidecarConfig.RESTART_REQUIRED.keySet()) {
            if (!SidecarConfig.RESTART_REQUIRED
                    .get(key)
                    .apply(next)
                    .equals(SidecarConfig.RESTART_REQUIRED.get(key).apply(at))) {
                left.add(key);
            }
        }
        log.info(
                "reload",
                "discovery at "
                        + next.discoveryAddress()
                        + ", platform at "
                        + next.releaseApiAddress()
                        + (left.isEmpty()
                                ? ""
                                : "; a restart is needed for " + String.join(", ", left)));
        at = next;
        if (stages != null) {
            applyTo(stages);
        }
    }
}
