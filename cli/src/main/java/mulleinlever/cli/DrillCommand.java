package mulleinlever.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import mulleinlever.drill.DrillInputException;
import mulleinlever.drill.DrillSession;
import picocli.CommandLine.Command;

/** The decisions alone, on the bench's wire. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description =
                "Reads a session of the bench's wire from standard input and prints the answers.")
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
