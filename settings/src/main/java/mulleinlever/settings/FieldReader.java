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
    public abstract RuntimeException fieldError(String name, String expected);

    public final boolean hasField(String name) {
        return findValue(name) != null;
    }

    public final String getString(String name) {
        String value = findValue(name);
        if (value == null) {
            throw fieldError(name, null);
        }
        return value;
    }

    public final String getString(String name, String defaultValue) {
        String value = findValue(name);
        return value == null ? defaultValue : value;
    }

    public final long getLong(String name) {
        return parseLong(name, getString(name));
    }

    public final long getLong(String name, long defaultValue) {
        String value = findValue(name);
        return value == null ? defaultValue : parseLong(name, value);
    }

    public final int getInt(String name) {
        long value = getLong(name);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw fieldError(name, "a smaller number");
        }
        return (int) value;
    }

    public final double getDouble(String name, double defaultValue) {
        String value = findValue(name);
        return value == null ? defaultValue : parseDouble(name, value);
    }

    public final double parseDouble(String name, String value) {
        try {
            double number = Double.parseDouble(value);
            if (!Double.isNaN(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw fieldError(name, "a number");
        }
        throw fieldError(name, "a number");
    }

    public final boolean getBoolean(String name, boolean defaultValue) {
        String value = findValue(name);
        if (value == null) {
            return defaultValue;
        }
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw fieldError(name, "1 or 0");
        };
    }

    public final <E extends Enum<E>> E getEnum(String name, Class<E> type) {
        String value = getString(name);
        try {
            return Enum.valueOf(type, value.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw fieldError(name, "a known word");
        }
    }

    private long parseLong(String name, String value) {
        try {
            return value.indexOf('.') < 0
                    ? Long.parseLong(value)
                    : new BigDecimal(value).longValueExact();
        } catch (NumberFormatException | ArithmeticException e) {
            throw fieldError(name, "a whole number");
        }
    }
}
