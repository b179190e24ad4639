package mulleinlever.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The one event loop, on which everything happens, and how connections are made on it. */
class NettyTransport {
    private static final int BACKLOG = 1024;
    private static final int PAGE = 8192;

    /** Chunks of 256 KiB: a process this small would waste most of the usual 4 MiB. */
    private static final int CHUNK_ORDER = 5;

    private final ByteBufAllocator alloc =
            new PooledByteBufAllocator(
                    true,
                    0,
                    1,
                    PAGE,
                    CHUNK_ORDER,
                    PooledByteBufAllocator.defaultSmallCacheSize(),
                    PooledByteBufAllocator.defaultNormalCacheSize(),
                    false);
    private final EventLoopGroup group;
    final EventLoop eventLoop;
    private final RateLimitedLog log;

    NettyTransport(RateLimitedLog log) {
        this(log, NioIoHandler.newFactory());
    }

    NettyTransport(RateLimitedLog log, IoHandlerFactory factory) {
        this.log = log;
        this.group = new MultiThreadIoEventLoopGroup(1, factory);
        this.eventLoop = group.next();
    }

    /** Not within the call that asks for it: the module is not to be called while it decides. */
    void execute(Runnable what) {
        eventLoop.execute(guarded(what));
    }

    Future<?> schedule(long ns, Runnable what) {
        return eventLoop.schedule(guarded(what), Math.max(0, ns), TimeUnit.NANOSECONDS);
    }

    void scheduleAtFixedRate(long ns, Runnable what) {
        eventLoop.scheduleAtFixedRate(guarded(what), ns, ns, TimeUnit.NANOSECONDS);
    }

    /** A fault in one task must neither pass unseen nor end those that repeat. */
    private Runnable guarded(Runnable what) {
        return () -> {
            try {
                what.run();
            } catch (RuntimeException e) {
                log.internalError("loop", e);
            }
        };
    }

    /**
     * Opens a connection.
     *
     * @param failed told on the loop, and never within this call, where it does not come up
     * @return its channel, or null where not even a socket could be had
     */
    final Channel connect(
            InetSocketAddress to,
            long withinNs,
            ChannelHandler handler,
            Consumer<Throwable> failed) {
        ChannelFuture connecting = startConnect(to, withinNs, handler);
        // Without a socket Netty tells of it on a thread of its own, and closing that channel
        // throws.
        if (connecting.isDone()
                && !connecting.isSuccess()
                && !connecting.channel().isRegistered()) {
            execute(() -> failed.accept(connecting.cause()));
            return null;
        }
        connecting.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        failed.accept(f.cause());
                    }
                });
        return connecting.channel();
    }

    /** Begins to connect. */
    ChannelFuture startConnect(InetSocketAddress to, long withinNs, ChannelHandler handler) {
        return new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .handler(handler)
                .option(ChannelOption.ALLOCATOR, alloc)
                .option(ChannelOption.RECVBUF_ALLOCATOR, reads())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) Math.max(1, withinNs / 1_000_000))
                .connect(to);
    }

    ChannelFuture bind(InetSocketAddress at, Supplier<ChannelHandler> handlers) {
        return new ServerBootstrap()
                .group(eventLoop, eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, alloc)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, reads())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .handler(new AcceptFailureHandler(log))
                .childHandler(channelInitializer(handlers))
                .bind(at);
    }

    static ChannelHandler channelInitializer(Supplier<ChannelHandler> handlers) {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel c) {
                c.pipeline().addLast(handlers.get());
            }
        };
    }

    private static AdaptiveRecvByteBufAllocator reads() {
        return new AdaptiveRecvByteBufAllocator(512, 1024, 32_768);
    }

    void close() {
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }
}
