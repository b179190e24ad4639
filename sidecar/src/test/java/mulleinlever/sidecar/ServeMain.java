package mulleinlever.sidecar;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Serves in a process of its own, where the command line is not on the class path: "serve [--with
 * FILE]".
 */
final class ServeMain {
    private ServeMain() {}

    public static void main(String[] args) throws InterruptedException {
        List<Path> featureFiles =
                Arrays.stream(args).skip(1).filter(a -> !a.equals("--with")).map(Path::of).toList();
        System.exit(SidecarServer.run(System.getenv(), featureFiles));
    }
}
