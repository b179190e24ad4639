/**
 * The sidecar on real sockets: the connections to clients, pods, discovery and the release
 * platform, and the process around them. Everything runs on one event loop unless a type says
 * otherwise.
 */
package mulleinlever.sidecar;
