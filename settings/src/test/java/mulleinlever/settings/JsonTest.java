package mulleinlever.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Writes generated values as JSON and parses them. Guards against values that change on the way,
 * against truncated text that is accepted, and against a stack overflow on deeply nested text.
 */
class JsonTest {
    private static final int ROUND_COUNT = 300;

    /** Returns a value as JSON, with white space in unusual but valid places. */
    private static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> members = new ArrayList<>();
            map.forEach((k, v) -> members.add(write(k) + " : " + write(v)));
            return "{" + String.join(" ,", members) + "}";
        }
        if (value instanceof List<?> list) {
            return "[ " + String.join(",", list.stream().map(JsonTest::write).toList()) + "]";
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

    /** Returns a random value; containers end below a depth of 4. */
    private static Object generate(SplittableRandom random, int depth) {
        int choice = random.nextInt(4);
        switch (random.nextInt(depth > 3 ? 2 : 4)) {
            case 0:
                return new Json.Literal(List.of("1", "-2.5e3", "true", "null").get(choice));
            case 1:
                return List.of("", "a\\b", "\"", "line\nline").get(choice);
            case 2:
                List<Object> elements = new ArrayList<>();
                while (choice-- > 0) {
                    elements.add(generate(random, depth + 1));
                }
                return elements;
            default:
                Map<String, Object> members = new LinkedHashMap<>();
                while (choice-- > 0) {
                    members.put("k" + choice + "\"", generate(random, depth + 1));
                }
                return members;
        }
    }

    @Test
    void parsesGeneratedValuesAndRejectsTruncatedText() {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < ROUND_COUNT; round++) {
            Object value = List.of(generate(random, 0));
            String text = write(value);
            assertEquals(value, Json.parse(" " + text + "\n"));
            String truncated = text.substring(0, random.nextInt(text.length()));
            assertThrows(InvalidInputException.class, () -> Json.parse(truncated));
        }
        assertThrows(InvalidInputException.class, () -> Json.parse("[".repeat(5000)));
    }
}
