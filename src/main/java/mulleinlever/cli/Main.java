package mulleinlever.cli;

import java.io.IOException;
import mulleinlever.drill.BadInput;
import mulleinlever.drill.Drill;

/** The command line. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: java -jar mulleinlever.jar drill");
            System.exit(2);
        }
        try {
            new Drill(System.in, System.out).run();
        } catch (BadInput e) {
            System.err.println(e.getMessage());
            System.exit(2);
        }
    }
}
