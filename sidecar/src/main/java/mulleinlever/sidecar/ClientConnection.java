package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.ArrayDeque;
import mulleinlever.settings.InvalidInputException;

/**
 * First stage: one client's connection, from its bytes to its commands, and the answers in their
 * order.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final int MOST_IN_LINE = 32;

    /** Against peers that go silent before or within a message, or take no answer. */
    private static final long STUCK_NS = 10_000_000_000L;

    private static final int SSL = 80_877_103;
    private static final int GSS = 80_877_104;

    private final QueryHandler admit;
    private final ClientConnections clients;
    private final ReqMemoryLimiter flow;
    private final ReqRegistry book;
    private final Clock clock;
    private final RateLimitedLog log;
    private final ArrayDeque<PendingCommand> line = new ArrayDeque<>();
    private Channel channel;
    private PostgresMessageDecoder frames;
    private boolean started;
    private boolean closing;
    private long movedNs;

    /**
     * What waits for the client itself: the message it has half sent, the answers it has not taken.
     */
    private int halfRead;

    private int untaken;

    ClientConnection(
            QueryHandler admit,
            ClientConnections clients,
            ReqMemoryLimiter flow,
            ReqRegistry book,
            Clock clock,
            RateLimitedLog log) {
        this.admit = admit;
        this.clients = clients;
        this.flow = flow;
        this.book = book;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        frames = new PostgresMessageDecoder(ctx.alloc());
        movedNs = clock.now();
        clients.opened(this, movedNs);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        movedNs = clock.now();
        if (closing) {
            ((ByteBuf) msg).release();
            return;
        }
        frames.add((ByteBuf) msg);
        decode();
    }

    private void decode() {
        try {
            while (!closing && mayRead() && frames.next(started)) {
                if (started) {
                    command();
                } else {
                    startup();
                }
            }
        } catch (InvalidInputException e) {
            malformed(e.getMessage());
        }
        count(frames.taken());
        channel.config().setAutoRead(!closing && mayRead());
    }

    private void count(int taken) {
        int more = taken - halfRead;
        halfRead = taken;
        clients.owed(more);
    }

    boolean owes() {
        return halfRead + untaken > 0;
    }

    long movedNs() {
        return movedNs;
    }

    void drop() {
        closing = true;
        channel.close();
    }

    private boolean mayRead() {
        if (flow.full()) {
            flow.await(this);
            return false;
        }
        return line.size() < MOST_IN_LINE && channel.isWritable();
    }

    /**
     * Not at once: the module may be in the middle of a call, and what is read next becomes
     * another.
     */
    void resumeSoon() {
        channel.eventLoop()
                .execute(
                        () -> {
                            if (channel.isActive() && !closing) {
                                decode();
                            }
                        });
    }

    private void startup() {
        int code = frames.length >= 4 ? frames.bytes().getInt(frames.at) : 0;
        if (code == SSL || code == GSS) {
            channel.writeAndFlush(PostgresMessages.noCrypto());
        } else if (code >>> 16 == 3) {
            started = true;
            channel.writeAndFlush(PostgresMessages.welcome());
        } else {
            throw new InvalidInputException("no such startup");
        }
    }

    private void command() {
        switch (frames.type) {
            case 'Q' -> {
                if (frames.length < 1
                        || frames.bytes().getByte(frames.at + frames.length - 1) != 0) {
                    throw new InvalidInputException("a query without its end");
                }
                admit.query(this, frames.keep());
            }
            case 'X' -> {
                closing = true;
                closeIfIdle();
            }
            default -> throw new InvalidInputException("no such command");
        }
    }

    /** What came before gets its answers, then the connection ends. */
    private void malformed(String why) {
        closing = true;
        command(PostgresMessages.error(PostgresMessages.MALFORMED, why, 0, false));
    }

    /** A command that is no req takes its place in the line with its answer. */
    void command(ByteBuf answer) {
        PendingCommand held = new PendingCommand(this, null);
        held.answer = answer;
        line.add(held);
        answerReady();
    }

    void inLine(PendingCommand held) {
        line.add(held);
        flow.add(held.bytes());
    }

    void settled(PendingCommand held) {
        flow.remove(held.bytes());
    }

    /** Answers go out in the order of the commands. */
    void answerReady() {
        boolean any = false;
        while (!line.isEmpty() && line.peek().answer != null) {
            ByteBuf answer = line.poll().answer;
            int n = answer.readableBytes();
            untaken += n;
            channel.write(answer).addListener(f -> taken(n));
            clients.owed(n);
            any = true;
        }
        if (!any) {
            return;
        }
        movedNs = clock.now();
        channel.flush();
        if (line.isEmpty() && (closing || clients.finishing() && !frames.partial())) {
            close();
        } else if (!channel.config().isAutoRead()) {
            resumeSoon();
        }
    }

    private void taken(int n) {
        untaken -= n;
        clients.owed(-n);
    }

    private void close() {
        closing = true;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    void closeIfIdle() {
        if (line.isEmpty() && (closing || !frames.partial())) {
            close();
        }
    }

    /** For how long it has asked for nothing; -1 where it waits for an answer. */
    long idleNs(long now) {
        return !closing && line.isEmpty() && !frames.partial() ? now - movedNs : -1;
    }

    void closeIfStuck(long now) {
        boolean stuck = !started || frames.partial() || !channel.isWritable();
        if (stuck && now - movedNs > STUCK_NS) {
            drop();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (channel.isWritable()) {
            resumeSoon();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        clients.closed(this);
        flow.forget(this);
        count(0);
        frames.close();
        for (PendingCommand held : line) {
            if (held.answer != null) {
                held.answer.release();
            }
            if (held.statement != null) {
                book.clientGone(held);
            }
        }
        line.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.fault("client", cause);
        }
        ctx.close();
    }
}
