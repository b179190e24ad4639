package mulleinlever.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import mulleinlever.sidecar.SidecarServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** One sidecar, until it is told to stop. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Runs one sidecar with the configuration that LB_CONFIG names, until SIGTERM.")
final class ServeCommand implements Callable<Integer> {
    @Option(
            names = "--with",
            paramLabel = "FILE",
            description =
                    "A TOML file of ours that switches on what is off without it; may be given several times.")
    private List<Path> settingsFiles = List.of();

    @Override
    public Integer call() throws InterruptedException {
        return SidecarServer.run(System.getenv(), settingsFiles);
    }
}
