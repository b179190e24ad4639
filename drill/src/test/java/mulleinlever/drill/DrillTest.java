package mulleinlever.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the replies of a session and the messages for invalid input. Guards against input that is
 * skipped silently and against errors that do not name the line.
 */
class DrillTest {
    /** Runs a session and returns its output; spaces in the input stand for tabs. */
    private static String runSession(String input) throws IOException {
        var out = new ByteArrayOutputStream();
        var in =
                new ByteArrayInputStream(input.replace(' ', '\t').getBytes(StandardCharsets.UTF_8));
        new DrillSession(in, new PrintStream(out, true, StandardCharsets.UTF_8)).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void repliesToEachBatch() throws IOException {
        assertEquals(
                "EOR\tframe=7\nEOR\tframe=8\n",
                runSession("TICK timeNs=1 frame=7\nEND\nTICK timeNs=2 frame=8\nEND\n"));
    }

    @ParameterizedTest
    @CsvSource({
        "HELLO, line 1: expected TICK",
        "TICK frame=1, line 1: TICK needs the field timeNs",
        "TICK timeNs=x frame=1, line 1: TICK needs a whole number in timeNs",
        "TICK timeNs=1 frame=1, line 2: expected END",
        "TICK timeNs=1 frame=1|HELLO, line 2: no such message: HELLO",
        "TICK timeNs=1 frame=1|ELAPSED nonce=a, line 2: ELAPSED needs an ABOUT line before it",
        "TICK timeNs=1 frame=1|ABOUT sidecarId=s|ELAPSED nonce=a, line 3: ELAPSED names a sidecar that was not started: s",
        "TICK timeNs=1 frame=1|DEFINE_LIST ref=0 members=2|M pod=a state=ready|END, line 4: expected entry 2",
        "TICK timeNs=1 frame=1|DEFINE_LIST ref=0 members=1|M pod=a state=odd, line 3: M needs a known value in state"
    })
    void invalidInputReportsLineNumber(String input, String message) {
        var e = assertThrows(DrillInputException.class, () -> runSession(input.replace('|', '\n')));
        assertTrue(e.getMessage().startsWith(message), e.getMessage());
    }
}
