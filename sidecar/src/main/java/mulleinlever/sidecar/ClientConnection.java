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
        movedNs = clock.nowNs();
        clients.connectionOpened(this, movedNs);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        movedNs = clock.nowNs();
        if (closing) {
            ((ByteBuf) msg).release();
            return;
        }
        frames.addBytes((ByteBuf) msg);
        decode();
    }

    private void decode() {
        try {
            while (!closing && mayRead() && frames.nextMessage(started)) {
                if (started) {
                    handleMessage();
                } else {
                    startup();
                }
            }
        } catch (InvalidInputException e) {
            malformed(e.getMessage());
        }
        count(frames.retainedCapacityBytes());
        channel.config().setAutoRead(!closing && mayRead());
    }

    private void count(int taken) {
        int more = taken - halfRead;
        halfRead = taken;
        clients.addBufferedBytes(more);
    }

    boolean hasBufferedBytes() {
        return halfRead + untaken > 0;
    }

    long lastProgressNs() {
        return movedNs;
    }

    void closeNow() {
        closing = true;
        channel.close();
    }

    private boolean mayRead() {
        if (flow.isExceeded()) {
            flow.addWaiter(this);
            return false;
        }
        return line.size() < MOST_IN_LINE && channel.isWritable();
    }

    /**
     * Not at once: the module may be in the middle of a call, and what is read next becomes
     * another.
     */
    void scheduleDecode() {
        channel.eventLoop()
                .execute(
                        () -> {
                            if (channel.isActive() && !closing) {
                                decode();
                            }
                        });
    }

    private void startup() {
        int code = frames.bodyLength >= 4 ? frames.buffer().getInt(frames.bodyIndex) : 0;
        if (code == SSL || code == GSS) {
            channel.writeAndFlush(PostgresMessages.encryptionRefused());
        } else if (code >>> 16 == 3) {
            started = true;
            channel.writeAndFlush(PostgresMessages.startupResponse());
        } else {
            throw new InvalidInputException("no such startup");
        }
    }

    private void handleMessage() {
        switch (frames.messageType) {
            case 'Q' -> {
                if (frames.bodyLength < 1
                        || frames.buffer().getByte(frames.bodyIndex + frames.bodyLength - 1) != 0) {
                    throw new InvalidInputException("a query without its end");
                }
                admit.handleQuery(this, frames.retainBody());
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
        respond(PostgresMessages.errorResponse(PostgresMessages.PROTOCOL_VIOLATION, why, 0, false));
    }

    /** A command that is no req takes its place in the line with its answer. */
    void respond(ByteBuf answer) {
        PendingCommand held = new PendingCommand(this, null);
        held.response = answer;
        line.add(held);
        flushResponses();
    }

    void enqueue(PendingCommand held) {
        line.add(held);
        flow.reserve(held.memoryBytes());
    }

    void releaseMemory(PendingCommand held) {
        flow.release(held.memoryBytes());
    }

    /** Answers go out in the order of the commands. */
    void flushResponses() {
        boolean any = false;
        while (!line.isEmpty() && line.peek().response != null) {
            ByteBuf answer = line.poll().response;
            int n = answer.readableBytes();
            untaken += n;
            channel.write(answer).addListener(f -> taken(n));
            clients.addBufferedBytes(n);
            any = true;
        }
        if (!any) {
            return;
        }
        movedNs = clock.nowNs();
        channel.flush();
        if (line.isEmpty() && (closing || clients.isShuttingDown() && !frames.hasUnreadBytes())) {
            close();
        } else if (!channel.config().isAutoRead()) {
            scheduleDecode();
        }
    }

    private void taken(int n) {
        untaken -= n;
        clients.addBufferedBytes(-n);
    }

    private void close() {
        closing = true;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    void closeIfIdle() {
        if (line.isEmpty() && (closing || !frames.hasUnreadBytes())) {
            close();
        }
    }

    /** For how long it has asked for nothing; -1 where it waits for an answer. */
    long idleNs(long now) {
        return !closing && line.isEmpty() && !frames.hasUnreadBytes() ? now - movedNs : -1;
    }

    void closeIfStalled(long now) {
        boolean stuck = !started || frames.hasUnreadBytes() || !channel.isWritable();
        if (stuck && now - movedNs > STUCK_NS) {
            closeNow();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (channel.isWritable()) {
            scheduleDecode();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        clients.connectionClosed(this);
        flow.removeWaiter(this);
        count(0);
        frames.release();
        for (PendingCommand held : line) {
            if (held.response != null) {
                held.response.release();
            }
            if (held.statement != null) {
                book.onClientDisconnected(held);
            }
        }
        line.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.internalError("client", cause);
        }
        ctx.close();
    }
}
