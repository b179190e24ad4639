package mulleinlever.sidecar;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Runs a sidecar process for the tests of this module, which does not depend on the command line
 * module. The arguments are {@code serve [--with FILE]}.
 */
final class ServeMain {
    private ServeMain() {}

    public static void main(String[] args) throws InterruptedException {
        List<Path> featureFiles =
                Arrays.stream(args).skip(1).filter(a -> !a.equals("--with")).map(Path::of).toList();
        System.exit(SidecarServer.run(System.getenv(), featureFiles));
    }
}
