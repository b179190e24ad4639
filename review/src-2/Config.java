/** The configuration of a small deployment, as nested JSON with the names of the platform. */
final class Config {
    String name = "n0";
    int port;
    String discoveryAddress;
    String platformAddress;
    String news;
    String known;
    int memoryMb = 192;
    int sockets = 1024;
    int rank = 0;
    int balancers = 3;
    String zone = "a";
    String zones = "\"a\",\"b\",\"c\"";
    String discovery = "automatic";
    String grades;
    boolean oneWay = false;
    int ayesNeeded = 2;
    int votesToRevert = 1;
    double uncounted = 3;
    String mostShares = "0.07,0.28,0.7,1.0";
    int drainGraceMs = 500;
    int windowMs = 4000;
    int bakeMs = 1500;
    boolean hedges = true;
    int maxAttempts = 6;
    double coldShare = 0.33;
    int warmAfterMs = 4800;
    int fallMultiple = 2;

    static String grade(
            String name, int aimMs, int deadlineMs, double worth, String repeat, String scope,
            int windowMs) {
        return String.format(
                "{\"name\":\"%s\",\"aimNs\":%d000000,\"deadlineNs\":%d000000,\"worth\":%s,"
                        + "\"repeat\":\"%s\",\"keyScope\":\"%s\",\"windowNs\":%d000000,"
                        + "\"lateWorth\":0.0,\"streamed\":false}",
                name, aimMs, deadlineMs, worth, repeat, scope, windowMs);
    }

    @Override
    public String toString() {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\","
                + "\"discovery\":\"" + discoveryAddress + "\","
                + "\"seed\":\"" + Long.toHexString(System.nanoTime() * 0x9E3779B97F4A7C15L) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets
                + "},\"release_api\":{\"address\":\"" + platformAddress + "\",\"news\":" + news
                + "},\"known\":" + known + ",\"settings\":{\"rank\":" + rank + ",\"balancers\":"
                + balancers + ",\"zone\":\"" + zone + "\",\"zones\":[" + zones + "],"
                + "\"discovery\":\"" + discovery + "\",\"stepNs\":5000000,\"layer\":0,"
                + "\"weights\":\"nominal\",\"worthBy\":\"request\",\"grades\":[" + grades + "],"
                + "\"familyInfo\":{\"control\":\"majority\",\"countedBy\":\"all\",\"ayesNeeded\":"
                + ayesNeeded + ",\"votesToRevert\":" + votesToRevert + ",\"bakeNs\":" + bakeMs
                + "000000,\"voteStandsNs\":4000000000,\"voteWaitNs\":1200000000,"
                + "\"votesPerS\":100.0,\"newsPeriodNs\":2000000000,\"steps\":[0.05,0.2,0.5,1.0],"
                + "\"mostShares\":[" + mostShares + "],\"windowNs\":" + windowMs + "000000,"
                + "\"uncounted\":" + uncounted + ",\"oneWay\":" + oneWay + ",\"shielded\":0,"
                + "\"replaceMode\":\"side_by_side\",\"warmKeys\":true},"
                + "\"contract\":{\"answerSlackNs\":20000000,\"askWithinNs\":10000000000,"
                + "\"stopSendingWithinNs\":" + drainGraceMs + "000000,\"coldShare\":" + coldShare
                + ",\"warmAfterNs\":" + warmAfterMs + "000000,\"fallMultiple\":" + fallMultiple
                + ",\"fallNs\":1000000000},\"policyLimits\":{\"maxAttempts\":" + maxAttempts
                + ",\"cancel\":true,\"probes\":true,\"secondCopies\":" + hedges
                + ",\"retryAfter\":true,\"maxRetryAfterNs\":1000000000,"
                + "\"connectTimeoutNs\":250000000,\"connIdleNs\":30000000000,\"maxOpen\":20000},"
                + "\"prices\":{\"crossZone\":0.04}}}";
    }
}
