package mulleinlever.cli;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileSystemException;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import picocli.CommandLine;

/**
 * Runs all command lines other than a bare {@code serve}. {@link Main} calls this class by
 * reflection, since it needs libraries that are not on the class path of the program.
 */
public final class Commands {
    private Commands() {}

    /** Runs a command line and returns its exit code. */
    public static int run(String[] args) {
        return createCommandLine().execute(args);
    }

    /**
     * Returns the parser of the command line. An {@link IOException} of a command is reported in
     * one line; any other exception is an internal error and is reported with its stack trace.
     */
    static CommandLine createCommandLine() {
        return new CommandLine(new RootCommand())
                .setExecutionExceptionHandler(
                        (e, commandLine, parseResult) -> {
                            if (!(e instanceof IOException)) {
                                throw e;
                            }
                            commandLine.getErr().println(describe((IOException) e));
                            return 1;
                        });
    }

    /** Returns a one-line message with the file's name for common errors of the file system. */
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
