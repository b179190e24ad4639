package mulleinlever;

/**
 * A req as it reached the sidecar.
 *
 * @param route the name of its route
 * @param isClientRetry whether the client marked it as a retry
 * @param isWrite not used by the policy
 * @param expiresInNs the time from its arrival until its client leaves
 * @param estimatedWorkNs not used by the policy
 * @param key its key, or -1 if it has none
 * @param tenant its tenant, or null if it has none
 * @param clientId the number of the client connection on which it arrived; 0 if it is not known
 */
public record Req(
        String id,
        String route,
        boolean isClientRetry,
        boolean isWrite,
        long expiresInNs,
        long estimatedWorkNs,
        long key,
        String tenant,
        long clientId) {}
