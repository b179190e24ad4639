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

/**
 * Before the first client comes, reqs of our own pass all stages, on connections that stay within
 * the process and among parts that are thrown away. Code runs many times slower until it is
 * compiled: at a part of a core the reqs of the first seconds, and the compiling that they set off,
 * would come late by seconds.
 */
final class WarmUp {
    /**
     * Enough for what each req passes to be loaded and mostly compiled; no longer, since others
     * wait for us.
     */
    static final int REQ_COUNT = 400;

    private static final long MAX_DURATION_NS = 1_500_000_000L;
    private static final int CLIENT_COUNT = 8;
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

    /** Calls back once, on a thread of its own. */
    static void run(SidecarConfig config, Consumer<WarmUp> onFinished) {
        WarmUp warmUp = new WarmUp(config, onFinished);
        warmUp.transport.schedule(MAX_DURATION_NS, warmUp::finish);
        warmUp.transport.execute(warmUp::start);
    }

    int completedReqCount() {
        return completedReqCount;
    }

    @Override
    public String toString() {
        return completedReqCount
                + " reqs rehearsed in "
                + (clock.nowNs() - startNs) / 1_000_000
                + " ms";
    }

    private void start() {
        SidecarComponents components =
                new SidecarComponents(
                        config, transport, clock, discardingLog, new Lifecycle(discardingLog));
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

    /** Asks again as soon as it has its answer. */
    private final class WarmUpClient extends ChannelInboundHandlerAdapter {
        private PostgresMessageDecoder decoder;
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
     * Within the process a write is read within the call that writes it, where a socket's is read
     * later.
     */
    private static void writeLater(ChannelHandlerContext ctx, Supplier<ByteBuf> message) {
        ctx.executor().execute(() -> ctx.writeAndFlush(message.get()));
    }

    /** Answers at once. */
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

    private static void appendMessage(ByteArrayOutputStream out, char type, byte[] body) {
        out.write(type);
        out.writeBytes(ByteBuffer.allocate(4).putInt(4 + body.length).array());
        out.writeBytes(body);
    }
}
