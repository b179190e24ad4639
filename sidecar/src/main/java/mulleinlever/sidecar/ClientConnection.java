package mulleinlever.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;
import mulleinlever.ClientConnectionPolicy;
import mulleinlever.ClientConnectionPolicy.State;
import mulleinlever.PipelinePolicy;
import mulleinlever.settings.InvalidInputException;

/**
 * The connection of one client. Decodes the client's messages into commands, passes queries to the
 * {@link QueryHandler}, and writes the responses in the order of the commands. Each instance serves
 * one channel and is called by the event loop only.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** The value of {@link #incompleteSinceNs} while the client owes no rest of a message. */
    private static final long NOT_INCOMPLETE = Long.MIN_VALUE;

    /** The size of the buffers for what is read ahead. */
    private static final int READ_AHEAD_READ_BYTES = 8 * 1024;

    /** The size of the message Terminate, which has no body. */
    private static final int TERMINATE_BYTES = 5;

    /** The code of SSLRequest, in the place of a startup message's protocol version. */
    private static final int SSL_REQUEST_CODE = 80_877_103;

    /** The code of GSSENCRequest, in the place of a startup message's protocol version. */
    private static final int GSSENC_REQUEST_CODE = 80_877_104;

    private final QueryHandler queryHandler;
    private final ClientConnections clientConnections;
    private final MessageMemory memory;
    private final SidecarMetrics metrics;
    private final ReqRegistry reqRegistry;
    private final Clock clock;
    private final RateLimitedLog log;

    private final long id;
    private Channel channel;
    private PostgresMessageDecoder decoder;
    private RequestAdmission admission;
    private ResponseQueue responses;
    private ReadAhead readAhead;
    private InputEndMonitor inputEnd;
    private ClientPresence presence;
    private MessageReceiveBufferAllocator receiveBuffers;
    private boolean startupComplete;
    private boolean closing;

    /** Whether nothing more is read, since the process ends. */
    private boolean readingStopped;

    /** Whether {@link #decode} is running. */
    private boolean decoding;

    /** Whether responses were written that are not flushed yet. */
    private boolean flushDue;

    /** The number of messages that were handled or shed in this turn of the event loop. */
    private int messagesInTurn;

    /** Whether there is more to decode than a turn of the event loop had time for. */
    private boolean turnExceeded;

    /** When the current or the last call of {@link #decode} began. */
    private long decodeStartNs;

    /** Whether a call of {@link #resumeDecode} is due. */
    private boolean decodeScheduled;

    /** When bytes were last received, or a response was last written or taken by the network. */
    private long lastProgressNs;

    /**
     * When the first byte of an incomplete message was received or, if reading paused meanwhile,
     * when it resumed; {@link #NOT_INCOMPLETE} if there is none or reading is paused.
     */
    private long incompleteSinceNs = NOT_INCOMPLETE;

    /** The number of times that bytes were received. */
    private int readCount;

    /** Whether the next message waits until it is known whether the client has left. */
    private boolean presenceAwaited;

    /** How long the next message has waited for that, in nanoseconds. */
    private long presenceWaitedNs;

    /** Whether a call of {@link #checkAllRead} is due. */
    private boolean checkScheduled;

    ClientConnection(
            QueryHandler queryHandler,
            ClientConnections clientConnections,
            MessageMemory memory,
            SidecarMetrics metrics,
            ReqRegistry reqRegistry,
            Clock clock,
            RateLimitedLog log) {
        this.queryHandler = queryHandler;
        this.clientConnections = clientConnections;
        this.id = clientConnections.nextConnectionId();
        this.memory = memory;
        this.metrics = metrics;
        this.reqRegistry = reqRegistry;
        this.clock = clock;
        this.log = log;
    }

    /** Returns the number by which the policy tells connections apart. */
    long id() {
        return id;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        decoder = new PostgresMessageDecoder(ctx.alloc());
        receiveBuffers = new MessageReceiveBufferAllocator(this::nextReadBytes);
        channel.config().setRecvByteBufAllocator(receiveBuffers);
        inputEnd = new InputEndMonitor(clock, clientConnections.rounds);
        presence = clientConnections.newPresence(channel, inputEnd);
        admission =
                new RequestAdmission(
                        memory,
                        channel.eventLoop(),
                        clock,
                        this::memoryReserved,
                        this::shedMessage);
        responses = new ResponseQueue(channel, memory.responses(), clock, this::recordProgress);
        readAhead = new ReadAhead(memory.readAhead(), memory.limits().connectionReadAheadBytes());
        lastProgressNs = clock.nowNs();
        incompleteSinceNs = lastProgressNs;
        clientConnections.connectionOpened(this);
    }

    /** Returns the size of the buffer for the next read, in bytes. */
    private int nextReadBytes() {
        int decoderBytes = decoder.nextReadBytes();
        return readAhead.isEmpty() ? decoderBytes : Math.max(decoderBytes, READ_AHEAD_READ_BYTES);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        lastProgressNs = clock.nowNs();
        readCount++;
        clientConnections.rounds.onRead();
        presence.input.onRead(lastProgressNs, ((ByteBuf) msg).readableBytes());
        if (closing) {
            ((ByteBuf) msg).release();
            return;
        }
        if (readAhead.isEmpty() && mayDecode() && !decodeScheduled) {
            decoder.addBytes((ByteBuf) msg);
        } else {
            readAhead.add((ByteBuf) msg);
        }
        if (decodeScheduled) {
            updateReading();
        } else {
            decode();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        messagesInTurn = 0;
        presence.input.onReadComplete(receiveBuffers.wasAllRead());
        if (!receiveBuffers.wasAllRead()) {
            inputEnd.moreUnread();
        }
        if (!inputEnd.isAllRead()) {
            scheduleCheckAllRead();
        }
    }

    /**
     * Finds out whether anything is left to read, where more may have arrived than was read:
     * nothing is if the event loop gets round to other connections and back without another read.
     * The end may also be right behind a read that has not filled its buffer.
     */
    private void scheduleCheckAllRead() {
        if (!checkScheduled) {
            checkScheduled = true;
            int countBefore = readCount;
            clientConnections.runAfterNextReads(() -> checkAllRead(countBefore));
        }
    }

    private void checkAllRead(int countBefore) {
        checkScheduled = false;
        if (!channel.config().isAutoRead() || inputEnd.isAllRead()) {
            return;
        }
        if (readCount == countBefore) {
            inputEnd.allRead();
        } else {
            scheduleCheckAllRead();
        }
    }

    /** Returns what is known of whether the client has left. */
    ClientPresence presence() {
        return presence;
    }

    /** Handles the message that has waited for memory, unless its client has left meanwhile. */
    private void memoryReserved() {
        setReading(true);
        clientConnections.runAfterNextReads(this::scheduleDecode);
    }

    /**
     * Decodes and handles messages as far as the commands ahead of them allow. Reading goes on
     * nevertheless, since the end of the connection is found only behind what was sent before.
     */
    private void decode() {
        boolean anyMessage = false;
        decoding = true;
        decodeStartNs = clock.nowNs();
        try {
            while (!closing && nextMessage()) {
                anyMessage = true;
                if (startupComplete) {
                    handleMessage();
                } else {
                    handleStartupMessage();
                }
                admission.release();
            }
        } catch (InvalidInputException e) {
            rejectMalformedInput(e.getMessage());
        } finally {
            decoding = false;
        }
        flushIfDue();
        if (messagesInTurn > 1) {
            clientConnections.inputBacklog.spend(clock.nowNs() - decodeStartNs);
        }
        if (!closing && hasUndecodedInput() && mayDecode() && !hasTimeInTurn()) {
            metrics.increment(SidecarMetrics.Event.TURN_EXCEEDED);
            turnExceeded = true;
            scheduleDecode();
        }
        decoder.releaseConsumedBytes();
        updateIncompleteSince(
                !closing && !decodeScheduled && mayHandle() && !admission.isWaiting(), anyMessage);
        channel.config()
                .setOption(ChannelOption.ALLOW_HALF_CLOSURE, closing || hasUndecodedInput());
        updateReading();
    }

    /**
     * Reads on unless the client takes no responses, a message waits for memory, or as much was
     * received as may wait for the connection's share of the event loop. While the connection is
     * due to close, what is read is dropped until its end is found.
     */
    private void updateReading() {
        setReading(
                closing
                        || channel.isWritable()
                                && !admission.isWaiting()
                                && (!turnExceeded || readAhead.hasRoomForBacklog()));
    }

    private void flushIfDue() {
        if (flushDue) {
            flushDue = false;
            channel.flush();
        }
    }

    private boolean hasTimeInTurn() {
        return messagesInTurn == 0
                || readingStopped
                || clientConnections.inputBacklog.hasTime(clock.nowNs() - decodeStartNs);
    }

    /** Reads nothing more, and goes on with what was received. */
    void stopReading() {
        readingStopped = true;
        setReading(false);
    }

    private void setReading(boolean wanted) {
        boolean reading = wanted && !readingStopped;
        if (reading == channel.config().isAutoRead()) {
            return;
        }
        channel.config().setAutoRead(reading);
        if (reading) {
            presence.input.resume(clock.nowNs());
            inputEnd.moreUnread();
            scheduleCheckAllRead();
            return;
        }
        metrics.increment(SidecarMetrics.Event.READ_PAUSED);
        if (channel.isWritable()) {
            presence.input.pause();
            inputEnd.moreUnread();
        } else {
            // The end of a client that takes no responses is found by writing.
            inputEnd.allRead();
        }
    }

    /**
     * Advances to the next message to handle, and sheds those that can't wait for it. Returns false
     * if there is none that has been received completely and has memory.
     *
     * @throws InvalidInputException if it is none that a client may send
     */
    private boolean nextMessage() {
        while (!closing && mayDecode() && hasTimeInTurn()) {
            if (decoder.isDiscarding()) {
                decoder.discardReceivedBytes();
                if (!decoder.isDiscarding()) {
                    messagesInTurn++;
                    respondShed();
                    continue;
                }
            } else if (decoder.readHeader(startupComplete)) {
                if (!admitMessage()) {
                    return false;
                }
                if (decoder.isDiscarding()) {
                    continue;
                }
                if (awaitsPresence()) {
                    return false;
                }
                if (decoder.readMessage()) {
                    messagesInTurn++;
                    return true;
                }
            }
            if (!readAhead.moveTo(decoder)) {
                return false;
            }
        }
        return false;
    }

    /**
     * Returns whether the next message has to wait until it is known whether the client has left,
     * so that a req of one that has left takes up no try.
     */
    private boolean awaitsPresence() {
        if (decoder.messageType != 'Q'
                || !startupComplete
                || !decoder.isMessageComplete()
                || !presence.mustWait()) {
            return false;
        }
        presenceAwaited = true;
        long startNs = clock.nowNs();
        presence.awaitDecision(
                () -> {
                    presenceAwaited = false;
                    presenceWaitedNs = clock.nowNs() - startNs;
                    scheduleDecode();
                });
        return true;
    }

    /**
     * Decides on the next message, whose header has been read: it is shed if the client has sent
     * too much ahead, and needs memory otherwise. Returns false if it waits for memory.
     *
     * @throws InvalidInputException if the message is none that a client may send
     */
    private boolean admitMessage() {
        if (startupComplete && decoder.messageType != 'Q' && decoder.messageType != 'X') {
            throw new InvalidInputException("no such command");
        }
        if (!mayHandle() && decoder.messageType != 'X') {
            metrics.increment(SidecarMetrics.Event.AHEAD_SHED);
            admission.release();
            decoder.startDiscarding();
            return true;
        }
        return reserveMemory();
    }

    /**
     * Reserves memory for the next message, whose header has been read. Returns false if none is
     * available; the message is shed if that lasts too long.
     */
    private boolean reserveMemory() {
        if (admission.isWaiting()) {
            return false;
        }
        switch (admission.admit(decoder.messageBytes(), inputEnd.unseenNs())) {
            case ADMITTED -> {
                return true;
            }
            case REJECTED -> {
                metrics.increment(SidecarMetrics.Event.MEMORY_SHED);
                decoder.startDiscarding();
                return true;
            }
            default -> {
                metrics.increment(SidecarMetrics.Event.MEMORY_WAITED);
                clientConnections.freeMemory();
                return false;
            }
        }
    }

    /** Sheds the message that has waited for memory: discards it, and then responds to it. */
    private void shedMessage() {
        if (!closing) {
            metrics.increment(SidecarMetrics.Event.MEMORY_SHED);
            decoder.startDiscarding();
            decode();
        }
    }

    /** Responds to a message that was discarded and never forwarded. */
    private void respondShed() {
        if (!startupComplete) {
            respondAndClose(PostgresMessages.TOO_MANY_CONNECTIONS, "shed: try again");
            return;
        }
        responses.addShed(this);
        flushResponses();
    }

    private void updateIncompleteSince(boolean awaitsBytes, boolean anyMessage) {
        boolean incomplete = !startupComplete || decoder.isMidMessage();
        if (!awaitsBytes || !incomplete) {
            incompleteSinceNs = NOT_INCOMPLETE;
        } else if (anyMessage && startupComplete || incompleteSinceNs == NOT_INCOMPLETE) {
            incompleteSinceNs = clock.nowNs();
        }
    }

    /** Closes the connection without waiting for pending commands or unsent responses. */
    void closeNow() {
        closing = true;
        channel.close();
    }

    /** Returns whether another message may be handled. */
    private boolean mayHandle() {
        return PipelinePolicy.mayHandle(responses.size())
                && channel.isWritable()
                && !presenceAwaited;
    }

    /** Returns whether received bytes may be decoded: to handle a message, or to shed one. */
    private boolean mayDecode() {
        return mayHandle()
                || channel.isWritable() && (readAhead.isOverLimit() || decoder.isDiscarding());
    }

    /** Returns whether a part of a message was received, or more of them. */
    private boolean hasUndecodedInput() {
        return decoder.isMidMessage() || !readAhead.isEmpty();
    }

    /**
     * Resumes decoding, and writes responses that the channel did not take before. Doing so at once
     * could call the policy while one of its methods is still running.
     */
    private void scheduleDecode() {
        if (!decodeScheduled) {
            decodeScheduled = true;
            clientConnections.inputBacklog.add(this);
        }
    }

    /** Goes on with what is left to write and to decode. Called by the backlog. */
    void resumeDecode() {
        decodeScheduled = false;
        turnExceeded = false;
        messagesInTurn = 0;
        if (channel.isActive()) {
            flushResponses();
            if (!closing) {
                decode();
            }
        }
    }

    /** Handles a startup message: refuses encryption, accepts protocol version 3. */
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

    /** Handles a message after the startup: a query or the termination of the connection. */
    private void handleMessage() {
        switch (decoder.messageType) {
            case 'Q' -> {
                if (decoder.bodyLength < 1
                        || decoder.buffer().getByte(decoder.bodyIndex + decoder.bodyLength - 1)
                                != 0) {
                    throw new InvalidInputException("a query without its end");
                }
                queryHandler.handleQuery(
                        this,
                        new ReservedBuffer(channel.alloc(), memory.requests())
                                .append(decoder.retainBody(), admission.takeReservation()),
                        admission.waitedNs() + presenceWaitedNs);
                presenceWaitedNs = 0;
            }
            case 'X' -> {
                endInput();
                closeIfIdle();
                abandonMessage();
            }
            default -> throw new InvalidInputException("no such command");
        }
    }

    /**
     * Answers malformed input with an error and closes the connection after the responses to all
     * commands received before it.
     */
    private void rejectMalformedInput(String reason) {
        metrics.increment(SidecarMetrics.Event.MALFORMED);
        respondAndClose(PostgresMessages.PROTOCOL_VIOLATION, reason);
    }

    /**
     * Responds with an error, after the responses to all commands received before, and closes the
     * connection then.
     */
    private void respondAndClose(String code, String reason) {
        endInput();
        abandonMessage();
        respond(PostgresMessages.errorResponse(code, reason, 0, false));
    }

    /**
     * Handles nothing more that the client sends. It may end its sending, and still read the
     * responses that are due.
     */
    private void endInput() {
        closing = true;
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    /** Releases the memory of the message that is being received. */
    private void abandonMessage() {
        admission.release();
        decoder.release();
        readAhead.clear();
    }

    /** Queues the response to a command that is not a req behind those of earlier commands. */
    void respond(ByteBuf response) {
        PendingCommand command = new PendingCommand(this, null);
        command.response = response;
        responses.add(command);
        flushResponses();
    }

    /** Queues a req for its response. */
    void enqueue(PendingCommand command) {
        responses.add(command);
    }

    /**
     * Writes the responses that are available, in the order of the commands. Afterwards closes a
     * connection that is due to close, or resumes reading where it was paused.
     */
    void flushResponses() {
        if (!responses.writeAvailable()) {
            return;
        }
        recordProgress();
        flushDue = true;
        if (!decoding) {
            flushIfDue();
        }
        if (responses.isEmpty()
                && (closing || clientConnections.isShuttingDown() && !hasUndecodedInput())) {
            flushAndClose();
        } else if (!decoding
                && !closing
                && (!channel.config().isAutoRead() || hasUndecodedInput())) {
            scheduleDecode();
        }
    }

    private void recordProgress() {
        lastProgressNs = clock.nowNs();
    }

    /** Closes the connection after all written responses have been sent. */
    private void flushAndClose() {
        closing = true;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Closes the connection unless a command is pending or, while it isn't closing yet, received
     * bytes are left to decode.
     */
    void closeIfIdle() {
        if (responses.isEmpty() && (closing || !hasUndecodedInput())) {
            flushAndClose();
        }
    }

    /** Returns what this connection waits for, and since when. */
    ClientConnectionPolicy.Activity activity() {
        if (!closing && incompleteSinceNs != NOT_INCOMPLETE) {
            return new ClientConnectionPolicy.Activity(State.AWAITING_MESSAGE, incompleteSinceNs);
        }
        boolean takesResponses = !responses.hasUnsentResponses() || channel.isWritable();
        if (!responses.isEmpty() && takesResponses) {
            return new ClientConnectionPolicy.Activity(State.BUSY, lastProgressNs);
        }
        if (responses.hasUnsentResponses()) {
            return new ClientConnectionPolicy.Activity(
                    State.AWAITING_READER, responses.unsentSinceNs());
        }
        if (closing) {
            return new ClientConnectionPolicy.Activity(State.AWAITING_READER, lastProgressNs);
        }
        return new ClientConnectionPolicy.Activity(
                hasUndecodedInput() ? State.BUSY : State.IDLE, lastProgressNs);
    }

    /**
     * Closes the connection of a client that keeps the sidecar waiting; a client that has left a
     * command incomplete gets an error first.
     */
    void closeStalled() {
        if (startupComplete && activity().state() == State.AWAITING_MESSAGE) {
            rejectMalformedInput("the message is not complete in time");
        } else {
            closeNow();
        }
    }

    /**
     * Fails a message that is not complete when the process ends. It isn't refused, since an
     * earlier one with its id may have run.
     */
    void answerIncompleteMessage() {
        if (!closing && hasUndecodedInput()) {
            respondAndClose(PostgresMessages.ADMIN_SHUTDOWN, "shutting down");
        }
    }

    /**
     * Closes the connection in favor of a new one; a client that has left a message incomplete gets
     * an error first, by which it may try again.
     */
    void evict() {
        if (activity().state() == State.AWAITING_MESSAGE) {
            respondAndClose(PostgresMessages.TOO_MANY_CONNECTIONS, "too many connections");
        } else {
            closeIfIdle();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (closing || endsWithTerminate()) {
                presence.inputEnded();
            } else {
                channel.close();
            }
        }
    }

    /** Returns whether the last message that was received, and not decoded yet, is Terminate. */
    private boolean endsWithTerminate() {
        ByteBuf newest = readAhead.isEmpty() ? decoder.buffer() : readAhead.newest();
        if (newest == null || newest.readableBytes() < TERMINATE_BYTES) {
            return false;
        }
        int start = newest.writerIndex() - TERMINATE_BYTES;
        return newest.getByte(start) == 'X' && newest.getInt(start + 1) == TERMINATE_BYTES - 1;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (channel.isWritable()) {
            if (!channel.config().isAutoRead()) {
                presence.input.pause();
            }
            scheduleDecode();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        if (!responses.isEmpty()) {
            metrics.recordClientLeft(
                    responses.size(), decoder.unreadBytes(), presence.unconfirmedNs());
        }
        clientConnections.connectionClosed(this);
        abandonMessage();
        responses.clear(reqRegistry);
        reqRegistry.onClientConnectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.internalError("client", cause);
        }
        ctx.close();
    }
}
