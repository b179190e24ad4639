package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import mulleinlever.Req;
import mulleinlever.Settings;

/** Second stage: whether a command is a req, and what it asks for. */
final class QueryHandler {
    private final Map<String, Settings.RouteSettings> routes;
    private final ReqRegistry book;
    private final SidecarPolicyActions route;

    QueryHandler(Settings settings, ReqRegistry book, SidecarPolicyActions route) {
        this.routes =
                settings.routes().stream()
                        .collect(
                                Collectors.toMap(
                                        Settings.RouteSettings::name, Function.identity()));
        this.book = book;
        this.route = route;
    }

    /** Takes over the text. What no pod would understand is turned down here and never sent on. */
    void handleQuery(ClientConnection client, ByteBuf text) {
        if (blank(text)) {
            text.release();
            client.respond(PostgresMessages.emptyQueryResponse());
            return;
        }
        Statement s = Statement.parse(text);
        Settings.RouteSettings row = s == null ? null : routes.get(s.route);
        PendingCommand held = row == null ? null : new PendingCommand(client, s);
        if (held == null || !book.register(held)) {
            text.release();
            String why =
                    s == null
                            ? "no req: the comment with id, c and d is missing"
                            : row == null ? "no such route" : "this id is in hand";
            client.respond(
                    PostgresMessages.errorResponse(PostgresMessages.SYNTAX_ERROR, why, 0, true));
            return;
        }
        held.latencyObjectiveNs = row.latencyObjectiveNs();
        long waitsNs = s.clientTimeoutMs < 0 ? row.timeoutNs() : s.clientTimeoutMs * 1_000_000L;
        held.clientTimeoutNs = waitsNs;
        client.enqueue(held);
        route.submitReq(
                new Req(
                        s.id,
                        s.route,
                        s.isClientRetry,
                        s.isWrite(),
                        waitsNs,
                        0,
                        s.key(),
                        s.tenant));
    }

    private static boolean blank(ByteBuf text) {
        for (int i = text.readerIndex(); i < text.writerIndex() - 1; i++) {
            if (text.getByte(i) > ' ' && text.getByte(i) != ';') {
                return false;
            }
        }
        return true;
    }
}
