package mulleinlever.sidecar;

/** Something from outside that can't be read; the message says what and where. */
final class Fault extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Fault(String message) {
        super(message);
    }
}
