package mulleinlever;

/** An upstream try: where it went, when, and whether the pod was warm and connected then. */
record Try(Pod pod, long sentNs, boolean warm, int build, boolean linked) {}
