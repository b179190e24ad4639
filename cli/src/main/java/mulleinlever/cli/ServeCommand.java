package mulleinlever.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import mulleinlever.sidecar.SidecarServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one sidecar until it is terminated. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Runs one sidecar with the configuration file that LB_CONFIG names, until SIGTERM.")
final class ServeCommand implements Callable<Integer> {
    @Option(
            names = "--with",
            paramLabel = "FILE",
            description = "A TOML file that enables optional features; may be given several times.")
    private List<Path> settingsFiles = List.of();

    @Override
    public Integer call() throws InterruptedException {
        return SidecarServer.run(System.getenv(), settingsFiles);
    }
}
