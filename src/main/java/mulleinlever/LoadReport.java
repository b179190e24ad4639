package mulleinlever;

/** A pod's own load figures; those it does not report are NaN. */
public record LoadReport(double inFlight, double queued, double busyShare, double meanMs, double perSecond,
        double errorsPerSecond) { }
