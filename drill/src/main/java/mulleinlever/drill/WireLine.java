package mulleinlever.drill;

import mulleinlever.settings.FieldReader;

/** One line of the simulator's protocol: a message type and {@code name=value} fields. */
final class WireLine extends FieldReader {
    final long lineNumber;
    final String messageType;
    private final String[] tokens;

    WireLine(long lineNumber, String text) {
        this.lineNumber = lineNumber;
        this.tokens = text.split("\t", -1);
        this.messageType = tokens[0];
    }

    /** Returns the exception to throw if the message as a whole is invalid. */
    DrillInputException lineError(String expected) {
        return new DrillInputException(lineNumber, messageType + " " + expected);
    }

    @Override
    public DrillInputException fieldError(String name, String expected) {
        return lineError(
                expected == null ? "needs the field " + name : "needs " + expected + " in " + name);
    }

    @Override
    protected String findValue(String name) {
        for (int i = 1; i < tokens.length; i++) {
            String token = tokens[i];
            if (token.length() > name.length()
                    && token.charAt(name.length()) == '='
                    && token.startsWith(name)) {
                return token.substring(name.length() + 1);
            }
        }
        return null;
    }
}
