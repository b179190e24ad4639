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

    private static final long LONGEST_NS = 1_500_000_000L;
    private static final int CLIENTS = 8;
    private static final byte[] ROW = row();

    private final SidecarConfig config;
    private final Consumer<WarmUp> then;
    private final Clock clock = new Clock();
    private final RateLimitedLog quiet =
            new RateLimitedLog(new PrintStream(OutputStream.nullOutputStream()), clock);
    private final NettyTransport net = new InProcessTransport(quiet);
    private final long startNs = clock.nowNs();
    private int asked;
    private int ended;
    private int completed;
    private boolean over;

    private WarmUp(SidecarConfig config, Consumer<WarmUp> then) {
        this.config = config;
        this.then = then;
    }

    /** Calls back once, on a thread of its own. */
    static void run(SidecarConfig config, Consumer<WarmUp> then) {
        WarmUp r = new WarmUp(config, then);
        r.net.schedule(LONGEST_NS, r::end);
        r.net.execute(r::begin);
    }

    int completedReqCount() {
        return completed;
    }

    @Override
    public String toString() {
        return completed + " reqs rehearsed in " + (clock.nowNs() - startNs) / 1_000_000 + " ms";
    }

    private void begin() {
        SidecarComponents stages =
                new SidecarComponents(config, net, clock, quiet, new Lifecycle(quiet));
        stages.policy.onPodListConfirmed(clock.nowNs());
        Set<String> addresses = new TreeSet<>(config.initialPodList().addressesByPodId().values());
        for (String a : addresses) {
            InetSocketAddress at = SocketAddresses.parse(a);
            if (at != null) {
                net.bind(at, StubPod::new);
            }
        }
        stages.clientConnections.setListener(
                net.bind(config.listenAddress(), stages::newClientHandler).channel());
        for (int i = 0; i < CLIENTS; i++) {
            net.connect(
                    config.listenAddress(),
                    LONGEST_NS,
                    new WarmUpClient(),
                    cause -> quiet.info("life", cause.toString()));
        }
    }

    private void end() {
        if (!over) {
            over = true;
            net.close();
            then.accept(this);
        }
    }

    /** Asks again as soon as it has its answer. */
    private final class WarmUpClient extends ChannelInboundHandlerAdapter {
        private PostgresMessageDecoder frames;
        private boolean waits;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            frames = new PostgresMessageDecoder(ctx.alloc());
            ctx.writeAndFlush(PostgresMessages.startupMessage());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            frames.addBytes((ByteBuf) msg);
            while (frames.nextMessage(true)) {
                if (frames.messageType == 'D') {
                    completed++;
                } else if (frames.messageType == 'Z') {
                    ended += waits ? 1 : 0;
                    if (ended == REQ_COUNT) {
                        end();
                    } else if (asked < REQ_COUNT) {
                        ask(ctx);
                    }
                }
            }
        }

        private void ask(ChannelHandlerContext ctx) {
            waits = true;
            List<Settings.RouteSettings> routes = config.settings().routes();
            Settings.RouteSettings route = routes.get(asked++ % routes.size());
            boolean read = route.retrySafety() == Settings.RetrySafety.IDEMPOTENT;
            String text =
                    String.format(
                                    read
                                            ? "SELECT payload FROM entries WHERE ref = '%016x'"
                                            : "INSERT INTO entries (ref, payload) VALUES ('%016x', '\\x9f03') RETURNING payload",
                                    asked % 97)
                            + String.format(
                                    " /* id=%016x,c=%s,t=none,d=%d%s */\0",
                                    asked,
                                    route.name(),
                                    route.timeoutNs() / 1_000_000,
                                    read ? "" : ",k=5c0f6e1a2b3d4c59");
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            later(
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
    private static void later(ChannelHandlerContext ctx, Supplier<ByteBuf> what) {
        ctx.executor().execute(() -> ctx.writeAndFlush(what.get()));
    }

    /** Answers at once. */
    private static final class StubPod extends ChannelInboundHandlerAdapter {
        private PostgresMessageDecoder frames;
        private boolean started;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            frames = new PostgresMessageDecoder(ctx.alloc());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            frames.addBytes((ByteBuf) msg);
            while (frames.nextMessage(started)) {
                boolean asked = started;
                started = true;
                later(
                        ctx,
                        () ->
                                asked
                                        ? ctx.alloc().buffer(ROW.length).writeBytes(ROW)
                                        : PostgresMessages.startupResponse());
            }
        }
    }

    private static byte[] row() {
        var all = new ByteArrayOutputStream();
        message(
                all,
                'T',
                new byte[] {
                    0, 1, 'p', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 1
                });
        message(all, 'D', new byte[] {0, 1, 0, 0, 0, 2, 1, 2});
        message(all, 'C', "SELECT 1\0".getBytes(StandardCharsets.US_ASCII));
        message(all, 'Z', new byte[] {'I'});
        return all.toByteArray();
    }

    private static void message(ByteArrayOutputStream to, char type, byte[] body) {
        to.write(type);
        to.writeBytes(ByteBuffer.allocate(4).putInt(4 + body.length).array());
        to.writeBytes(body);
    }
}
