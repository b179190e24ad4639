package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A connection on which lines of text arrive, split anywhere. */
abstract class Lines extends ChannelInboundHandlerAdapter {
    private final int longest;
    private final Log log;
    private final String about;
    private byte[] line = new byte[256];
    private int length;

    Lines(int longest, Log log, String about) {
        this.longest = longest;
        this.log = log;
        this.about = about;
    }

    abstract void opened(ChannelHandlerContext ctx);

    abstract void line(String text);

    /** Called once, when the connection has ended for whatever reason. */
    abstract void ended();

    /** What arrives is text already, unless a transfer coding lies around it. */
    void bytes(ByteBuf in) {
        while (in.isReadable()) {
            letter(in.readByte());
        }
    }

    final void letter(byte b) {
        if (b == '\n') {
            int end = length > 0 && line[length - 1] == '\r' ? length - 1 : length;
            length = 0;
            line(new String(line, 0, end, StandardCharsets.UTF_8));
            return;
        }
        if (length == longest) {
            throw new Fault("a line longer than " + longest);
        }
        if (length == line.length) {
            line = Arrays.copyOf(line, 2 * length);
        }
        line[length++] = b;
    }

    @Override
    public final void channelActive(ChannelHandlerContext ctx) {
        opened(ctx);
    }

    @Override
    public final void channelRead(ChannelHandlerContext ctx, Object msg) {
        ByteBuf in = (ByteBuf) msg;
        try {
            bytes(in);
        } finally {
            in.release();
        }
    }

    @Override
    public final void channelInactive(ChannelHandlerContext ctx) {
        ended();
    }

    /** What can't be read costs the connection, and what it was for is asked anew. */
    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            log.say(about, cause.toString());
        } else {
            log.fault(about, cause);
        }
        ctx.close();
    }
}
