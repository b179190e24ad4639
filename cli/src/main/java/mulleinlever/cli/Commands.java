package mulleinlever.cli;

import picocli.CommandLine;

/** All lines but a bare "serve". */
public final class Commands {
    private Commands() { }

    /** Runs one line; the exit code. */
    public static int run(String[] args) {
        return new CommandLine(new Root()).execute(args);
    }
}
