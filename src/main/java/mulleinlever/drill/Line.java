package mulleinlever.drill;

import java.util.Locale;

/** One line of the wire: its message and the fields behind it, read on demand. */
final class Line {
    final long no;
    final String message;
    private final String[] parts;

    Line(long no, String text) {
        this.no = no;
        this.parts = text.split("\t", -1);
        this.message = parts[0];
    }

    boolean has(String name) {
        return find(name) != null;
    }

    String text(String name) {
        String v = find(name);
        if (v == null) {
            throw bad("needs the field " + name);
        }
        return v;
    }

    String text(String name, String absent) {
        String v = find(name);
        return v == null ? absent : v;
    }

    long whole(String name) {
        return parseWhole(name, text(name));
    }

    long whole(String name, long absent) {
        String v = find(name);
        return v == null ? absent : parseWhole(name, v);
    }

    int count(String name) {
        long v = whole(name);
        if (v < Integer.MIN_VALUE || v > Integer.MAX_VALUE) {
            throw bad("needs a smaller number in " + name);
        }
        return (int) v;
    }

    double number(String name, double absent) {
        String v = find(name);
        return v == null ? absent : parseNumber(name, v);
    }

    double parseNumber(String name, String v) {
        try {
            double x = Double.parseDouble(v);
            if (!Double.isNaN(x)) {
                return x;
            }
        } catch (NumberFormatException e) {
            throw bad("needs a number in " + name);
        }
        throw bad("needs a number in " + name);
    }

    boolean flag(String name, boolean absent) {
        String v = find(name);
        if (v == null) {
            return absent;
        }
        return switch (v) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw bad("needs 1 or 0 in " + name);
        };
    }

    <E extends Enum<E>> E word(String name, Class<E> type) {
        String v = text(name);
        try {
            return Enum.valueOf(type, v.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw bad("needs a known word in " + name);
        }
    }

    BadInput bad(String expected) {
        return new BadInput(no, message + " " + expected);
    }

    private String find(String name) {
        for (int i = 1; i < parts.length; i++) {
            String p = parts[i];
            if (p.length() > name.length() && p.charAt(name.length()) == '=' && p.startsWith(name)) {
                return p.substring(name.length() + 1);
            }
        }
        return null;
    }

    private long parseWhole(String name, String v) {
        try {
            return Long.parseLong(v);
        } catch (NumberFormatException e) {
            throw bad("needs a whole number in " + name);
        }
    }
}
