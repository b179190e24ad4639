package mulleinlever.drill;

import mulleinlever.settings.FieldReader;

/** One line of the wire: its message and the fields behind it. */
final class WireLine extends FieldReader {
    final long lineNumber;
    final String messageType;
    private final String[] parts;

    WireLine(long no, String text) {
        this.lineNumber = no;
        this.parts = text.split("\t", -1);
        this.messageType = parts[0];
    }

    DrillInputException lineError(String expected) {
        return new DrillInputException(lineNumber, messageType + " " + expected);
    }

    @Override
    public DrillInputException fieldError(String name, String needs) {
        return lineError(
                needs == null ? "needs the field " + name : "needs " + needs + " in " + name);
    }

    @Override
    protected String findValue(String name) {
        for (int i = 1; i < parts.length; i++) {
            String p = parts[i];
            if (p.length() > name.length()
                    && p.charAt(name.length()) == '='
                    && p.startsWith(name)) {
                return p.substring(name.length() + 1);
            }
        }
        return null;
    }
}
