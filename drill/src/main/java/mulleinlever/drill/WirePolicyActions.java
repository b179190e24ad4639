package mulleinlever.drill;

import mulleinlever.PolicyActions;
import mulleinlever.RolloutVote;

/** Writes the actions of one sidecar's policy as messages of the simulator's protocol. */
final class WirePolicyActions implements PolicyActions {
    private final DrillSession session;
    private final String sidecarId;

    WirePolicyActions(DrillSession session, String sidecarId) {
        this.session = session;
        this.sidecarId = sidecarId;
    }

    @Override
    public void startTry(String reqId, String podId, long writeWithinNs, long timeoutNs) {
        output().append("RELAY\tticket=")
                .append(reqId)
                .append("\tpod=")
                .append(podId)
                .append("\tlimitNs=")
                .append(timeoutNs)
                .append('\n');
    }

    @Override
    public void shedReq(String reqId, long backoffNs) {
        output().append("SHED\tticket=")
                .append(reqId)
                .append("\tbackoffNs=")
                .append(backoffNs)
                .append('\n');
    }

    @Override
    public void failReq(String reqId) {
        output().append("LOSE\tticket=").append(reqId).append('\n');
    }

    @Override
    public void cancelTry(String reqId, int tryNumber) {
        output().append("REVOKE\tticket=")
                .append(reqId)
                .append("\tsendNo=")
                .append(tryNumber)
                .append('\n');
    }

    @Override
    public void castVote(int build, int stage, RolloutVote vote) {
        output().append("SAY_SO\tbuildNo=")
                .append(build)
                .append("\tstep=")
                .append(stage)
                .append("\thow=")
                .append(vote.ordinal())
                .append('\n');
    }

    @Override
    public void watchPodList() {
        output().append("KEEP_INFORMED\ton=1\n");
    }

    @Override
    public void scheduleTimer(long atNs, String token) {
        output().append("NOTIFY_ME\tatNs=")
                .append(atNs)
                .append("\tnonce=")
                .append(token)
                .append('\n');
    }

    @Override
    public void log(String message) {
        output().append("PRINT\tnoteText=").append(toSingleLine(message)).append('\n');
    }

    /** Returns a text with tabs and line breaks, which separate fields and messages, as spaces. */
    static String toSingleLine(String text) {
        return text.replaceAll("[\\t\\r\\n]+", " ");
    }

    private StringBuilder output() {
        return session.outputFor(sidecarId);
    }
}
