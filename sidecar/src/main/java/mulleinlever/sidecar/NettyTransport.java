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
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int PAGE_SIZE_BYTES = 8192;

    /** Chunks of 256 KiB: a process this small would waste most of the usual 4 MiB. */
    private static final int CHUNK_ORDER = 5;

    private final ByteBufAllocator allocator =
            new PooledByteBufAllocator(
                    true,
                    0,
                    1,
                    PAGE_SIZE_BYTES,
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
    void execute(Runnable task) {
        eventLoop.execute(loggingExceptions(task));
    }

    Future<?> schedule(long delayNs, Runnable task) {
        return eventLoop.schedule(
                loggingExceptions(task), Math.max(0, delayNs), TimeUnit.NANOSECONDS);
    }

    void scheduleAtFixedRate(long periodNs, Runnable task) {
        eventLoop.scheduleAtFixedRate(
                loggingExceptions(task), periodNs, periodNs, TimeUnit.NANOSECONDS);
    }

    /** A fault in one task must neither pass unseen nor end those that repeat. */
    private Runnable loggingExceptions(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                log.internalError("loop", e);
            }
        };
    }

    /**
     * Opens a connection.
     *
     * @param onFailure told on the loop, and never within this call, where it does not come up
     * @return its channel, or null where not even a socket could be had
     */
    final Channel connect(
            InetSocketAddress address,
            long timeoutNs,
            ChannelHandler handler,
            Consumer<Throwable> onFailure) {
        ChannelFuture connectFuture = startConnect(address, timeoutNs, handler);
        // Without a socket Netty tells of it on a thread of its own, and closing that channel
        // throws.
        if (connectFuture.isDone()
                && !connectFuture.isSuccess()
                && !connectFuture.channel().isRegistered()) {
            execute(() -> onFailure.accept(connectFuture.cause()));
            return null;
        }
        connectFuture.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        onFailure.accept(f.cause());
                    }
                });
        return connectFuture.channel();
    }

    /** Begins to connect. */
    ChannelFuture startConnect(InetSocketAddress address, long timeoutNs, ChannelHandler handler) {
        return new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .handler(handler)
                .option(ChannelOption.ALLOCATOR, allocator)
                .option(ChannelOption.RECVBUF_ALLOCATOR, newReceiveBufferAllocator())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) Math.max(1, timeoutNs / 1_000_000))
                .connect(address);
    }

    ChannelFuture bind(InetSocketAddress address, Supplier<ChannelHandler> handlerSupplier) {
        return new ServerBootstrap()
                .group(eventLoop, eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, allocator)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, newReceiveBufferAllocator())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .handler(new AcceptFailureHandler(log))
                .childHandler(channelInitializer(handlerSupplier))
                .bind(address);
    }

    static ChannelHandler channelInitializer(Supplier<ChannelHandler> handlerSupplier) {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(handlerSupplier.get());
            }
        };
    }

    private static AdaptiveRecvByteBufAllocator newReceiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(512, 1024, 32_768);
    }

    void close() {
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }
}
