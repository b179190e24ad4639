package mulleinlever;

/** An upstream try: where it went, when, and whether the pod was warm and connected then. */
record Try(Pod pod, long sentNs, boolean wasPodWarm, int build, boolean wasConnected) {}
