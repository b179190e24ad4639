package mulleinlever.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * An event loop of its own whose connections stay within the process: no socket is opened, whatever
 * the address.
 */
final class InProcessTransport extends NettyTransport {
    private final Map<InetSocketAddress, LocalAddress> localAddresses = new HashMap<>();

    InProcessTransport(RateLimitedLog log) {
        super(log, LocalIoHandler.newFactory());
    }

    /**
     * Returns the in-process address that stands for a socket address. It is unique to this
     * transport, since the process has a single registry of in-process addresses.
     */
    private LocalAddress localAddress(InetSocketAddress address) {
        return localAddresses.computeIfAbsent(
                address, a -> new LocalAddress(InProcessTransport.class));
    }

    @Override
    ChannelFuture startConnect(InetSocketAddress address, long timeoutNs, ChannelHandler handler) {
        return new Bootstrap()
                .group(eventLoop)
                .channel(LocalChannel.class)
                .handler(handler)
                .connect(localAddress(address));
    }

    @Override
    ChannelFuture bind(InetSocketAddress address, Supplier<ChannelHandler> handlerSupplier) {
        return new ServerBootstrap()
                .group(eventLoop, eventLoop)
                .channel(LocalServerChannel.class)
                .childHandler(channelInitializer(handlerSupplier))
                .bind(localAddress(address));
    }
}
