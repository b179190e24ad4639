package mulleinlever.lab;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line of the lab, which measures the program and serves no traffic. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Benchmarks in emulated fleets, and analysis of a fleet's logs.",
        subcommands = {RestartBenchmark.class, FleetLog.class})
public final class Lab implements Runnable {
    @Spec private CommandSpec spec;

    public static void main(String[] args) {
        System.exit(new CommandLine(new Lab()).execute(args));
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "missing subcommand");
    }
}
