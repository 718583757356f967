package org.marjoramswitch.daemon.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * A connection whose first request is rejected before it is read whole: its head is read, the prepared response is
 * written, and what follows is read and discarded until the caller closes the connection or a short time has passed. A
 * socket that is closed with unread input sends a reset, which discards the response before its caller has read it.
 *
 * <p>Used by the thread of {@link CallerAcceptor} only.
 */
final class RejectedConnection {
    /** Waiting longer for the first byte would keep the place of a caller that has sent one. */
    private static final long FIRST_BYTE_MS = 250;
    /** Callers abandon a request that was not read after a second, so a head that is still incomplete is answered before. */
    private static final long HEAD_MS = 500;

    private static final long LINGER_MS = 1_000;
    private static final int MAX_HEAD_BYTES = 64 << 10;
    /** Other connections have their turn after this. */
    private static final int MAX_READ_BYTES = 128 << 10;

    private static final byte[] HEAD_METHOD = {'H', 'E', 'A', 'D', ' '};
    private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};

    private final SocketChannel channel;
    /** Bytes of the request that were read before. */
    private final byte[] prefetched;

    private final @Nullable UnreadHead prefetchedHead;

    private final UnreadHeadParser parser;
    private final PreparedRejections responses;
    private final ByteBuffer input;
    private @Nullable SelectionKey key;
    private @Nullable ByteBuffer response;
    private State state = State.HEAD;
    private long stateSinceMs;
    private long receivedBytes;
    private int matchedMethod;
    private int matchedEnd;
    private @Nullable UnreadHead head;
    /** Bytes of the request that have not been read; meaningful only if the length of its body is known. */
    private long missingBytes;

    /** The progress of a rejection. */
    enum State {
        /** The head is read. */
        HEAD,
        /** The response is written. */
        RESPONSE,
        /** The response was written; the remainder of the request is discarded. */
        REMAINDER,
        /** The caller has sent nothing, so that there is nothing to reject yet. */
        SILENT,
        /** Closed after the response was written. */
        REJECTED,
        /** Closed by the caller before the response was written, or broken. */
        GONE
    }

    private RejectedConnection(
            WaitingConnection waiting,
            UnreadHeadParser parser,
            PreparedRejections responses,
            ByteBuffer input,
            long nowMs) {
        this.parser = parser;
        this.channel = waiting.channel();
        this.prefetched = waiting.prefetched();
        this.prefetchedHead = waiting.head();
        this.responses = responses;
        this.input = input;
        this.stateSinceMs = nowMs;
    }

    /** @param input a buffer of the thread, whose contents are not kept between two calls */
    static RejectedConnection of(
            WaitingConnection waiting,
            UnreadHeadParser parser,
            PreparedRejections responses,
            ByteBuffer input,
            long nowMs) {
        return new RejectedConnection(waiting, parser, responses, input, nowMs);
    }

    State state() {
        return state;
    }

    SocketChannel channel() {
        return channel;
    }

    /** The request's head; null if it was not received at once. */
    @Nullable
    UnreadHead head() {
        return head;
    }

    /** Whether nothing more is to be done on this connection by this class. */
    boolean hasEnded() {
        return state == State.SILENT || state == State.REJECTED || state == State.GONE;
    }

    /** Begins the rejection with what has been received already. */
    void begin(Selector selector, long nowMs) {
        proceed(nowMs);
        if (hasEnded()) {
            return;
        }
        try {
            key = channel.register(selector, interest(), this);
        } catch (ClosedChannelException e) {
            end(State.GONE);
        }
    }

    /** Continues after the channel has become ready. */
    void proceed(long nowMs) {
        try {
            if (state == State.HEAD) {
                readHead(nowMs);
            }
            if (state == State.RESPONSE && head != null && missingBytes > 0) {
                readBody();
            }
            if (state == State.RESPONSE) {
                write(nowMs);
            }
            if (state == State.REMAINDER) {
                discard();
            }
            if (key != null && key.isValid()) {
                key.interestOps(interest());
            }
        } catch (IOException e) {
            end(state == State.REMAINDER ? State.REJECTED : State.GONE);
        }
    }

    /** Ends what has taken too long. */
    void checkTime(long nowMs) {
        long elapsedMs = nowMs - stateSinceMs;
        if (state == State.HEAD && receivedBytes == 0 && elapsedMs >= FIRST_BYTE_MS) {
            handBack();
        } else if (state == State.HEAD && elapsedMs >= HEAD_MS) {
            respond(nowMs);
            proceed(nowMs);
        } else if (state == State.RESPONSE && elapsedMs >= LINGER_MS) {
            end(State.GONE);
        } else if (state == State.REMAINDER && elapsedMs >= LINGER_MS) {
            end(State.REJECTED);
        }
    }

    void close() {
        IoUtils.safeClose(channel);
    }

    private void handBack() {
        if (key != null) {
            key.cancel();
        }
        state = State.SILENT;
    }

    private int interest() {
        return state == State.RESPONSE ? SelectionKey.OP_WRITE : SelectionKey.OP_READ;
    }

    private void readHead(long nowMs) throws IOException {
        boolean isFirst = receivedBytes == 0;
        input.clear();
        if (isFirst) {
            input.put(prefetched);
        }
        if (channel.read(input) < 0 && input.position() == 0) {
            end(State.GONE);
            return;
        }
        input.flip();
        UnreadHead parsed = isFirst ? firstHead() : null;
        if (parsed != null) {
            head = parsed;
            missingBytes = parsed.headBytes() + parsed.bodyBytes() - input.limit();
        }
        while (input.hasRemaining() && matchedEnd < HEAD_END.length) {
            match(input.get());
        }
        if (matchedEnd == HEAD_END.length || receivedBytes > MAX_HEAD_BYTES) {
            respond(nowMs);
        }
    }

    private @Nullable UnreadHead firstHead() {
        return prefetchedHead == null ? parser.parse(input) : prefetchedHead;
    }

    /** Reads what has arrived of the body, so that the connection need not stay open after the response. */
    private void readBody() throws IOException {
        input.clear();
        int count = channel.read(input);
        if (count > 0) {
            receivedBytes += count;
            missingBytes -= count;
        }
    }

    private void match(byte next) {
        if (receivedBytes < HEAD_METHOD.length && HEAD_METHOD[(int) receivedBytes] == next) {
            matchedMethod++;
        }
        receivedBytes++;
        if (next == HEAD_END[matchedEnd]) {
            matchedEnd++;
        } else {
            matchedEnd = next == HEAD_END[0] ? 1 : 0;
        }
    }

    private void respond(long nowMs) {
        response = responses.next(matchedMethod == HEAD_METHOD.length);
        state = State.RESPONSE;
        stateSinceMs = nowMs;
    }

    private void write(long nowMs) throws IOException {
        ByteBuffer left = response;
        if (left == null) {
            return;
        }
        channel.write(left);
        if (left.hasRemaining()) {
            return;
        }
        if (isRequestComplete()) {
            end(State.REJECTED);
            return;
        }
        channel.shutdownOutput();
        state = State.REMAINDER;
        stateSinceMs = nowMs;
    }

    /** Whether nothing of the request is left to arrive, so that the connection can be closed without a reset. */
    private boolean isRequestComplete() {
        UnreadHead known = head;
        return known != null && known.bodyBytes() != UnreadHead.UNKNOWN && missingBytes == 0;
    }

    private void discard() throws IOException {
        int discarded = 0;
        while (discarded < MAX_READ_BYTES) {
            input.clear();
            int count = channel.read(input);
            if (count < 0) {
                end(State.REJECTED);
                return;
            }
            if (count == 0) {
                return;
            }
            discarded += count;
            receivedBytes += count;
            missingBytes -= count;
            if (isRequestComplete()) {
                end(State.REJECTED);
                return;
            }
            if (receivedBytes > LingeringClose.MAX_DRAINED_BYTES) {
                end(State.REJECTED);
                return;
            }
        }
    }

    private void end(State reached) {
        state = reached;
        close();
    }
}
