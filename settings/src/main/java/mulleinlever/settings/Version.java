package mulleinlever.settings;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** The program's version, as the build wrote it beside this class. */
public final class Version {
    public static final String TEXT = read();

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
