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
    private static final int MAX_PIPELINED_COMMANDS = 32;

    /** Against peers that go silent before or within a message, or take no answer. */
    private static final long STALL_TIMEOUT_NS = 10_000_000_000L;

    private static final int SSL_REQUEST_CODE = 80_877_103;
    private static final int GSSENC_REQUEST_CODE = 80_877_104;

    private final QueryHandler queryHandler;
    private final ClientConnections clientConnections;
    private final ReqMemoryLimiter reqMemoryLimiter;
    private final ReqRegistry reqRegistry;
    private final Clock clock;
    private final RateLimitedLog log;
    private final ArrayDeque<PendingCommand> pendingCommands = new ArrayDeque<>();
    private Channel channel;
    private PostgresMessageDecoder decoder;
    private boolean startupComplete;
    private boolean closing;
    private long lastProgressNs;

    /**
     * What waits for the client itself: the message it has half sent, the answers it has not taken.
     */
    private int partialMessageBytes;

    private int unsentResponseBytes;

    ClientConnection(
            QueryHandler queryHandler,
            ClientConnections clientConnections,
            ReqMemoryLimiter reqMemoryLimiter,
            ReqRegistry reqRegistry,
            Clock clock,
            RateLimitedLog log) {
        this.queryHandler = queryHandler;
        this.clientConnections = clientConnections;
        this.reqMemoryLimiter = reqMemoryLimiter;
        this.reqRegistry = reqRegistry;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        decoder = new PostgresMessageDecoder(ctx.alloc());
        lastProgressNs = clock.nowNs();
        clientConnections.connectionOpened(this, lastProgressNs);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        lastProgressNs = clock.nowNs();
        if (closing) {
            ((ByteBuf) msg).release();
            return;
        }
        decoder.addBytes((ByteBuf) msg);
        decode();
    }

    private void decode() {
        try {
            while (!closing && canRead() && decoder.nextMessage(startupComplete)) {
                if (startupComplete) {
                    handleMessage();
                } else {
                    handleStartupMessage();
                }
            }
        } catch (InvalidInputException e) {
            rejectMalformedInput(e.getMessage());
        }
        updatePartialMessageBytes(decoder.retainedCapacityBytes());
        channel.config().setAutoRead(!closing && canRead());
    }

    private void updatePartialMessageBytes(int currentBytes) {
        int addedBytes = currentBytes - partialMessageBytes;
        partialMessageBytes = currentBytes;
        clientConnections.addBufferedBytes(addedBytes);
    }

    boolean hasBufferedBytes() {
        return partialMessageBytes + unsentResponseBytes > 0;
    }

    long lastProgressNs() {
        return lastProgressNs;
    }

    void closeNow() {
        closing = true;
        channel.close();
    }

    private boolean canRead() {
        if (reqMemoryLimiter.isExceeded()) {
            reqMemoryLimiter.addWaiter(this);
            return false;
        }
        return pendingCommands.size() < MAX_PIPELINED_COMMANDS && channel.isWritable();
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

    private void handleStartupMessage() {
        int code = decoder.bodyLength >= 4 ? decoder.buffer().getInt(decoder.bodyIndex) : 0;
        if (code == SSL_REQUEST_CODE || code == GSSENC_REQUEST_CODE) {
            channel.writeAndFlush(PostgresMessages.encryptionRefused());
        } else if (code >>> 16 == 3) {
            startupComplete = true;
            channel.writeAndFlush(PostgresMessages.startupResponse());
        } else {
            throw new InvalidInputException("no such startup");
        }
    }

    private void handleMessage() {
        switch (decoder.messageType) {
            case 'Q' -> {
                if (decoder.bodyLength < 1
                        || decoder.buffer().getByte(decoder.bodyIndex + decoder.bodyLength - 1)
                                != 0) {
                    throw new InvalidInputException("a query without its end");
                }
                queryHandler.handleQuery(this, decoder.retainBody());
            }
            case 'X' -> {
                closing = true;
                closeIfIdle();
            }
            default -> throw new InvalidInputException("no such command");
        }
    }

    /** What came before gets its answers, then the connection ends. */
    private void rejectMalformedInput(String reason) {
        closing = true;
        respond(
                PostgresMessages.errorResponse(
                        PostgresMessages.PROTOCOL_VIOLATION, reason, 0, false));
    }

    /** A command that is no req takes its place in the line with its answer. */
    void respond(ByteBuf response) {
        PendingCommand command = new PendingCommand(this, null);
        command.response = response;
        pendingCommands.add(command);
        flushResponses();
    }

    void enqueue(PendingCommand command) {
        pendingCommands.add(command);
        reqMemoryLimiter.reserve(command.memoryBytes());
    }

    void releaseMemory(PendingCommand command) {
        reqMemoryLimiter.release(command.memoryBytes());
    }

    /** Answers go out in the order of the commands. */
    void flushResponses() {
        boolean responseWritten = false;
        while (!pendingCommands.isEmpty() && pendingCommands.peek().response != null) {
            ByteBuf response = pendingCommands.poll().response;
            int responseBytes = response.readableBytes();
            unsentResponseBytes += responseBytes;
            channel.write(response).addListener(future -> responseSent(responseBytes));
            clientConnections.addBufferedBytes(responseBytes);
            responseWritten = true;
        }
        if (!responseWritten) {
            return;
        }
        lastProgressNs = clock.nowNs();
        channel.flush();
        if (pendingCommands.isEmpty()
                && (closing || clientConnections.isShuttingDown() && !decoder.hasUnreadBytes())) {
            flushAndClose();
        } else if (!channel.config().isAutoRead()) {
            scheduleDecode();
        }
    }

    private void responseSent(int responseBytes) {
        unsentResponseBytes -= responseBytes;
        clientConnections.addBufferedBytes(-responseBytes);
    }

    private void flushAndClose() {
        closing = true;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    void closeIfIdle() {
        if (pendingCommands.isEmpty() && (closing || !decoder.hasUnreadBytes())) {
            flushAndClose();
        }
    }

    /** For how long it has asked for nothing; -1 where it waits for an answer. */
    long idleNs(long nowNs) {
        return !closing && pendingCommands.isEmpty() && !decoder.hasUnreadBytes()
                ? nowNs - lastProgressNs
                : -1;
    }

    void closeIfStalled(long nowNs) {
        boolean awaitingPeer =
                !startupComplete || decoder.hasUnreadBytes() || !channel.isWritable();
        if (awaitingPeer && nowNs - lastProgressNs > STALL_TIMEOUT_NS) {
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
        clientConnections.connectionClosed(this);
        reqMemoryLimiter.removeWaiter(this);
        updatePartialMessageBytes(0);
        decoder.release();
        for (PendingCommand command : pendingCommands) {
            if (command.response != null) {
                command.response.release();
            }
            if (command.statement != null) {
                reqRegistry.onClientDisconnected(command);
            }
        }
        pendingCommands.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.internalError("client", cause);
        }
        ctx.close();
    }
}
