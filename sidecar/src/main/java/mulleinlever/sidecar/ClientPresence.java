package mulleinlever.sidecar;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;
import mulleinlever.ClientPresencePolicy;
import mulleinlever.ClientPresencePolicy.Decision;

/**
 * Tells when one client is last known to have been connected, and lets tries wait until that is
 * recent enough. Called by the event loop only.
 */
final class ClientPresence {
    private final Channel channel;
    private final ReadRounds rounds;
    private final InputEndMonitor inputEnd;
    private final Clock clock;
    private final SidecarMetrics metrics;
    private final ClientProbe probe;

    /** What waits for a decision; empty while there is no check. */
    private List<Runnable> waiting = new ArrayList<>();

    /** When the wait began, in time for which the process ran. */
    private long waitingSinceNs;

    /** The number of rounds of reading since the wait began. */
    private int roundCount;

    /** What has been received of the client's connection. */
    final UnreadInputMonitor input;

    /**
     * @param connectedAtNs a time at which the client had not left, in nanoseconds
     */
    ClientPresence(
            Channel channel,
            ReadRounds rounds,
            InputEndMonitor inputEnd,
            Clock clock,
            SidecarMetrics metrics,
            long connectedAtNs) {
        this.channel = channel;
        this.rounds = rounds;
        this.inputEnd = inputEnd;
        this.clock = clock;
        this.metrics = metrics;
        this.input = new UnreadInputMonitor(rounds, connectedAtNs, clock.nowNs());
        this.probe = new ClientProbe(channel, clock, connectedAtNs);
    }

    /** Returns the time since the client was last known to be connected, in nanoseconds. */
    long unconfirmedNs() {
        return clock.nowNs() - Math.max(input.emptyAtNs(), probe.connectedAtNs());
    }

    private boolean hasLeft() {
        return !channel.isActive();
    }

    /** Decides whether a try for the client may begin now, and counts if not. */
    Decision decide() {
        Decision decision = currentDecision();
        if (decision == Decision.REFUSE && !hasLeft()) {
            metrics.increment(SidecarMetrics.Event.MAY_HAVE_LEFT);
        }
        return decision;
    }

    /** Returns whether a try for the client has to wait. */
    boolean mustWait() {
        return currentDecision() == Decision.WAIT;
    }

    private Decision currentDecision() {
        if (hasLeft()) {
            return Decision.REFUSE;
        }
        long waitedNs = waiting.isEmpty() ? 0 : rounds.runningNs() - waitingSinceNs;
        long behindNs = input.hasEnded() ? 0 : Math.max(inputEnd.unseenRunningNs(), waitedNs);
        return ClientPresencePolicy.decide(unconfirmedNs(), behindNs);
    }

    /**
     * Finds out whether the client is still connected.
     *
     * @param onDecided called once the decision is another than {@link Decision#WAIT}; never within
     *     this call
     */
    void awaitDecision(Runnable onDecided) {
        metrics.increment(SidecarMetrics.Event.PRESENCE_AWAITED);
        waiting.add(onDecided);
        if (waiting.size() == 1) {
            roundCount = 0;
            waitingSinceNs = rounds.runningNs();
            check();
        }
    }

    private void check() {
        if (input.hasEnded()) {
            metrics.increment(SidecarMetrics.Event.PRESENCE_PROBED);
            probe.run(this::onChecked);
        } else {
            long delayNs = ClientPresencePolicy.roundDelayNs(roundCount);
            roundCount++;
            rounds.startRound(delayNs, this::onChecked);
        }
    }

    private void onChecked() {
        if (mustWait()) {
            check();
        } else {
            endWait();
        }
    }

    private void endWait() {
        List<Runnable> released = waiting;
        waiting = new ArrayList<>();
        released.forEach(Runnable::run);
    }

    /**
     * Records that the client has ended its sending. It may have left or still read, which is found
     * out by writing.
     */
    void inputEnded() {
        input.end();
        probe.startSeries();
    }
}
