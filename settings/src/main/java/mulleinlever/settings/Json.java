package mulleinlever.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON: objects become maps, arrays lists, strings strings, all else a {@link Literal}. */
public final class Json {
    /** A number, true, false or null, as it was written. */
    public record Literal(String text) {
        @Override
        public String toString() {
            return text;
        }
    }

    /** Against input made to exhaust the stack. */
    private static final int DEEPEST = 40;

    private final String in;
    private int at;

    private Json(String in) {
        this.in = in;
    }

    public static Object parse(String text) {
        Json j = new Json(text);
        Object value = j.value(0);
        j.blank();
        if (j.at < text.length()) {
            throw j.bad("the end");
        }
        return value;
    }

    private Object value(int depth) {
        blank();
        if (depth > DEEPEST) {
            throw bad("fewer levels");
        }
        return switch (peek()) {
            case '{' -> object(depth);
            case '[' -> array(depth);
            case '"' -> string();
            default -> bare();
        };
    }

    private Map<String, Object> object(int depth) {
        Map<String, Object> all = new LinkedHashMap<>();
        at++;
        if (taken('}')) {
            return all;
        }
        do {
            blank();
            if (peek() != '"') {
                throw bad("a name");
            }
            String name = string();
            if (!taken(':')) {
                throw bad(":");
            }
            all.put(name, value(depth + 1));
        } while (taken(','));
        if (!taken('}')) {
            throw bad("}");
        }
        return all;
    }

    private List<Object> array(int depth) {
        List<Object> all = new ArrayList<>();
        at++;
        if (taken(']')) {
            return all;
        }
        do {
            all.add(value(depth + 1));
        } while (taken(','));
        if (!taken(']')) {
            throw bad("]");
        }
        return all;
    }

    private String string() {
        int from = ++at;
        while (peek() != '"' && peek() != '\\') {
            at++;
        }
        if (peek() == '"') {
            return in.substring(from, at++);
        }
        StringBuilder s = new StringBuilder(in.substring(from, at));
        while (peek() != '"') {
            s.append(peek() == '\\' ? escaped() : peek());
            at++;
        }
        at++;
        return s.toString();
    }

    private char escaped() {
        at++;
        return switch (peek()) {
            case 'n' -> '\n';
            case 't' -> '\t';
            case 'r' -> '\r';
            case 'b' -> '\b';
            case 'f' -> '\f';
            case 'u' -> {
                if (at + 5 > in.length()) {
                    throw bad("four hex digits");
                }
                try {
                    char c = (char) Integer.parseInt(in.substring(at + 1, at + 5), 16);
                    at += 4;
                    yield c;
                } catch (NumberFormatException e) {
                    throw bad("four hex digits");
                }
            }
            case '"', '\\', '/' -> peek();
            default -> throw bad("a known escape");
        };
    }

    private Literal bare() {
        int from = at;
        while (at < in.length() && ",:]}[{\" \t\r\n".indexOf(in.charAt(at)) < 0) {
            at++;
        }
        String text = in.substring(from, at);
        if (!text.matches("true|false|null|-?\\d+(\\.\\d+)?([eE][-+]?\\d+)?")) {
            at = from;
            throw bad("a value");
        }
        return new Literal(text);
    }

    private char peek() {
        if (at >= in.length()) {
            throw bad("more");
        }
        return in.charAt(at);
    }

    private boolean taken(char c) {
        blank();
        boolean there = at < in.length() && in.charAt(at) == c;
        at += there ? 1 : 0;
        return there;
    }

    private void blank() {
        while (at < in.length() && " \t\r\n".indexOf(in.charAt(at)) >= 0) {
            at++;
        }
    }

    private InvalidInputException bad(String expected) {
        return new InvalidInputException("JSON: expected " + expected + " at character " + at);
    }
}
