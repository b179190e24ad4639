package mulleinlever;

/**
 * A try of a req at a pod.
 *
 * @param wasPodWarm whether the pod was warm enough when the try was sent for the outcome to count
 *     as evidence on its build
 * @param build the build of the pod when the try was sent
 * @param wasConnected whether an open connection to the pod was to be expected when the try was
 *     sent
 */
record Try(Pod pod, long sentNs, boolean wasPodWarm, int build, boolean wasConnected) {}
