package mulleinlever.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** What is said without a command: how it is used, and that one is missing. */
@Command(name = "mulleinlever", mixinStandardHelpOptions = true, versionProvider = Root.Version.class,
        description = "Routes reqs to pods and votes on staged releases.",
        subcommands = {ServeCommand.class, DrillCommand.class})
final class Root implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** The version that the build gave, from a resource beside this class. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() throws IOException {
            Properties p = new Properties();
            try (InputStream in = Root.class.getResourceAsStream("version.properties")) {
                p.load(in);
            }
            return new String[] {"mulleinlever " + p.getProperty("version")};
        }
    }
}
