package mulleinlever.settings;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Reads the fields of a JSON value parsed by {@link Json}. A field is named by a path of member
 * names and list indexes separated by dots, such as {@code grades.0.name}; the path of a list
 * followed by {@code .count} is the number of its elements. Error messages name the full path.
 */
public final class JsonFieldReader extends FieldReader {
    private final String pathPrefix;
    private final Object root;

    /**
     * @param pathPrefix the text put before each path in error messages
     * @param root the value that paths start from
     */
    public JsonFieldReader(String pathPrefix, Object root) {
        this.pathPrefix = pathPrefix;
        this.root = root;
    }

    /** Returns a reader for the object at a path. */
    public JsonFieldReader getObject(String path) {
        if (!(resolve(path) instanceof Map)) {
            throw fieldError(path, "an object");
        }
        return new JsonFieldReader(pathPrefix + path + ".", resolve(path));
    }

    /** Returns a reader for each element of the list at a path. */
    public List<JsonFieldReader> getObjects(String path) {
        if (!(resolve(path) instanceof List<?> list)) {
            throw fieldError(path, "a list");
        }
        int[] nextIndex = {0};
        return list.stream()
                .map(o -> new JsonFieldReader(pathPrefix + path + "." + nextIndex[0]++ + ".", o))
                .toList();
    }

    @Override
    protected String findValue(String name) {
        Object value = resolve(name);
        if (value == null && name.endsWith(".count")) {
            value = resolve(name.substring(0, name.length() - ".count".length()));
            return value instanceof List<?> list ? String.valueOf(list.size()) : null;
        }
        if (value instanceof List<?> list) {
            return list.stream().map(String::valueOf).collect(Collectors.joining(","));
        }
        return value == null
                        || value instanceof Json.Literal literal && literal.text().equals("null")
                ? null
                : value.toString();
    }

    /** Returns the value at a path, or null if there is none. */
    private Object resolve(String path) {
        Object value = root;
        for (String key : path.split("\\.")) {
            if (value instanceof Map<?, ?> map) {
                value = map.get(key);
            } else if (value instanceof List<?> list && key.matches("\\d{1,6}")) {
                int index = Integer.parseInt(key);
                value = index < list.size() ? list.get(index) : null;
            } else {
                return null;
            }
        }
        return value;
    }

    @Override
    public InvalidInputException fieldError(String name, String expected) {
        return new InvalidInputException(
                pathPrefix + name + (expected == null ? " is missing" : " needs " + expected));
    }
}
