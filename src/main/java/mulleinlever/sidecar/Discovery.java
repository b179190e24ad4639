package mulleinlever.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import mulleinlever.Policy;

/** Watches the list of pods. When a watch ends the module is told, and asks again when it wants to. */
final class Discovery {
    private static final int LONGEST = 4 << 20;
    private static final long CONNECT_NS = 1_000_000_000L;
    /** An empty line comes every 2 s; after this long without one, the other end is gone or cut off. */
    private static final long SILENT_NS = 2_700_000_000L;

    private final Net net;
    private final Clock clock;
    private final Log log;
    private final InetSocketAddress address;
    private final Pods pods;
    private Policy policy;
    private long version;
    private Watch watch;

    Discovery(Net net, Clock clock, Log log, InetSocketAddress address, Pods pods) {
        this.net = net;
        this.clock = clock;
        this.log = log;
        this.address = address;
        this.pods = pods;
    }

    void reportsTo(Policy decides) {
        this.policy = decides;
    }

    /** Takes a list, from the configuration or from a watch. */
    void take(PodList list) {
        version = list.version();
        pods.learn(list);
        if (list.whole()) {
            policy.listWhole(clock.now(), list.entries());
        } else {
            policy.listChanged(clock.now(), list.entries());
        }
        pods.retire(list);
    }

    /** Opens a watch in place of any before it. */
    void watch() {
        if (watch != null) {
            watch.drop();
        }
        watch = new Watch();
        watch.channel = open(watch);
    }

    private Channel open(Watch w) {
        ChannelFuture f = net.connect(address, CONNECT_NS, w);
        f.addListener(done -> {
            if (!done.isSuccess()) {
                w.ended();
            }
        });
        return f.channel();
    }

    private final class Watch extends Chunked {
        Channel channel;
        private Future<?> silence;
        private boolean over;

        Watch() {
            super(LONGEST, log, "discovery");
            heard();
        }

        private void heard() {
            if (silence != null) {
                silence.cancel(false);
            }
            silence = net.after(SILENT_NS, this::ended);
        }

        @Override
        void opened(ChannelHandlerContext ctx) {
            String get = "GET /discovery/hosts?stream=1&index=" + version + " HTTP/1.1\r\nHost: "
                    + address.getHostString() + ":" + address.getPort() + "\r\n\r\n";
            ctx.writeAndFlush(Unpooled.copiedBuffer(get, StandardCharsets.US_ASCII));
        }

        @Override
        void line(String text) {
            if (over) {
                return;
            }
            heard();
            if (!text.isBlank()) {
                take(PodList.read(new JsonFields("discovery: ", Json.read(text))));
            }
        }

        @Override
        void complete() {
            ended();
        }

        /** Without a word to the module: it has asked anew itself. */
        void drop() {
            over = true;
            silence.cancel(false);
            channel.close();
        }

        @Override
        void ended() {
            if (!over) {
                drop();
                log.say("discovery", "the watch has ended");
                policy.listFailed(clock.now());
            }
        }
    }
}
