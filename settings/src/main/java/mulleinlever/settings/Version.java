package mulleinlever.settings;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** The program's version, which the build writes into {@code version.properties}. */
public final class Version {
    /** The version, such as 1.2.3, or "unknown" if it can't be read. */
    public static final String VERSION = read();

    private Version() {}

    private static String read() {
        Properties properties = new Properties();
        try (InputStream in = Version.class.getResourceAsStream("version.properties")) {
            properties.load(in);
        } catch (IOException e) {
            return "unknown";
        }
        return properties.getProperty("version", "unknown");
    }
}
