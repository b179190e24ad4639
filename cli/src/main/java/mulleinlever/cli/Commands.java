package mulleinlever.cli;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileSystemException;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import picocli.CommandLine;

/** All lines but a bare "serve". */
public final class Commands {
    private Commands() {}

    /** Runs one line; the exit code. */
    public static int run(String[] args) {
        return createCommandLine().execute(args);
    }

    /** What a file refuses is told in one line; any other fault is ours, and told whole. */
    static CommandLine createCommandLine() {
        return new CommandLine(new RootCommand())
                .setExecutionExceptionHandler(
                        (e, at, parsed) -> {
                            if (!(e instanceof IOException)) {
                                throw e;
                            }
                            at.getErr().println(describe((IOException) e));
                            return 1;
                        });
    }

    private static String describe(IOException e) {
        if (!(e instanceof FileSystemException fileFault)) {
            return String.valueOf(e.getMessage());
        }
        String reason =
                e instanceof NoSuchFileException
                        ? "no such file or folder"
                        : e instanceof NotDirectoryException
                                ? "not a folder"
                                : e instanceof AccessDeniedException
                                        ? "access denied"
                                        : String.valueOf(fileFault.getReason());
        return fileFault.getFile() + ": " + reason;
    }
}
