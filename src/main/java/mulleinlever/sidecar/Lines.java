package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;

/** A connection on which lines of text arrive, split anywhere. */
abstract class Lines extends ChannelInboundHandlerAdapter {
    private final int longest;
    private byte[] line = new byte[256];
    private int length;

    Lines(int longest) {
        this.longest = longest;
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
            line = java.util.Arrays.copyOf(line, 2 * length);
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
        ctx.close();
    }
}
