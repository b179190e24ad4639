package mulleinlever.cli;

import mulleinlever.settings.Version;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The program without a command: reports that one is missing and prints the usage. */
@Command(
        name = "mulleinlever",
        mixinStandardHelpOptions = true,
        versionProvider = RootCommand.VersionProvider.class,
        description = "Routes reqs to pods and votes on staged rollouts.",
        subcommands = {ServeCommand.class, DrillCommand.class, StateCommand.class})
final class RootCommand implements Runnable {
    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Provides the text that {@code --version} prints. */
    static final class VersionProvider implements IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {"mulleinlever " + Version.VERSION};
        }
    }
}
