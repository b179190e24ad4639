/** Access to a directory of files: on the file system, or in memory with injected faults. */
package mulleinlever.disk;
