package mulleinlever.state;

/**
 * Thrown when a state file can't be used. The message names the file and, if its content is
 * invalid, the byte offset.
 */
public final class StateFileException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The kinds of failures, each with the exit code that reports it to scripts. */
    public enum Kind {
        /** The file does not exist, or reading it failed. */
        UNREADABLE(3),
        /** The file is not a state file. */
        NOT_A_STATE_FILE(4),
        /** The file has a later format version than this program supports. */
        UNSUPPORTED_VERSION(5),
        /** The file ends too early. */
        TRUNCATED(6),
        /** A checksum does not match, or the content is invalid. */
        CORRUPT(7),
        /** The file is longer than the maximum. */
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
