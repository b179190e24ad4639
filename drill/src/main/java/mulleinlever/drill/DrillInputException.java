package mulleinlever.drill;

/** Thrown if the simulator's input is invalid. The message names the line and what was expected. */
public final class DrillInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    DrillInputException(long lineNumber, String expected) {
        super("line " + lineNumber + ": " + expected);
    }
}
