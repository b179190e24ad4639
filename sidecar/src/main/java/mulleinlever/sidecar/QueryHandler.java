package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import mulleinlever.ClientPresencePolicy.Decision;
import mulleinlever.Req;
import mulleinlever.Settings;
import mulleinlever.SipHash;

/**
 * Recognizes reqs among the clients' queries. A valid req is registered in the {@link ReqRegistry}
 * and passed to the {@link SidecarPolicyActions}; any other query is answered here. Called by the
 * event loop only.
 */
final class QueryHandler implements ReqRegistry.WaitListener {
    /**
     * How long a req waits for an earlier one with its id that is open, whose client may have
     * disconnected.
     */
    private static final long MAX_OPEN_REQ_WAIT_NS = 50_000_000L;

    private final Map<String, Settings.RouteSettings> routesByName;
    private final NettyTransport transport;
    private final Clock clock;
    private final ReqRegistry reqRegistry;
    private final SidecarPolicyActions policyActions;
    private final Lifecycle lifecycle;
    private final SipHash longIdHash;

    QueryHandler(
            Settings settings,
            NettyTransport transport,
            Clock clock,
            ReqRegistry reqRegistry,
            SidecarPolicyActions policyActions,
            Lifecycle lifecycle,
            SipHash longIdHash) {
        this.transport = transport;
        this.clock = clock;
        this.routesByName =
                settings.routes().stream()
                        .collect(
                                Collectors.toMap(
                                        Settings.RouteSettings::name, Function.identity()));
        this.reqRegistry = reqRegistry;
        this.policyActions = policyActions;
        this.lifecycle = lifecycle;
        this.longIdHash = longIdHash;
    }

    /**
     * Handles one query. A query that isn't a valid req is answered with an error and never
     * forwarded, since no pod would understand it.
     *
     * @param query the query's text with its terminating zero byte; ownership passes to this method
     * @param waitedNs how much of the client's time has passed while the query waited to be read
     */
    void handleQuery(ClientConnection client, ByteBuf query, long waitedNs) {
        if (isBlank(query)) {
            query.release();
            client.respond(PostgresMessages.emptyQueryResponse());
            return;
        }
        Statement statement = Statement.parse(query, longIdHash);
        Settings.RouteSettings routeSettings =
                statement == null ? null : routesByName.get(statement.route);
        if (routeSettings == null) {
            query.release();
            client.respond(
                    syntaxError(
                            statement == null
                                    ? "no req: the comment with id, c and d is missing"
                                    : "no such route"));
            return;
        }
        PendingCommand command = new PendingCommand(client, statement);
        command.latencyObjectiveNs = routeSettings.latencyObjectiveNs();
        long fullTimeoutNs =
                statement.clientTimeoutMs < 0
                        ? routeSettings.timeoutNs()
                        : statement.clientTimeoutMs * 1_000_000L;
        command.clientTimeoutNs = Math.max(0, fullTimeoutNs - waitedNs);
        boolean registered = reqRegistry.register(command);
        client.enqueue(command);
        if (registered) {
            submit(command, command.clientTimeoutNs);
        } else {
            awaitId(command, routeSettings);
        }
    }

    /**
     * Lets a req wait whose id is in use. The client of the earlier one may have disconnected,
     * which is seen a moment later, or tries of it may have to end first.
     */
    private void awaitId(PendingCommand command, Settings.RouteSettings routeSettings) {
        if (!reqRegistry.awaitId(command, this)) {
            onIdInUse(command);
            return;
        }
        transport.schedule(
                MAX_OPEN_REQ_WAIT_NS,
                () -> {
                    if (reqRegistry.waitsForOpenReq(command)) {
                        onIdInUse(command);
                    } else if (!command.outcomeDecided) {
                        transport.schedule(
                                Math.min(command.clientTimeoutNs, routeSettings.timeoutNs())
                                        - MAX_OPEN_REQ_WAIT_NS,
                                () -> endWait(command, routeSettings));
                    }
                });
    }

    @Override
    public void onIdInUse(PendingCommand command) {
        reqRegistry.respondUnregistered(command, syntaxError("this id is in hand"));
    }

    @Override
    public void onRegistered(PendingCommand command) {
        long waitedNs = clock.nowNs() - command.receivedNs;
        submit(command, Math.max(0, command.clientTimeoutNs - waitedNs));
    }

    private static ByteBuf syntaxError(String reason) {
        return PostgresMessages.errorResponse(PostgresMessages.SYNTAX_ERROR, reason, 0, true);
    }

    /**
     * Hands a registered req to the policy, with the time that is left to it. One whose client may
     * have left is not to be sent, nor one that the process can't answer before it ends.
     */
    private void submit(PendingCommand command, long remainingNs) {
        Statement statement = command.statement;
        long timeNs =
                lifecycle.timeForReq(
                        clock.nowNs(),
                        remainingNs,
                        routesByName.get(statement.route).retrySafety());
        Req req =
                new Req(
                        statement.id,
                        statement.route,
                        statement.isClientRetry,
                        statement.isWrite(),
                        timeNs,
                        0,
                        statement.key(),
                        statement.tenant,
                        command.client.id());
        boolean tooLate = remainingNs > 0 && timeNs == 0;
        if (tooLate || command.client.presence().decide() == Decision.REFUSE) {
            policyActions.rejectReq(req);
        } else {
            policyActions.submitReq(req);
        }
    }

    /**
     * Responds to a req that is out of time before the tries of an earlier one with its id have
     * ended. These may run, so only where a repeat is harmless it is shed.
     */
    private void endWait(PendingCommand command, Settings.RouteSettings routeSettings) {
        boolean harmless = routeSettings.retrySafety() == Settings.RetrySafety.IDEMPOTENT;
        reqRegistry.respondUnregistered(
                command,
                harmless
                        ? PostgresMessages.shedResponse()
                        : PostgresMessages.errorResponse(
                                PostgresMessages.INTERNAL_ERROR, "errored", 0, true));
    }

    /** Returns whether the query holds only white space and semicolons, which is an empty query. */
    private static boolean isBlank(ByteBuf query) {
        for (int i = query.readerIndex(); i < query.writerIndex() - 1; i++) {
            if (query.getByte(i) > ' ' && query.getByte(i) != ';') {
                return false;
            }
        }
        return true;
    }
}
