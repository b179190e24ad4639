package mulleinlever.settings;

/**
 * Thrown if a configuration, a settings file or a message of another process is invalid. The
 * message tells the operator what is wrong and where.
 */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message);
    }
}
