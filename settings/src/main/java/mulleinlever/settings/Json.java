package mulleinlever.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON parser. Objects become {@link Map}s in the order of their members, arrays become {@link
 * List}s, strings become {@link String}s, and all other values become {@link Literal}s. Of members
 * with equal names the last one counts. An instance parses one text and is not shared.
 */
public final class Json {
    /** A number, true, false or null, with the text that it was written as. */
    public record Literal(String text) {
        @Override
        public String toString() {
            return text;
        }
    }

    /** The maximum nesting depth, so that hostile input can't exhaust the stack. */
    private static final int MAX_DEPTH = 40;

    private final String input;

    /** The index of the next character to read. */
    private int position;

    private Json(String input) {
        this.input = input;
    }

    /**
     * Parses a text that holds one JSON value.
     *
     * @throws InvalidInputException if the text is not valid JSON or is nested too deeply
     */
    public static Object parse(String text) {
        Json parser = new Json(text);
        Object value = parser.parseValue(0);
        parser.skipWhitespace();
        if (parser.position < text.length()) {
            throw parser.syntaxError("the end of the text");
        }
        return value;
    }

    private Object parseValue(int depth) {
        skipWhitespace();
        if (depth > MAX_DEPTH) {
            throw syntaxError("fewer nested levels");
        }
        return switch (peek()) {
            case '{' -> parseObject(depth);
            case '[' -> parseArray(depth);
            case '"' -> parseString();
            default -> parseLiteral();
        };
    }

    private Map<String, Object> parseObject(int depth) {
        Map<String, Object> members = new LinkedHashMap<>();
        position++;
        if (consumeIfNext('}')) {
            return members;
        }
        do {
            skipWhitespace();
            if (peek() != '"') {
                throw syntaxError("a member name in quotes");
            }
            String name = parseString();
            if (!consumeIfNext(':')) {
                throw syntaxError(":");
            }
            members.put(name, parseValue(depth + 1));
        } while (consumeIfNext(','));
        if (!consumeIfNext('}')) {
            throw syntaxError("}");
        }
        return members;
    }

    private List<Object> parseArray(int depth) {
        List<Object> elements = new ArrayList<>();
        position++;
        if (consumeIfNext(']')) {
            return elements;
        }
        do {
            elements.add(parseValue(depth + 1));
        } while (consumeIfNext(','));
        if (!consumeIfNext(']')) {
            throw syntaxError("]");
        }
        return elements;
    }

    private String parseString() {
        int start = ++position;
        while (peek() != '"' && peek() != '\\') {
            position++;
        }
        if (peek() == '"') {
            return input.substring(start, position++);
        }
        StringBuilder decoded = new StringBuilder(input.substring(start, position));
        while (peek() != '"') {
            decoded.append(peek() == '\\' ? parseEscape() : peek());
            position++;
        }
        position++;
        return decoded.toString();
    }

    private char parseEscape() {
        position++;
        return switch (peek()) {
            case 'n' -> '\n';
            case 't' -> '\t';
            case 'r' -> '\r';
            case 'b' -> '\b';
            case 'f' -> '\f';
            case 'u' -> {
                if (position + 5 > input.length()) {
                    throw syntaxError("four hex digits");
                }
                try {
                    char c =
                            (char)
                                    Integer.parseInt(
                                            input.substring(position + 1, position + 5), 16);
                    position += 4;
                    yield c;
                } catch (NumberFormatException e) {
                    throw syntaxError("four hex digits");
                }
            }
            case '"', '\\', '/' -> peek();
            default -> throw syntaxError("a valid escape sequence");
        };
    }

    private Literal parseLiteral() {
        int start = position;
        while (position < input.length() && ",:]}[{\" \t\r\n".indexOf(input.charAt(position)) < 0) {
            position++;
        }
        String text = input.substring(start, position);
        if (!text.matches("true|false|null|-?\\d+(\\.\\d+)?([eE][-+]?\\d+)?")) {
            position = start;
            throw syntaxError("a value");
        }
        return new Literal(text);
    }

    private char peek() {
        if (position >= input.length()) {
            throw syntaxError("more text");
        }
        return input.charAt(position);
    }

    private boolean consumeIfNext(char expected) {
        skipWhitespace();
        boolean isNext = position < input.length() && input.charAt(position) == expected;
        position += isNext ? 1 : 0;
        return isNext;
    }

    private void skipWhitespace() {
        while (position < input.length() && " \t\r\n".indexOf(input.charAt(position)) >= 0) {
            position++;
        }
    }

    private InvalidInputException syntaxError(String expected) {
        return new InvalidInputException(
                "JSON: expected " + expected + " at character " + position);
    }
}
