package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import mulleinlever.Req;
import mulleinlever.Settings;

/**
 * Recognizes reqs among the clients' queries. A valid req is registered in the {@link ReqRegistry}
 * and passed to the {@link SidecarPolicyActions}; any other query is answered here. Called by the
 * event loop only.
 */
final class QueryHandler {
    private final Map<String, Settings.RouteSettings> routesByName;
    private final ReqRegistry reqRegistry;
    private final SidecarPolicyActions policyActions;

    QueryHandler(Settings settings, ReqRegistry reqRegistry, SidecarPolicyActions policyActions) {
        this.routesByName =
                settings.routes().stream()
                        .collect(
                                Collectors.toMap(
                                        Settings.RouteSettings::name, Function.identity()));
        this.reqRegistry = reqRegistry;
        this.policyActions = policyActions;
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
        Statement statement = Statement.parse(query);
        Settings.RouteSettings routeSettings =
                statement == null ? null : routesByName.get(statement.route);
        PendingCommand command =
                routeSettings == null ? null : new PendingCommand(client, statement);
        if (command == null || !reqRegistry.register(command)) {
            query.release();
            String reason =
                    statement == null
                            ? "no req: the comment with id, c and d is missing"
                            : routeSettings == null ? "no such route" : "this id is in hand";
            client.respond(
                    PostgresMessages.errorResponse(PostgresMessages.SYNTAX_ERROR, reason, 0, true));
            return;
        }
        command.latencyObjectiveNs = routeSettings.latencyObjectiveNs();
        long fullTimeoutNs =
                statement.clientTimeoutMs < 0
                        ? routeSettings.timeoutNs()
                        : statement.clientTimeoutMs * 1_000_000L;
        long clientTimeoutNs = Math.max(0, fullTimeoutNs - waitedNs);
        command.clientTimeoutNs = clientTimeoutNs;
        client.enqueue(command);
        policyActions.submitReq(
                new Req(
                        statement.id,
                        statement.route,
                        statement.isClientRetry,
                        statement.isWrite(),
                        clientTimeoutNs,
                        0,
                        statement.key(),
                        statement.tenant));
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
