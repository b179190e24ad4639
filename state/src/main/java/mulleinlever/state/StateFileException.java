package mulleinlever.state;

/**
 * A file that is not taken, and why; the message names the file and, where there is one, the place
 * in it.
 */
public final class StateFileException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The kinds, each with the exit code by which scripts can tell it. */
    public enum Kind {
        /** Not there, or the system refuses to read it. */
        UNREADABLE(3),
        /** Something else than a file of state. */
        NOT_A_STATE_FILE(4),
        /** Of a later format than this program knows. */
        UNSUPPORTED_VERSION(5),
        /** It ends too soon. */
        TRUNCATED(6),
        /** A checksum differs, or what is read makes no sense. */
        CORRUPT(7),
        /** Longer than what is taken. */
        TOO_LARGE(8);

        public final int exitCode;

        Kind(int exitCode) {
            this.exitCode = exitCode;
        }
    }

    public final transient Kind kind;

    StateFileException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }
}
