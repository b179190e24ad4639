package mulleinlever;

/**
 * A req as it reached the sidecar. {@code key} is -1 and {@code tenant} null where the req has
 * none.
 */
public record Req(
        String id,
        String route,
        boolean isClientRetry,
        boolean isWrite,
        long expiresInNs,
        long estimatedWorkNs,
        long key,
        String tenant) {}
