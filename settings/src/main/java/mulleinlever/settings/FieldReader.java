package mulleinlever.settings;

import java.math.BigDecimal;
import java.util.Locale;

/**
 * Named fields, read on demand: those of one line of the wire, or of one object of a configuration.
 */
public abstract class FieldReader {
    /**
     * The field's text, or null where there is none; lists of plain values are joined by commas.
     */
    protected abstract String find(String name);

    /** The fault to throw: which field, and what it needs to hold; null where it is missing. */
    public abstract RuntimeException bad(String name, String needs);

    public final boolean has(String name) {
        return find(name) != null;
    }

    public final String text(String name) {
        String v = find(name);
        if (v == null) {
            throw bad(name, null);
        }
        return v;
    }

    public final String text(String name, String absent) {
        String v = find(name);
        return v == null ? absent : v;
    }

    public final long whole(String name) {
        return parseWhole(name, text(name));
    }

    public final long whole(String name, long absent) {
        String v = find(name);
        return v == null ? absent : parseWhole(name, v);
    }

    public final int count(String name) {
        long v = whole(name);
        if (v < Integer.MIN_VALUE || v > Integer.MAX_VALUE) {
            throw bad(name, "a smaller number");
        }
        return (int) v;
    }

    public final double number(String name, double absent) {
        String v = find(name);
        return v == null ? absent : parseNumber(name, v);
    }

    public final double parseNumber(String name, String v) {
        try {
            double x = Double.parseDouble(v);
            if (!Double.isNaN(x)) {
                return x;
            }
        } catch (NumberFormatException e) {
            throw bad(name, "a number");
        }
        throw bad(name, "a number");
    }

    public final boolean flag(String name, boolean absent) {
        String v = find(name);
        if (v == null) {
            return absent;
        }
        return switch (v) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw bad(name, "1 or 0");
        };
    }

    public final <E extends Enum<E>> E word(String name, Class<E> type) {
        String v = text(name);
        try {
            return Enum.valueOf(type, v.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw bad(name, "a known word");
        }
    }

    private long parseWhole(String name, String v) {
        try {
            return v.indexOf('.') < 0 ? Long.parseLong(v) : new BigDecimal(v).longValueExact();
        } catch (NumberFormatException | ArithmeticException e) {
            throw bad(name, "a whole number");
        }
    }
}
