/** Command-line tools that measure the program: benchmarks in emulated fleets and log analysis. */
package mulleinlever.lab;
