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
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes one answer to one caller without blocking, all on the connection's IO thread.
 *
 * <p>The rule that this class keeps: the end of a chunked body, or the last of the announced bytes, is written if and
 * only if the answer's end is {@link ResponseEnd.Complete}. A failure before the head becomes a problem body. A failure
 * after it ends an event stream with an {@code error} event that holds the problem, and in any case the connection is
 * then closed in the middle of the body, which every HTTP/1.1 client reports as an error. So a part never passes for
 * the whole.
 *
 * <p>While an event stream has nothing to send, a comment goes out every few seconds: the caller sees that the
 * connection still carries, and this side learns by the failing write where it does not.
 *
 * <p>A caller that does not read is cut in two cases: it is too many bytes behind ({@link ResponseBuffer} decides), or it
 * has taken no byte for the stall timeout.
 */
final class ResponseWriter implements ResponseReader {
    private static final byte[] KEEP_ALIVE = ": keep-alive\n\n".getBytes(StandardCharsets.UTF_8);
    private static final String EVENT_STREAM = "text/event-stream";
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

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
    private @Nullable Failure cutBy;
    private boolean lastPart;
    private boolean done;
    private boolean waitsForWrite;
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

    /** How long an open event stream may be silent, and how long a caller may take no byte. */
    record Times(int keepAliveMs, int stallTimeoutMs) {}

    /** Follows the writing; called on the IO thread. */
    interface Listener {
        /** A problem is about to be written; its head may still be changed. */
        default void onRefusal(Failure failure) {}

        /** The head of the answer, or a problem, begins to be written. */
        void onHead(int status);

        /**
         * The caller sends no more, which may mean that it closed its connection.
         *
         * @return what to tell it now, or null to go on until the answer's end
         */
        @Nullable
        Failure onInputEnded();

        /** The writing is over, once. */
        void onEnd(Result result);
    }

    /** How the writing to a caller ended. */
    record Result(Outcome outcome, @Nullable Failure failure, long bytes) {
        /** Whether the caller left, or read too slowly to go on, so that nobody is there to take more. */
        boolean abandoned() {
            return outcome == Outcome.CALLER_GONE || outcome == Outcome.SLOW_CALLER;
        }
    }

    /** What the caller got. */
    enum Outcome {
        /** The whole answer. */
        ANSWERED,
        /** A problem body. */
        REFUSED,
        /** A part of an answer, and a cut that shows it. */
        CUT,
        /** Nothing more; it had closed its connection. */
        CALLER_GONE,
        /** A part of an answer; it did not read the rest in time. */
        SLOW_CALLER
    }

    static ResponseWriter of(HttpServerExchange exchange, long requestId, Times times, Listener listener) {
        return new ResponseWriter(exchange, requestId, times, listener, false);
    }

    /** A writer that adds nothing of its own to an answer: what the caller gets is what the target sent, or cut. */
    static ResponseWriter unchanged(HttpServerExchange exchange, long requestId, Times times, Listener listener) {
        return new ResponseWriter(exchange, requestId, times, listener, true);
    }

    /** Begins to follow the answer; false where its first bytes are not held any more. */
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
        if (done || (waitsForWrite && !dropped.get())) {
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
            if (lastPart) {
                finish(sink);
                return;
            }
            if (!fill()) {
                flush(sink);
                return;
            }
        }
    }

    /** Writes the head, or the problem where there is no answer; false where neither is known yet. */
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
        refuse(end instanceof ResponseEnd.Failed failed ? failed.failure() : emptyAnswer(), Outcome.REFUSED);
        return false;
    }

    private void refuse(Failure failure, Outcome outcome) {
        stopWatching();
        listener.onRefusal(failure);
        listener.onHead(failure.type().httpStatus());
        long bytes = Replies.sendProblem(exchange, failure, requestId);
        end(new Result(outcome, failure, bytes));
    }

    private static Failure emptyAnswer() {
        return Failure.unknown(ErrorType.INTERNAL, "an answer without a head");
    }

    private void writeHead(ResponseHead head, long knownLength) {
        exchange.setStatusCode(head.status());
        HeaderMap headers = exchange.getResponseHeaders();
        head.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
        if (knownLength >= 0 && mayHaveBody(head.status())) {
            exchange.setResponseContentLength(knownLength);
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

    private boolean mayHaveBody(int status) {
        boolean bodiless = status == StatusCodes.NO_CONTENT || status == StatusCodes.NOT_MODIFIED;
        return !bodiless && !exchange.getRequestMethod().equals(Methods.HEAD);
    }

    /** Puts the next bytes into {@code pending}; false where there are none now. */
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
        lastPart = true;
        if (end instanceof ResponseEnd.Failed failed) {
            cutBy = failed.failure();
        }
        pending = ByteBuffer.wrap(lastBytes(cutBy));
        return true;
    }

    private byte[] lastBytes(@Nullable Failure failure) {
        if (framer == null) {
            return new byte[0];
        }
        if (failure == null) {
            return framer.rest();
        }
        // In the middle of an event nothing can be said without garbling it; the cut alone tells then.
        return framer.atBoundary() ? errorEvent(failure) : new byte[0];
    }

    private byte[] errorEvent(Failure failure) {
        String data = new String(Problem.body(failure, requestId), StandardCharsets.UTF_8);
        return ("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Writes what is pending; false where the caller has to take some first. */
    private boolean writePending(StreamSinkChannel sink) throws IOException {
        while (pending.hasRemaining()) {
            int count = sink.write(pending);
            if (count == 0) {
                waitForWrite(sink);
                return false;
            }
            bytesWritten += count;
        }
        return true;
    }

    private void flush(StreamSinkChannel sink) throws IOException {
        if (!sink.flush()) {
            waitForWrite(sink);
        }
    }

    private void waitForWrite(StreamSinkChannel sink) {
        waitsForWrite = true;
        sink.resumeWrites();
    }

    private void onWritable() {
        if (done) {
            return;
        }
        waitsForWrite = false;
        Objects.requireNonNull(channel).suspendWrites();
        run();
    }

    private void finish(StreamSinkChannel sink) throws IOException {
        stopWatching();
        if (cutBy == null) {
            sink.shutdownWrites();
        }
        if (!sink.flush()) {
            waitForWrite(sink);
            return;
        }
        if (cutBy != null) {
            finishBroken(Outcome.CUT, cutBy);
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
        stalledMs = progress || !waitsForWrite ? 0 : stalledMs + times.keepAliveMs();
        if (stalledMs >= times.stallTimeoutMs()) {
            finishBroken(Outcome.SLOW_CALLER, null);
            return;
        }
        armTimer();
        if (!progress && mayComment()) {
            pending = ByteBuffer.wrap(KEEP_ALIVE);
            run();
        }
    }

    private boolean mayComment() {
        return framer != null && framer.atBoundary() && !waitsForWrite && !lastPart && !pending.hasRemaining();
    }

    /** Hears of the caller while its answer is outstanding. */
    private final class WatchListener implements CallerWatch.Listener {
        @Override
        public void onInputEnded() {
            if (done) {
                return;
            }
            Failure told = listener.onInputEnded();
            if (told == null) {
                return;
            }
            if (channel == null) {
                exchange.setPersistent(false);
                refuse(told, Outcome.CALLER_GONE);
            } else {
                finishBroken(Outcome.CALLER_GONE, told);
            }
        }

        @Override
        public void onClosed() {
            finishBroken(Outcome.CALLER_GONE, null);
        }
    }
}
