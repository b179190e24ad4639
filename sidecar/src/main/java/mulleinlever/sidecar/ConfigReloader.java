package mulleinlever.sidecar;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import mulleinlever.settings.InvalidInputException;

/**
 * Reads the configuration again at each SIGHUP, since discovery and the platform may have moved.
 * Without a handler the signal would end the process, and with it all reqs in flight.
 */
final class ConfigReloader {
    private final Map<String, String> env;
    private final NettyTransport transport;
    private final RateLimitedLog log;

    /** The configuration read last. Accessed on the event loop only. */
    private SidecarConfig config;

    /** Null until {@link #applyTo}. Accessed on the event loop only. */
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

    /** Applies the configuration read last, and those read later, to the components. */
    void applyTo(SidecarComponents startedComponents) {
        components = startedComponents;
        components.discoveryClient.updateAddress(config.discoveryAddress());
        components.releasePlatformClient.updateAddress(config.releaseApiAddress());
    }

    /**
     * Installs the handler of SIGHUP. It uses reflection: the JDK has no other API for signals, and
     * the compiler warns of any direct use of {@code sun.misc.Signal}.
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
            log.info("reload", "SIGHUP can't be handled: " + e);
        }
    }

    /**
     * Reads the configuration. Runs on the signal's thread, since a long pod list would block the
     * event loop; synchronized, so that the file read last is applied last. If the file is invalid,
     * the previous configuration remains in use.
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

    /** Applies a configuration, and logs the changed settings that need a restart. */
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
