package mulleinlever.settings;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The fields of a JSON object, those of objects within it under their path; a fault names the whole
 * path.
 */
public final class JsonFieldReader extends FieldReader {
    private final String where;
    private final Object root;

    public JsonFieldReader(String where, Object root) {
        this.where = where;
        this.root = root;
    }

    /** The object at a path within this one. */
    public JsonFieldReader getObject(String path) {
        if (!(walk(path) instanceof Map)) {
            throw fieldError(path, "an object");
        }
        return new JsonFieldReader(where + path + ".", walk(path));
    }

    /** The objects of the list at a path. */
    public List<JsonFieldReader> getObjects(String path) {
        if (!(walk(path) instanceof List<?> list)) {
            throw fieldError(path, "a list");
        }
        int[] i = {0};
        return list.stream()
                .map(o -> new JsonFieldReader(where + path + "." + i[0]++ + ".", o))
                .toList();
    }

    @Override
    protected String findValue(String name) {
        Object v = walk(name);
        if (v == null && name.endsWith(".count")) {
            v = walk(name.substring(0, name.length() - ".count".length()));
            return v instanceof List<?> list ? String.valueOf(list.size()) : null;
        }
        if (v instanceof List<?> list) {
            return list.stream().map(String::valueOf).collect(Collectors.joining(","));
        }
        return v == null || v instanceof Json.Literal b && b.text().equals("null")
                ? null
                : v.toString();
    }

    private Object walk(String path) {
        Object v = root;
        for (String step : path.split("\\.")) {
            if (v instanceof Map<?, ?> map) {
                v = map.get(step);
            } else if (v instanceof List<?> list && step.matches("\\d{1,6}")) {
                int i = Integer.parseInt(step);
                v = i < list.size() ? list.get(i) : null;
            } else {
                return null;
            }
        }
        return v;
    }

    @Override
    public InvalidInputException fieldError(String name, String needs) {
        return new InvalidInputException(
                where + name + (needs == null ? " is missing" : " needs " + needs));
    }
}
