package mulleinlever.drill;

/** A line of the wire that can't be read; the message names the line and what was expected. */
public final class DrillInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    DrillInputException(long lineNumber, String expected) {
        super("line " + lineNumber + ": " + expected);
    }
}
