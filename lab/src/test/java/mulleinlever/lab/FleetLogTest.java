package mulleinlever.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@link FleetLog} on the logs of two sidecars. */
class FleetLogTest {
    /**
     * Guards against summing and ordering lines by the time since the start of each sidecar: the
     * lines of n1 begin with a time of the log collector, and n1 started later than n2.
     */
    @Test
    void sumsCountsPerSecondAndListsOneReqInTimeOrder(@TempDir Path folder) throws IOException {
        Files.writeString(
                folder.resolve("n1.log"),
                """
                7.020    1.010 life: serving
                8.500    2.490 count: in=3 completed=2 try_ok=2 clients=4 links=2 room=8.0 open=1 ease=0.10
                8.600    2.590 req: 00aa shed after 12 ms; s-1 at 0 timeout
                """);
        Files.writeString(
                folder.resolve("n2.log"),
                """
                   8.100 count: in=1 completed=1 try_ok=1 clients=2 links=4 room=4.0 open=0 ease=0.30
                   8.200 req: 00aa errored after 3 ms
                not a log line
                """);
        Files.writeString(folder.resolve("other.txt"), "8.1 count: in=100");
        var out = new ByteArrayOutputStream();
        FleetLog.read(folder, null).printTable(new PrintStream(out, true));
        List<String> rows =
                out.toString().lines().map(l -> l.trim().replaceAll("\\s+", " ")).toList();
        assertEquals(
                List.of(
                        "second said_life sidecars in completed try_ok clients links room open ease said_req",
                        "7 1 0 0 0 0 0.00 0.00 0.00 0.00 0.00 0",
                        "8 0 2 4 3 3 3.00 3.00 6.00 0.50 0.20 2"),
                rows);
        assertEquals(
                List.of(
                        "    8.200 n2 req: 00aa errored after 3 ms",
                        "    8.600 n1 req: 00aa shed after 12 ms; s-1 at 0 timeout"),
                FleetLog.read(folder, "00aa").reqTimeline());
    }
}
