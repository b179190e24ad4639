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
 * Where the program starts. A bare "serve" runs on the class path alone, which holds what the
 * daemon needs; any other line is read by a parser, and may ask for libraries that lie beside the
 * jar but not on that path. There each of them would keep a descriptor open, and the parser alone
 * makes the first answer 0.13 s later and 8 MB more resident, which is dear where a sidecar may
 * have 32 MB.
 *
 * <p>Exit codes: 0 done, 1 a fault of ours, 2 faulty arguments, configuration or input.
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
     * The one that knows the parser already, as in tests; else a new one over the jar and all
     * beside it.
     */
    private static ClassLoader findClassLoader() throws IOException, URISyntaxException {
        ClassLoader ownLoader = Main.class.getClassLoader();
        if (ownLoader.getResource("picocli/CommandLine.class") != null) {
            return ownLoader;
        }
        Path jar = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        // In the order of their names: which jar a class comes from must not hang on the file
        // system.
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
