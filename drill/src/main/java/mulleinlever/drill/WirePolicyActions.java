package mulleinlever.drill;

import mulleinlever.PolicyActions;
import mulleinlever.RolloutVote;

/** One sidecar's answers, as messages of the wire. */
final class WirePolicyActions implements PolicyActions {
    private final DrillSession drill;
    private final String sidecar;

    WirePolicyActions(DrillSession drill, String sidecar) {
        this.drill = drill;
        this.sidecar = sidecar;
    }

    @Override
    public void startTry(String rq, String pod, long writeWithinNs, long limitNs) {
        say().append("RELAY\tticket=")
                .append(rq)
                .append("\tpod=")
                .append(pod)
                .append("\tlimitNs=")
                .append(limitNs)
                .append('\n');
    }

    @Override
    public void shedReq(String rq, long backoffNs) {
        say().append("SHED\tticket=")
                .append(rq)
                .append("\tbackoffNs=")
                .append(backoffNs)
                .append('\n');
    }

    @Override
    public void failReq(String rq) {
        say().append("LOSE\tticket=").append(rq).append('\n');
    }

    @Override
    public void cancelTry(String rq, int tryNo) {
        say().append("REVOKE\tticket=").append(rq).append("\tsendNo=").append(tryNo).append('\n');
    }

    @Override
    public void castVote(int build, int stage, RolloutVote verdict) {
        say().append("SAY_SO\tbuildNo=")
                .append(build)
                .append("\tstep=")
                .append(stage)
                .append("\thow=")
                .append(verdict.ordinal())
                .append('\n');
    }

    @Override
    public void watchPodList() {
        say().append("KEEP_INFORMED\ton=1\n");
    }

    @Override
    public void scheduleTimer(long atNs, String token) {
        say().append("NOTIFY_ME\tatNs=").append(atNs).append("\tnonce=").append(token).append('\n');
    }

    @Override
    public void log(String line) {
        say().append("PRINT\tnoteText=").append(toSingleLine(line)).append('\n');
    }

    static String toSingleLine(String text) {
        return text.replaceAll("[\\t\\r\\n]+", " ");
    }

    private StringBuilder say() {
        return drill.outputFor(sidecar);
    }
}
