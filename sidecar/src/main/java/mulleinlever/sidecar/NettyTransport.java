package mulleinlever.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
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
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.internal.PlatformDependent;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The event loop, on which all work on reqs and connections is done, and the connections and
 * listeners that run on it.
 */
class NettyTransport {
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int PAGE_SIZE_BYTES = 8192;

    /**
     * Chunks of 1 MiB (the page size shifted by this): of the usual 4 MiB a process this small
     * would waste most, and in much smaller ones the longest messages leave gaps.
     */
    private static final int CHUNK_ORDER = 7;

    /** The number of sizes between two powers of two in which the pool allocates. */
    private static final int SIZES_PER_DOUBLING = 4;

    /** Without caches of released buffers, which no limit on memory would count. */
    private final PooledByteBufAllocator allocator =
            new PooledByteBufAllocator(true, 0, 1, PAGE_SIZE_BYTES, CHUNK_ORDER, 0, 0, false);

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

    /**
     * Runs a task on the event loop, but never within this call: the policy must not be called
     * while one of its methods is still running.
     */
    void execute(Runnable task) {
        eventLoop.execute(loggingExceptions(task));
    }

    /** Runs a task on the event loop after a delay; a negative one counts as 0. */
    Future<?> schedule(long delayNs, Runnable task) {
        return eventLoop.schedule(
                loggingExceptions(task), Math.max(0, delayNs), TimeUnit.NANOSECONDS);
    }

    /** Runs a task after the event loop has read from all connections again. */
    void runAfterNextReads(Runnable task) {
        // A timer set while reading runs in the same turn, one set by a timer in the next.
        schedule(0, () -> schedule(0, task));
    }

    /** Runs a task on the event loop repeatedly, for the first time after one period. */
    void scheduleAtFixedRate(long periodNs, Runnable task) {
        eventLoop.scheduleAtFixedRate(
                loggingExceptions(task), periodNs, periodNs, TimeUnit.NANOSECONDS);
    }

    /**
     * Wraps a task so that an exception is logged, and does not end the repetition of a repeated
     * task.
     */
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
     * @param handler handles the events of the new channel
     * @param onFailure called on the event loop, and never within this call, if the connection
     *     fails to open
     * @return the channel, or null if not even a socket could be created
     */
    final Channel connect(
            InetSocketAddress address,
            long timeoutNs,
            ChannelHandler handler,
            Consumer<Throwable> onFailure) {
        ChannelFuture connectFuture = startConnect(address, timeoutNs, handler);
        // If no socket could be created, Netty notifies listeners on a thread other than the event
        // loop, and closing the channel throws.
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

    /** Begins to open a connection; the future is done once it has opened or failed. */
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

    /**
     * Listens at an address.
     *
     * @param handlerSupplier supplies the handler of each accepted connection
     */
    ChannelFuture bind(InetSocketAddress address, Supplier<ChannelHandler> handlerSupplier) {
        return new ServerBootstrap()
                .group(eventLoop, eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                // One accept in each turn of the event loop until setAcceptsPerTurn is called.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(1))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, allocator)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, newReceiveBufferAllocator())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .handler(new AcceptFailureHandler(log))
                .childHandler(channelInitializer(handlerSupplier))
                .bind(address);
    }

    /** Sets the maximum number of connections that are accepted in one turn of the event loop. */
    static void setAcceptsPerTurn(Channel listener, int maxAccepts) {
        MaxMessagesRecvByteBufAllocator allocator = listener.config().getRecvByteBufAllocator();
        allocator.maxMessagesPerRead(maxAccepts);
    }

    /** Returns a handler that adds a supplied one to each new channel. */
    static ChannelHandler channelInitializer(Supplier<ChannelHandler> handlerSupplier) {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(handlerSupplier.get());
            }
        };
    }

    /** Returns the size that a buffer of this capacity takes in the pool, in bytes. */
    static int pooledBytes(int capacityBytes) {
        int stepBytes = Math.max(1, Integer.highestOneBit(capacityBytes - 1) / SIZES_PER_DOUBLING);
        return (capacityBytes + stepBytes - 1) / stepBytes * stepBytes;
    }

    /** Returns the maximum memory outside the heap that the JVM's flags allow, in bytes. */
    static long maxDirectBytes() {
        return PlatformDependent.estimateMaxDirectMemory();
    }

    /** Returns the size of the pool of buffers, used or not, in bytes. */
    long poolBytes() {
        return allocator.metric().usedDirectMemory();
    }

    /** Returns an allocator of receive buffers of 512 bytes to 32 KiB; the first is 1 KiB. */
    private static AdaptiveRecvByteBufAllocator newReceiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(512, 1024, 32_768);
    }

    /** Closes all channels and ends the event loop, without waiting until it has ended. */
    void close() {
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }
}
