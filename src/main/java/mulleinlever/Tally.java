package mulleinlever;

/** What the platform counted for one build and route in a past period. */
public record Tally(int build, String route, int count, int failed, long meanNs, long ageNs) { }
