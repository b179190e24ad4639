/**
 * The decisions of a sidecar as pure classes: routing, retries, load shedding, the lease of the pod
 * list and votes on builds. They do no I/O, read no clock and start no thread; time and random
 * numbers are arguments. {@link mulleinlever.Policy} is the entry point.
 */
package mulleinlever;
