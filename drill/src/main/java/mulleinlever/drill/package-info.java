/**
 * Runs the decision logic alone, driven by a simulator over standard input and output, with neither
 * sockets nor a clock of its own.
 */
package mulleinlever.drill;
