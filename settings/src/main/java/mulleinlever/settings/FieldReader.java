package mulleinlever.settings;

import java.math.BigDecimal;
import java.util.Locale;

/**
 * Typed access to named text fields. The fields are those of one line of the simulator's protocol
 * or of one JSON object. A getter throws {@link #fieldError} if a required field is missing or a
 * value is invalid; getters with a default value return it if the field is missing.
 */
public abstract class FieldReader {
    /**
     * Returns the text of a field, or null if it is missing. A list of plain values is returned as
     * its elements joined by commas.
     */
    protected abstract String findValue(String name);

    /**
     * Returns the exception to throw for an invalid field.
     *
     * @param expected a description of the valid values; null if the field is missing
     */
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

    /**
     * Returns a required whole number. A decimal fraction of zero and an exponent behind a decimal
     * point are accepted, such as 5.0 and 1.5e3.
     */
    public final long getLong(String name) {
        return parseLong(name, getString(name));
    }

    public final long getLong(String name, long defaultValue) {
        String value = findValue(name);
        return value == null ? defaultValue : parseLong(name, value);
    }

    /** Returns a required whole number in the range of an {@code int}. */
    public final int getInt(String name) {
        long value = getLong(name);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw fieldError(name, "a 32-bit integer");
        }
        return (int) value;
    }

    public final double getDouble(String name, double defaultValue) {
        String value = findValue(name);
        return value == null ? defaultValue : parseDouble(name, value);
    }

    /**
     * Parses a value of a field, such as an element of a list. Infinities are accepted, NaN is not.
     *
     * @param name the field's name for the error message
     */
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

    /** Returns a flag written as 1, 0, true or false. */
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

    /** Returns the constant of a required field that holds its name in any letter case. */
    public final <E extends Enum<E>> E getEnum(String name, Class<E> type) {
        String value = getString(name);
        try {
            return Enum.valueOf(type, value.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw fieldError(name, "a known value");
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
