package mulleinlever.lab;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The laboratory's command line: what measures the program, and nothing that serves. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Measurements, in emulated fleets and in process.",
        subcommands = {RestartBenchmark.class, FleetLog.class})
public final class Lab implements Runnable {
    @Spec private CommandSpec spec;

    public static void main(String[] args) {
        System.exit(new CommandLine(new Lab()).execute(args));
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a measurement is missing");
    }
}
