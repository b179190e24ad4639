package mulleinlever.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Generated values, written plainly and read back. */
class JsonTest {
    private static final int ROUNDS = 300;

    private static String written(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> all = new ArrayList<>();
            map.forEach((k, v) -> all.add(written(k) + " : " + written(v)));
            return "{" + String.join(" ,", all) + "}";
        }
        if (value instanceof List<?> list) {
            return "[ " + String.join(",", list.stream().map(JsonTest::written).toList()) + "]";
        }
        return value instanceof Json.Literal
                ? value.toString()
                : "\""
                        + value.toString()
                                .replace("\\", "\\\\")
                                .replace("\"", "\\\"")
                                .replace("\n", "\\u000a")
                        + "\"";
    }

    private static Object generated(SplittableRandom random, int depth) {
        int n = random.nextInt(4);
        switch (random.nextInt(depth > 3 ? 2 : 4)) {
            case 0:
                return new Json.Literal(List.of("1", "-2.5e3", "true", "null").get(n));
            case 1:
                return List.of("", "a\\b", "\"", "line\nline").get(n);
            case 2:
                List<Object> list = new ArrayList<>();
                while (n-- > 0) {
                    list.add(generated(random, depth + 1));
                }
                return list;
            default:
                Map<String, Object> map = new LinkedHashMap<>();
                while (n-- > 0) {
                    map.put("k" + n + "\"", generated(random, depth + 1));
                }
                return map;
        }
    }

    @Test
    void parsesGeneratedValuesAndRejectsTruncatedText() {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < ROUNDS; round++) {
            Object value = List.of(generated(random, 0));
            String text = written(value);
            assertEquals(value, Json.parse(" " + text + "\n"));
            String part = text.substring(0, random.nextInt(text.length()));
            assertThrows(InvalidInputException.class, () -> Json.parse(part));
        }
        assertThrows(InvalidInputException.class, () -> Json.parse("[".repeat(5000)));
    }
}
