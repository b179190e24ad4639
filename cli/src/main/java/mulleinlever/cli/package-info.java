/** The command line of the program: its entry point and its commands. */
package mulleinlever.cli;
