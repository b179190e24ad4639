/**
 * An emulation of a fleet in virtual time: pods, clients and sidecars that run the real {@link
 * mulleinlever.Policy}. It is single-threaded, and runs with equal seeds are equal.
 */
package mulleinlever.lab.emu;
