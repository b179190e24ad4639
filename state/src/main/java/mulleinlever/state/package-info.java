/**
 * The state that a sidecar saves across restarts: capturing snapshots, storing them in files, and
 * selecting what is still valid after a restart.
 */
package mulleinlever.state;
