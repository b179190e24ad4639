package mulleinlever.state;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes the file that is kept of the format at hand, once, when it lands: {@code WriteSample
 * FOLDER}.
 */
final class WriteSample {
    private WriteSample() {}

    public static void main(String[] args) throws IOException {
        Files.write(
                Path.of(args[0], "format-" + Format.VERSION + ".mls"),
                Format.write(Sample.kept(Format.VERSION, 12)));
    }
}
