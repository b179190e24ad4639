/** Settings like those of the deployment enrol-bkk. */
final class Enrol {
    private Enrol() {}

    static final String[] ZONES = {"bangna", "rangsit", "salaya"};
    static final String[] ROUTES = {"seat-view", "plan-save", "enrol-confirm"};
    static final int[] TIMEOUT_MS = {5000, 3000, 2500};

    static final String SETTINGS =
            """
            {"rank":0,"balancers":3,"zone":"bangna","zones":["bangna","rangsit","salaya"],
             "discovery":"subscribe","stepNs":5000000,"weights":"nominal",
             "grades":[
              {"name":"seat-view","aimNs":1500000000,"deadlineNs":5000000000,"worth":1.0,"repeat":"safe",
               "keyScope":"all","windowNs":5000000000,"lateWorth":0.2,"streamed":false},
              {"name":"plan-save","aimNs":1200000000,"deadlineNs":3000000000,"worth":3.0,"repeat":"safe",
               "keyScope":"all","windowNs":5000000000,"lateWorth":0.0,"streamed":false},
              {"name":"enrol-confirm","aimNs":600000000,"deadlineNs":2500000000,"worth":3.0,"repeat":"keyed",
               "keyScope":"zone","windowNs":1500000000,"lateWorth":0.2,"streamed":false}],
             "tenants":[],
             "familyInfo":{"control":"majority","replaceMode":"side_by_side","ayesNeeded":2,"votesToRevert":1,
              "holdVotes":0,"bakeNs":1500000000,"movesAfterNs":0,"voteStandsNs":6000000000,"voteWaitNs":2000000000,
              "votesPerS":100.0,"newsPeriodNs":2000000000,"tallyEveryNs":0,"sample":0.2,"complaintShare":0.15,
              "steps":[0.08,0.25,0.6,1.0],"mostShares":[0.136,0.425,1.0,1.0],"windowNs":4000000000,"uncounted":3.0,
              "countedBy":"all","shielded":0,"oneWay":false,"staleBuildPrice":0.35,"damagePrice":5.0},
             "contract":{"answerSlackNs":20000000,"stopSendingWithinNs":250000000,"coldShare":0.3,
              "warmAfterNs":3900000000,"fallMultiple":3.0,"fallNs":1000000000,"askWithinNs":10000000000},
             "policyLimits":{"maxAttempts":6,"maxOpen":20000,"cancel":true,"probes":true,"secondCopies":false,
              "retryAfter":true,"maxRetryAfterNs":1000000000,"streamsPerConn":1,"connectTimeoutNs":250000000,
              "connIdleNs":15000000000},
             "prices":{"crossZone":0.02,"waste":0.08,"probe":0.01,"lateFail":0.08},
             "reporting":{"source":"off"}}
            """;

    /** Returns a statement of a route. */
    static String sql(int route, String id, String ref, long d, String value) {
        String comment = " /* id=" + id + ",c=" + ROUTES[route] + ",d=" + d;
        return route == 0
                ? "SELECT payload FROM entries WHERE ref = '" + ref + "'" + comment + " */"
                : "INSERT INTO entries (ref, payload) VALUES ('" + ref + "', '\\x" + value + "') RETURNING payload" + comment
                        + (route == 2 ? ",k=" + id.substring(8) + id.substring(0, 8) : "") + " */";
    }
}
