package mulleinlever.cli;

import java.io.File;
import java.io.IOException;
import java.net.MalformedURLException;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import mulleinlever.sidecar.SidecarServer;

/**
 * The entry point of the program. A bare {@code serve} runs with the class path alone, which holds
 * only the libraries that the sidecar needs. Any other command line is parsed by picocli and may
 * use further libraries in the folder {@code lib} beside the jar, which {@link Commands} is loaded
 * with. They are not on the class path, because each of them would keep a file descriptor open in a
 * sidecar, and the parser alone delays the first response by 0.13 s and takes 8 MB of resident
 * memory, while a sidecar may be limited to 32 MB.
 *
 * <p>Exit codes: 0 success, 1 internal error, 2 invalid arguments, configuration or input.
 */
public final class Main {
    private static final String COMMANDS_CLASS = "mulleinlever.cli.Commands";

    private Main() {}

    public static void main(String[] args) throws Exception {
        boolean isBareServe = args.length == 1 && args[0].equals("serve");
        System.exit(
                isBareServe ? SidecarServer.run(System.getenv(), List.of()) : runCommands(args));
    }

    private static int runCommands(String[] args) throws Exception {
        ClassLoader loader = findClassLoader();
        Thread.currentThread().setContextClassLoader(loader);
        return (int)
                loader.loadClass(COMMANDS_CLASS)
                        .getMethod("run", String[].class)
                        .invoke(null, (Object) args);
    }

    /**
     * Returns a class loader that finds picocli: the one of this class if it does, as in tests,
     * otherwise a new one over the program's jar and the jars in {@code lib}.
     */
    private static ClassLoader findClassLoader() throws IOException, URISyntaxException {
        ClassLoader ownLoader = Main.class.getClassLoader();
        if (ownLoader.getResource("picocli/CommandLine.class") != null) {
            return ownLoader;
        }
        Path jar = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        // Sorted by name, so that the jar that a class is loaded from does not depend on the order
        // in which the file system lists them.
        Set<Path> jars = new TreeSet<>(Set.of(jar));
        try (DirectoryStream<Path> libraries =
                Files.newDirectoryStream(jar.resolveSibling("lib"), "*.jar")) {
            libraries.forEach(jars::add);
        }
        URL[] urls =
                jars.stream()
                        .map(Path::toFile)
                        .map(File::toURI)
                        .map(Main::toUrl)
                        .toArray(URL[]::new);
        return new URLClassLoader("all", urls, ClassLoader.getPlatformClassLoader());
    }

    private static URL toUrl(URI uri) {
        try {
            return uri.toURL();
        } catch (MalformedURLException e) {
            throw new IllegalStateException(e);
        }
    }
}
