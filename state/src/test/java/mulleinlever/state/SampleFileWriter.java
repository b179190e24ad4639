package mulleinlever.state;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes the file that is kept of the format at hand, once, when it lands: {@code SampleFileWriter
 * FOLDER}.
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
