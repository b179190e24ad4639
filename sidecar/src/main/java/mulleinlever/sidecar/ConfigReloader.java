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
    private final NettyTransport transport;
    private final RateLimitedLog log;
    private SidecarConfig config;

    /** Null while the sidecar starts. */
    private SidecarComponents components;

    ConfigReloader(
            Map<String, String> env,
            SidecarConfig config,
            NettyTransport transport,
            RateLimitedLog log) {
        this.env = env;
        this.config = config;
        this.transport = transport;
        this.log = log;
    }

    /** What was told until now counts for these. */
    void applyTo(SidecarComponents startedComponents) {
        components = startedComponents;
        components.discovery.updateAddress(config.discoveryAddress());
        components.releasePlatform.updateAddress(config.releaseApiAddress());
    }

    /**
     * Looked up by name: the JDK has no other way to a signal, and the compiler warns of any use of
     * this.
     */
    void installSignalHandler() {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handler =
                    Proxy.newProxyInstance(
                            handlerClass.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            (self, method, args) -> {
                                reload();
                                return null;
                            });
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(
                            null,
                            signalClass.getConstructor(String.class).newInstance("HUP"),
                            handler);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            log.info("reload", "SIGHUP can't be heard here: " + e);
        }
    }

    /**
     * On the signal's own thread, since a long list would hold up the loop; one at a time, so that
     * the file read last is the one taken last. Whatever is wrong with the file, what was told
     * before stands.
     */
    private synchronized void reload() {
        SidecarConfig newConfig;
        try {
            newConfig = SidecarConfig.load(env);
        } catch (RuntimeException e) {
            log.info(
                    "reload",
                    "nothing is changed: "
                            + (e instanceof InvalidInputException ? e.getMessage() : e.toString()));
            return;
        }
        transport.execute(() -> applyConfig(newConfig));
    }

    private void applyConfig(SidecarConfig newConfig) {
        List<String> restartKeys = new ArrayList<>();
        for (String key : SidecarConfig.RESTART_REQUIRED.keySet()) {
            if (!SidecarConfig.RESTART_REQUIRED
                    .get(key)
                    .apply(newConfig)
                    .equals(SidecarConfig.RESTART_REQUIRED.get(key).apply(config))) {
                restartKeys.add(key);
            }
        }
        log.info(
                "reload",
                "discovery at "
                        + newConfig.discoveryAddress()
                        + ", platform at "
                        + newConfig.releaseApiAddress()
                        + (restartKeys.isEmpty()
                                ? ""
                                : "; a restart is needed for " + String.join(", ", restartKeys)));
        config = newConfig;
        if (components != null) {
            applyTo(components);
        }
    }
}
