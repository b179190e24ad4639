package mulleinlever.drill;

import mulleinlever.settings.FieldReader;

/** One line of the wire: its message and the fields behind it. */
final class WireLine extends FieldReader {
    final long no;
    final String message;
    private final String[] parts;

    WireLine(long no, String text) {
        this.no = no;
        this.parts = text.split("\t", -1);
        this.message = parts[0];
    }

    DrillInputException bad(String expected) {
        return new DrillInputException(no, message + " " + expected);
    }

    @Override
    public DrillInputException bad(String name, String needs) {
        return bad(needs == null ? "needs the field " + name : "needs " + needs + " in " + name);
    }

    @Override
    protected String find(String name) {
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
