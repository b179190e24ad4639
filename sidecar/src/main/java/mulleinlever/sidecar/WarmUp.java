package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import mulleinlever.Settings;
import mulleinlever.ShutdownPolicy;

/**
 * Sends generated reqs through the components of a sidecar before the real ones serve clients. The
 * components are discarded afterwards and their connections stay within the process. Until it is
 * compiled, code runs many times slower: with a fraction of a CPU core, the reqs of the first
 * seconds would be answered seconds late, because of the slow code and of the compilation that it
 * triggers.
 */
final class WarmUp {
    /**
     * The number of reqs: enough to load and mostly compile the code that each req runs through,
     * but no more, since others wait for the sidecar to start.
     */
    static final int REQ_COUNT = 400;

    /** The time after which the warm-up ends even if not all reqs are answered. */
    private static final long MAX_DURATION_NS = 1_500_000_000L;

    private static final int CLIENT_COUNT = 8;

    /** The complete response of the {@link StubPod} to any req. */
    private static final byte[] ROW_RESPONSE = rowResponse();

    private final SidecarConfig config;
    private final Consumer<WarmUp> onFinished;
    private final Clock clock = new Clock();
    private final RateLimitedLog discardingLog =
            new RateLimitedLog(new PrintStream(OutputStream.nullOutputStream()), clock);
    private final NettyTransport transport = new InProcessTransport(discardingLog);
    private final long startNs = clock.nowNs();
    private int sentReqCount;
    private int answeredReqCount;
    private int completedReqCount;
    private boolean finished;

    private WarmUp(SidecarConfig config, Consumer<WarmUp> onFinished) {
        this.config = config;
        this.onFinished = onFinished;
    }

    /**
     * Runs the warm-up.
     *
     * @param onFinished called once, on the warm-up's own thread
     */
    static void run(SidecarConfig config, Consumer<WarmUp> onFinished) {
        WarmUp warmUp = new WarmUp(config, onFinished);
        warmUp.transport.schedule(MAX_DURATION_NS, warmUp::finish);
        warmUp.transport.execute(warmUp::start);
    }

    /** Returns the number of reqs that were answered with a row. */
    int completedReqCount() {
        return completedReqCount;
    }

    @Override
    public String toString() {
        return completedReqCount
                + " warm-up reqs completed in "
                + (clock.nowNs() - startNs) / 1_000_000
                + " ms";
    }

    private void start() {
        SidecarComponents components =
                new SidecarComponents(
                        config,
                        transport,
                        clock,
                        discardingLog,
                        new Lifecycle(discardingLog, new ShutdownPolicy(0)));
        components.policy.onPodListConfirmed(clock.nowNs());
        Set<String> podAddresses =
                new TreeSet<>(config.initialPodList().addressesByPodId().values());
        for (String hostPort : podAddresses) {
            InetSocketAddress address = SocketAddresses.parse(hostPort);
            if (address != null) {
                transport.bind(address, StubPod::new);
            }
        }
        components.clientConnections.setListener(
                transport.bind(config.listenAddress(), components::newClientHandler).channel());
        for (int i = 0; i < CLIENT_COUNT; i++) {
            transport.connect(
                    config.listenAddress(),
                    MAX_DURATION_NS,
                    new WarmUpClient(),
                    cause -> discardingLog.info("life", cause.toString()));
        }
    }

    private void finish() {
        if (!finished) {
            finished = true;
            transport.close();
            onFinished.accept(this);
        }
    }

    /** A client that sends a req as soon as the one before is answered. */
    private final class WarmUpClient extends ChannelInboundHandlerAdapter {
        private PostgresMessageDecoder decoder;

        /** Whether a req was sent, so that ReadyForQuery ends a response and not the handshake. */
        private boolean reqSent;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            decoder = new PostgresMessageDecoder(ctx.alloc());
            ctx.writeAndFlush(PostgresMessages.startupMessage());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            decoder.addBytes((ByteBuf) msg);
            while (decoder.nextMessage(true)) {
                if (decoder.messageType == 'D') {
                    completedReqCount++;
                } else if (decoder.messageType == 'Z') {
                    answeredReqCount += reqSent ? 1 : 0;
                    if (answeredReqCount == REQ_COUNT) {
                        finish();
                    } else if (sentReqCount < REQ_COUNT) {
                        sendReq(ctx);
                    }
                }
            }
        }

        private void sendReq(ChannelHandlerContext ctx) {
            reqSent = true;
            List<Settings.RouteSettings> routes = config.settings().routes();
            Settings.RouteSettings route = routes.get(sentReqCount++ % routes.size());
            boolean isRead = route.retrySafety() == Settings.RetrySafety.IDEMPOTENT;
            String sql =
                    String.format(
                                    isRead
                                            ? "SELECT payload FROM entries WHERE ref = '%016x'"
                                            : "INSERT INTO entries (ref, payload) VALUES ('%016x', '\\x9f03') RETURNING payload",
                                    sentReqCount % 97)
                            + String.format(
                                    " /* id=%016x,c=%s,t=none,d=%d%s */\0",
                                    sentReqCount,
                                    route.name(),
                                    route.timeoutNs() / 1_000_000,
                                    isRead ? "" : ",k=5c0f6e1a2b3d4c59");
            byte[] bytes = sql.getBytes(StandardCharsets.UTF_8);
            writeLater(
                    ctx,
                    () ->
                            ctx.alloc()
                                    .buffer(bytes.length + 5)
                                    .writeByte('Q')
                                    .writeInt(bytes.length + 4)
                                    .writeBytes(bytes));
        }
    }

    /**
     * Writes a message from a separate task on the event loop. A write within the process is read
     * within the call that writes it, whereas one to a socket is read later.
     */
    private static void writeLater(ChannelHandlerContext ctx, Supplier<ByteBuf> message) {
        ctx.executor().execute(() -> ctx.writeAndFlush(message.get()));
    }

    /** A pod that answers each req at once with the same row. */
    private static final class StubPod extends ChannelInboundHandlerAdapter {
        private PostgresMessageDecoder decoder;
        private boolean startupReceived;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            decoder = new PostgresMessageDecoder(ctx.alloc());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            decoder.addBytes((ByteBuf) msg);
            while (decoder.nextMessage(startupReceived)) {
                boolean isQuery = startupReceived;
                startupReceived = true;
                writeLater(
                        ctx,
                        () ->
                                isQuery
                                        ? ctx.alloc()
                                                .buffer(ROW_RESPONSE.length)
                                                .writeBytes(ROW_RESPONSE)
                                        : PostgresMessages.startupResponse());
            }
        }
    }

    private static byte[] rowResponse() {
        var response = new ByteArrayOutputStream();
        appendMessage(
                response,
                'T',
                new byte[] {
                    0, 1, 'p', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 1
                });
        appendMessage(response, 'D', new byte[] {0, 1, 0, 0, 0, 2, 1, 2});
        appendMessage(response, 'C', "SELECT 1\0".getBytes(StandardCharsets.US_ASCII));
        appendMessage(response, 'Z', new byte[] {'I'});
        return response.toByteArray();
    }

    /** Appends a PostgreSQL message of the given type. */
    private static void appendMessage(ByteArrayOutputStream out, char type, byte[] body) {
        out.write(type);
        out.writeBytes(ByteBuffer.allocate(4).putInt(4 + body.length).array());
        out.writeBytes(body);
    }
}
