package mulleinlever.sidecar;

import java.util.List;

/** Serves in a process of its own, where the command line is not on the class path. */
final class ServeMain {
    private ServeMain() { }

    public static void main(String[] args) throws InterruptedException {
        System.exit(Serve.run(System.getenv(), List.of()));
    }
}
