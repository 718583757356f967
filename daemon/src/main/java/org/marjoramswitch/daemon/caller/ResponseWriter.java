package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.CallerCheck;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes one response to one caller without blocking. Runs on the connection's I/O thread.
 *
 * <p>Correctness: every body has a length or is sent in chunks, also on a connection that is closed after the response.
 * A body with neither ends with its connection, so a partial one would pass for complete. The end of a chunked body, or
 * the last byte of a body of known length, is written if and only if the response's end is {@link
 * ResponseEnd.Complete}. A failure before the head becomes a problem body. A failure after the head ends an event stream
 * with an {@code error} event that holds the problem; in any case the connection is then closed within the body, which
 * every HTTP/1.1 client reports as an error. A partial response is therefore never mistaken for a complete one.
 *
 * <p>While an event stream has nothing to send, a comment is sent every few seconds: the caller detects that the connection works, and a failing write reports a failed connection here.
 *
 * <p>The connection of a caller that does not read is closed in two cases: the caller has too many unread bytes ({@link
 * ResponseBuffer} decides), or it has accepted no byte for the stall timeout.
 */
final class ResponseWriter implements ResponseBufferListener {
    private static final byte[] KEEP_ALIVE = ": keep-alive\n\n".getBytes(StandardCharsets.UTF_8);
    private static final String EVENT_STREAM = "text/event-stream";
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);
    /**
     * Chunks that are written without handling the other sockets of the I/O thread. A thread handles its sockets only when its
     * task queue is empty, which it never is while chunks arrive as fast as they are written.
     */
    private static final int MAX_CONSECUTIVE_CHUNKS = 16;

    private final HttpServerExchange exchange;
    private final long requestId;
    private final Times times;
    private final Listener listener;
    private final boolean unchanged;
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private final AtomicBoolean dropped = new AtomicBoolean();
    private ResponseBuffer.@Nullable Cursor cursor;
    private @Nullable CallerWatch watch;
    private @Nullable StreamSinkChannel channel;
    private @Nullable EventFramer framer;
    private XnioExecutor.@Nullable Key timer;
    private ByteBuffer pending = EMPTY;
    private @Nullable Failure interruption;
    private boolean inputEnded;
    private boolean lastBytesPending;
    private boolean done;
    private boolean waitingForWrite;
    private int consecutiveChunks;
    private long bytesWritten;
    private long writtenAtLastTick;
    private long stalledMs;

    private ResponseWriter(
            HttpServerExchange exchange, long requestId, Times times, Listener listener, boolean unchanged) {
        this.unchanged = unchanged;
        this.exchange = exchange;
        this.requestId = requestId;
        this.times = times;
        this.listener = listener;
    }

    /** Interval of comments in an idle event stream, and how long a caller may accept no byte. */
    record Times(int keepAliveMs, int stallTimeoutMs) {}

    /** Receives the progress of the writing. Called on the I/O thread. */
    interface Listener {
        /** A problem is about to be written; its headers may still be changed. */
        default void onRefusal(Failure failure) {}

        /** The head of the response or of a problem is about to be written. */
        void onHead(int status);

        /** A part of the response's body was written. */
        default void onWritten() {}

        /**
         * The caller's input ended, which may mean that it closed its connection.
         *
         * @return the failure to report to it now, or null to continue to the response's end
         */
        @Nullable
        Failure onInputEnded();

        /** The writing has ended. Called once. */
        void onEnd(Result result);
    }

    /** How writing to a caller ended. */
    record Result(Outcome outcome, @Nullable Failure failure, long bytes) {
        /** Whether the caller disconnected or read too slowly, so that no caller is left. */
        boolean abandoned() {
            return outcome == Outcome.CALLER_GONE || outcome == Outcome.SLOW_CALLER;
        }
    }

    /** What the caller received. */
    enum Outcome {
        /** The complete response. */
        ANSWERED,
        /** A problem body. */
        REFUSED,
        /** A partial response; the closed connection marks it as incomplete. */
        CUT,
        /** Nothing more, because it had closed its connection. */
        CALLER_GONE,
        /** A partial response, because it did not read the remainder in time. */
        SLOW_CALLER
    }

    static ResponseWriter of(HttpServerExchange exchange, long requestId, Times times, Listener listener) {
        return new ResponseWriter(exchange, requestId, times, listener, false);
    }

    /** Returns a writer that adds nothing to a response: the caller receives the target's bytes, or a part of them. */
    static ResponseWriter unchanged(HttpServerExchange exchange, long requestId, Times times, Listener listener) {
        return new ResponseWriter(exchange, requestId, times, listener, true);
    }

    /** Starts reading the response; false if its first bytes have been freed. */
    boolean start(ResponseBuffer buffer) {
        ResponseBuffer.Cursor opened = buffer.open(this);
        if (opened == null) {
            return false;
        }
        cursor = opened;
        watch = CallerWatch.start(exchange, new WatchListener());
        onMore();
        return true;
    }

    /** Reads the caller's input and passes on whether the caller has disconnected; see {@link CallerCheck#check}. */
    void checkCaller(CallerCheck.Result result) {
        if (Thread.currentThread() != exchange.getIoThread()) {
            exchange.getIoThread().execute(() -> checkCaller(result));
            return;
        }
        try {
            Objects.requireNonNull(watch).readInput();
        } finally {
            result.accept(done || inputEnded);
        }
    }

    @Override
    public void onMore() {
        if (scheduled.compareAndSet(false, true)) {
            exchange.getIoThread().execute(this::run);
        }
    }

    @Override
    public void onDropped() {
        dropped.set(true);
        onMore();
    }

    private void run() {
        scheduled.set(false);
        if (done || (waitingForWrite && !dropped.get())) {
            return;
        }
        try {
            pump();
        } catch (IOException e) {
            finishBroken(Outcome.CALLER_GONE, null);
        }
    }

    private void pump() throws IOException {
        if (dropped.get()) {
            finishBroken(Outcome.SLOW_CALLER, null);
            return;
        }
        if (channel == null && !begin()) {
            return;
        }
        StreamSinkChannel sink = Objects.requireNonNull(channel);
        while (writePending(sink)) {
            if (lastBytesPending) {
                finish(sink);
                return;
            }
            if (!fill()) {
                flush(sink);
                return;
            }
            consecutiveChunks++;
            if (consecutiveChunks == MAX_CONSECUTIVE_CHUNKS) {
                waitForWrite(sink);
                return;
            }
        }
    }

    /** Writes the head, or a problem if there is no response; true if the body may follow. */
    private boolean begin() throws IOException {
        ResponseBuffer.Cursor source = Objects.requireNonNull(cursor);
        ResponseHead head = source.head();
        if (head != null) {
            writeHead(head, source.knownLength());
            return true;
        }
        ResponseEnd end = source.end();
        if (end == null) {
            return false;
        }
        refuse(end instanceof ResponseEnd.Failed failed ? failed.failure() : missingHead(), Outcome.REFUSED);
        return false;
    }

    private void refuse(Failure failure, Outcome outcome) {
        stopWatching();
        listener.onRefusal(failure);
        listener.onHead(failure.type().httpStatus());
        long bytes = Replies.sendProblem(exchange, failure, requestId);
        end(new Result(outcome, failure, bytes));
    }

    private static Failure missingHead() {
        return Failure.unknown(ErrorType.INTERNAL, "an answer without a head");
    }

    private void writeHead(ResponseHead head, long knownLength) {
        exchange.setStatusCode(head.status());
        HeaderMap headers = exchange.getResponseHeaders();
        head.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
        if (canHaveBody(head.status())) {
            frameBody(headers, knownLength);
        }
        String contentType = headers.getFirst(Headers.CONTENT_TYPE);
        if (!unchanged
                && contentType != null
                && contentType.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM)) {
            framer = new EventFramer();
        }
        listener.onHead(head.status());
        StreamSinkChannel sink = exchange.getResponseChannel();
        sink.getWriteSetter().set(ready -> onWritable());
        channel = sink;
        armTimer();
    }

    /** @param knownLength negative if it is not known yet */
    private void frameBody(HeaderMap headers, long knownLength) {
        if (knownLength >= 0) {
            exchange.setResponseContentLength(knownLength);
            return;
        }
        // Undertow chooses chunks by itself on persistent connections only.
        headers.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
    }

    private boolean canHaveBody(int status) {
        boolean bodiless = status == StatusCodes.NO_CONTENT || status == StatusCodes.NOT_MODIFIED;
        return !bodiless && !exchange.getRequestMethod().equals(Methods.HEAD);
    }

    /** Puts the next bytes into {@code pending}; false if none are available. */
    private boolean fill() {
        ResponseBuffer.Cursor source = Objects.requireNonNull(cursor);
        byte[] next = source.next();
        if (next != null) {
            pending = ByteBuffer.wrap(framer == null ? next : framer.accept(next));
            return true;
        }
        ResponseEnd end = source.end();
        if (end == null) {
            return false;
        }
        lastBytesPending = true;
        if (end instanceof ResponseEnd.Failed failed) {
            interruption = failed.failure();
        }
        pending = ByteBuffer.wrap(finalBytes(interruption));
        return true;
    }

    private byte[] finalBytes(@Nullable Failure failure) {
        if (framer == null) {
            return new byte[0];
        }
        if (failure == null) {
            return framer.remainder();
        }
        // Within an event an error event would corrupt the stream; closing the connection is the only signal.
        return framer.atBoundary() ? errorEvent(failure) : new byte[0];
    }

    private byte[] errorEvent(Failure failure) {
        String data = new String(Problem.body(failure, requestId), StandardCharsets.UTF_8);
        return ("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Writes the pending bytes; false if the socket's send buffer is full. */
    private boolean writePending(StreamSinkChannel sink) throws IOException {
        while (pending.hasRemaining()) {
            int count = sink.write(pending);
            if (count == 0) {
                Objects.requireNonNull(cursor).holdUnwritten(pending.capacity());
                waitForWrite(sink);
                return false;
            }
            bytesWritten += count;
            listener.onWritten();
        }
        return true;
    }

    private void flush(StreamSinkChannel sink) throws IOException {
        if (!sink.flush()) {
            waitForWrite(sink);
        }
    }

    private void waitForWrite(StreamSinkChannel sink) {
        waitingForWrite = true;
        sink.resumeWrites();
    }

    private void onWritable() {
        if (done) {
            return;
        }
        waitingForWrite = false;
        consecutiveChunks = 0;
        Objects.requireNonNull(cursor).holdUnwritten(0);
        Objects.requireNonNull(channel).suspendWrites();
        run();
    }

    private void finish(StreamSinkChannel sink) throws IOException {
        stopWatching();
        if (interruption == null) {
            sink.shutdownWrites();
        }
        if (!sink.flush()) {
            waitForWrite(sink);
            return;
        }
        if (interruption != null) {
            finishBroken(Outcome.CUT, interruption);
            return;
        }
        end(new Result(Outcome.ANSWERED, null, bytesWritten));
        exchange.endExchange();
    }

    private void finishBroken(Outcome outcome, @Nullable Failure failure) {
        stopWatching();
        end(new Result(outcome, failure, bytesWritten));
        IoUtils.safeClose(exchange.getConnection());
    }

    private void end(Result result) {
        if (done) {
            return;
        }
        done = true;
        if (timer != null) {
            timer.remove();
        }
        if (cursor != null) {
            cursor.close();
        }
        listener.onEnd(result);
    }

    private void stopWatching() {
        if (watch != null) {
            watch.stop();
        }
    }

    private void armTimer() {
        timer = exchange.getIoThread().executeAfter(this::onTick, times.keepAliveMs(), TimeUnit.MILLISECONDS);
    }

    private void onTick() {
        if (done) {
            return;
        }
        boolean progress = bytesWritten != writtenAtLastTick;
        writtenAtLastTick = bytesWritten;
        stalledMs = progress || !waitingForWrite ? 0 : stalledMs + times.keepAliveMs();
        if (stalledMs >= times.stallTimeoutMs()) {
            finishBroken(Outcome.SLOW_CALLER, null);
            return;
        }
        armTimer();
        if (!progress && canSendKeepAlive()) {
            pending = ByteBuffer.wrap(KEEP_ALIVE);
            run();
        }
    }

    private boolean canSendKeepAlive() {
        return framer != null
                && framer.atBoundary()
                && !waitingForWrite
                && !lastBytesPending
                && !pending.hasRemaining();
    }

    /** Handles the caller's disconnect while its response is outstanding. */
    private final class WatchListener implements CallerWatch.Listener {
        @Override
        public void onInputEnded() {
            inputEnded = true;
            if (done) {
                return;
            }
            Failure failure = listener.onInputEnded();
            if (failure == null) {
                return;
            }
            if (channel == null) {
                exchange.setPersistent(false);
                refuse(failure, Outcome.CALLER_GONE);
            } else {
                finishBroken(Outcome.CALLER_GONE, failure);
            }
        }

        @Override
        public void onClosed() {
            finishBroken(Outcome.CALLER_GONE, null);
        }
    }
}
