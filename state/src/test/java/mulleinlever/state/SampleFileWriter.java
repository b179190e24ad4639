package mulleinlever.state;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes the sample file of the current format version, {@code format-N.mls}, to a directory given
 * as argument. It is run once for each format version; the file then stays among the test
 * resources, so that tests show that later programs can still read it.
 */
final class SampleFileWriter {
    private SampleFileWriter() {}

    public static void main(String[] args) throws IOException {
        Files.write(
                Path.of(args[0], "format-" + StateFileFormat.FORMAT_VERSION + ".mls"),
                StateFileFormat.encode(
                        SampleSnapshots.snapshot(StateFileFormat.FORMAT_VERSION, 12)));
    }
}
