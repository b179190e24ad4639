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
    protected abstract String findValue(String name);

    /** The fault to throw: which field, and what it needs to hold; null where it is missing. */
    public abstract RuntimeException fieldError(String name, String needs);

    public final boolean hasField(String name) {
        return findValue(name) != null;
    }

    public final String getString(String name) {
        String v = findValue(name);
        if (v == null) {
            throw fieldError(name, null);
        }
        return v;
    }

    public final String getString(String name, String absent) {
        String v = findValue(name);
        return v == null ? absent : v;
    }

    public final long getLong(String name) {
        return parseWhole(name, getString(name));
    }

    public final long getLong(String name, long absent) {
        String v = findValue(name);
        return v == null ? absent : parseWhole(name, v);
    }

    public final int getInt(String name) {
        long v = getLong(name);
        if (v < Integer.MIN_VALUE || v > Integer.MAX_VALUE) {
            throw fieldError(name, "a smaller number");
        }
        return (int) v;
    }

    public final double getDouble(String name, double absent) {
        String v = findValue(name);
        return v == null ? absent : parseDouble(name, v);
    }

    public final double parseDouble(String name, String v) {
        try {
            double x = Double.parseDouble(v);
            if (!Double.isNaN(x)) {
                return x;
            }
        } catch (NumberFormatException e) {
            throw fieldError(name, "a number");
        }
        throw fieldError(name, "a number");
    }

    public final boolean getBoolean(String name, boolean absent) {
        String v = findValue(name);
        if (v == null) {
            return absent;
        }
        return switch (v) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw fieldError(name, "1 or 0");
        };
    }

    public final <E extends Enum<E>> E getEnum(String name, Class<E> type) {
        String v = getString(name);
        try {
            return Enum.valueOf(type, v.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw fieldError(name, "a known word");
        }
    }

    private long parseWhole(String name, String v) {
        try {
            return v.indexOf('.') < 0 ? Long.parseLong(v) : new BigDecimal(v).longValueExact();
        } catch (NumberFormatException | ArithmeticException e) {
            throw fieldError(name, "a whole number");
        }
    }
}
