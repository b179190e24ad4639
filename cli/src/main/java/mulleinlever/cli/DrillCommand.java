package mulleinlever.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import mulleinlever.drill.DrillInputException;
import mulleinlever.drill.DrillSession;
import picocli.CommandLine.Command;

/** Runs the decision logic alone, driven by the simulator over standard input and output. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = "Reads a simulator session from standard input and prints the replies.")
final class DrillCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        try {
            new DrillSession(System.in, System.out).run();
            return 0;
        } catch (DrillInputException e) {
            System.err.println(e.getMessage());
            return 2;
        }
    }
}
