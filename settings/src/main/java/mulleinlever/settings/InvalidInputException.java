package mulleinlever.settings;

/** Something from outside that can't be read; the message says what and where. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message);
    }
}
