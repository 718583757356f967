package org.marjoramswitch.daemon.target;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.exchange.TargetClient.Attempt;
import org.marjoramswitch.daemon.exchange.TargetClient.AttemptListener;
import org.marjoramswitch.daemon.exchange.TargetStatusNotice;
import org.marjoramswitch.daemon.http.GrammarCheck;
import org.marjoramswitch.daemon.http.ResponseFault;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.xnio.XnioIoThread;

/**
 * Executes one attempt at a target over HTTP, from the choice of a connection to the single {@code onEnd}.
 *
 * <p>Thread-safety: all steps, including cancellation and deadlines, run on one I/O thread, that of the attempt's
 * connections, so the state needs no lock and the listener is called in order.
 *
 * <p>Not-run guarantee: the outcome is {@code CONNECTION_REFUSED} only if the target refused one, and {@code REFUSED} only
 * if no byte of the request was written, according to the connection's count of written bytes, or if the target reports
 * that it did not start the request. The target may have
 * just closed a pooled connection: if this is detected before a byte was written, one new connection is tried, which
 * cannot execute the request twice; if detected later, the target may have read the request, and the outcome is broken.
 *
 * <p>Correctness: a connection carries one exchange at a time and returns to the pool only after the request was sent
 * completely and its response was read completely and carried the request's id. After a failed, late or cancelled
 * exchange, or a crossed one whose response carried another request's id, the connection is closed, so that the
 * remainder of one response is never read as part of the next. A pooled connection with unread input is not used, since
 * that input belongs to no request. A response that violates the grammar of HTTP is invalid ({@link GrammarCheck}). One
 * without framing (neither length nor chunks) cannot be distinguished from a truncated one and counts as broken, unless the
 * protocol allows it; then its connection must have ended after the request was sent, and without a reset
 * ({@link EndOfInput}). A model engine's stream must also end with its end mark, since a crashing engine may still terminate
 * its chunked encoding properly. Once the end mark was delivered, it is complete however its connection ends.
 *
 * <p>Progress timeout: the deadline restarts with each byte written or read. A model engine may send nothing while it
 * queues the request or generates a non-streaming response, so the state of the request is queried over a new
 * connection and {@link EngineStallPolicy} decides.
 *
 * <p>Resumption: if the engine still has the request, or its complete response, the missing part is fetched over a new
 * connection. This executes nothing: the attempt never sends the request again; the entry instance decides about
 * retries. The abandoned connection stays open until the attempt ends, since some engines cancel a request whose
 * connection closes. An attempt is resumed once, and once more after each resumption that delivered further chunks, so
 * it also ends with an engine that never sends what it reports.
 *
 * <p>For example, a firewall drops the connection after 40 tokens. At the deadline the engine reports 900 tokens; after
 * a brief wait for bytes in flight it reports 940; then {@code GET /v1/resume/<id>?from=40} fetches the remainder, and
 * the caller gets one complete response with a pause in it.
 *
 * <p>Memory: the listener accepts every byte immediately, so the target is never slowed down, and buffers what a slow
 * caller leaves unread, up to the maximum response size. The attempt itself holds one read buffer at a time and what
 * {@link ResponseDelivery} buffers, which counts in {@link HeldResponses} together with a large head.
 */
final class HttpAttempt implements Attempt {
    /** Allows for bytes in flight when the engine reports that it has sent them. */
    private static final long BRIEF_WAIT_MS = 200;

    /**
     * How long the last read may go on after the sockets were read once. It limits targets that never stop sending; a
     * response that is complete when its deadline passes ends the attempt before.
     */
    private static final long MAX_LAST_READ_MS = 2_000;

    private static final long NOT_READ = -1;

    private final TargetConnector connector;
    private final AttemptSpec spec;
    private final TargetAddress address;
    private final AttemptListener listener;
    private final XnioIoThread thread;
    private final long startedAtMs;
    private final ProgressDeadline deadline;
    private final EngineStallPolicy stallPolicy;

    private final ResponseDelivery delivery;
    private final HeldResponses.Holder held;
    private final AttemptLog log;
    private final List<ClientConnection> abandonedConnections = new ArrayList<>(0);

    private TargetCall sending;
    private @Nullable ClientConnection connection;
    private @Nullable ResponseReader reader;
    private @Nullable EngineState lastState;
    private boolean pooled;
    private boolean sentOnAbandoned;
    private int resumeCount;
    private long chunksAtResume;
    private long writtenBefore;
    private long readBefore;
    private boolean requestSent;
    /** Whether the request waits for the check of its caller, during which the target is not responsible for progress. */
    private boolean checkingCaller;

    /** The deadline's progress count when the target was last reported as silent. */
    private long silentAtCount = -1;

    private boolean ended;

    private HttpAttempt(TargetConnector connector, AttemptSpec spec, AttemptListener listener, XnioIoThread thread) {
        this.connector = connector;
        this.spec = spec;
        this.address = spec.address();
        this.listener = listener;
        this.thread = thread;
        this.startedAtMs = connector.nowMs();
        this.deadline = ProgressDeadline.of(
                thread, connector.readBarrier(thread), connector::nowMs, spec.progressTimeoutMs(), this::onSilence);
        this.stallPolicy = EngineStallPolicy.of(spec.call().streaming());
        this.delivery = new ResponseDelivery(listener, spec.protocol().events().begin(spec.call()));
        this.held = connector.heldResponses().holder(() -> thread.execute(this::evict));
        this.log = new AttemptLog(spec);
        this.sending = spec.call();
    }

    /** Starts on a pooled connection if one is available. */
    static HttpAttempt start(TargetConnector connector, AttemptSpec spec, AttemptListener listener) {
        ClientConnection reused = connector.take(spec);
        XnioIoThread thread = reused == null ? connector.anyThread() : reused.getIoThread();
        HttpAttempt attempt = new HttpAttempt(connector, spec, listener, thread);
        thread.execute(() -> attempt.begin(reused));
        return attempt;
    }

    /** Starts on a new connection, on the given I/O thread. */
    static HttpAttempt startFresh(
            TargetConnector connector, AttemptSpec spec, AttemptListener listener, XnioIoThread thread) {
        HttpAttempt attempt = new HttpAttempt(connector, spec, listener, thread);
        thread.execute(() -> attempt.begin(null));
        return attempt;
    }

    @Override
    public void cancel() {
        if (Thread.currentThread() == thread) {
            end(TargetOutcome.CANCELLED);
            return;
        }
        thread.execute(() -> end(TargetOutcome.CANCELLED));
    }

    @Override
    public void expire() {
        onOwnThread(() -> endOnceRead(NOT_READ));
    }

    @Override
    public void endSilent() {
        onOwnThread(() -> connector.readBarrier(thread).afterReads(() -> {
            if (deadline.progressCount() == silentAtCount) {
                end(silentOutcome());
            }
        }));
    }

    /**
     * Ends the attempt once a read of the sockets has brought nothing more. Time counts from the first read: a process
     * that was stopped or is behind has read nothing before, whatever time has passed.
     *
     * @param firstReadMs when the sockets were read first since the deadline, or {@link #NOT_READ}
     */
    private void endOnceRead(long firstReadMs) {
        if (ended) {
            return;
        }
        long progressCount = deadline.progressCount();
        connector.readBarrier(thread).afterReads(() -> {
            long nowMs = connector.nowMs();
            boolean overlong = firstReadMs != NOT_READ && nowMs - firstReadMs >= MAX_LAST_READ_MS;
            if (overlong || deadline.progressCount() == progressCount) {
                end(TargetOutcome.CANCELLED);
            } else {
                endOnceRead(firstReadMs == NOT_READ ? nowMs : firstReadMs);
            }
        });
    }

    private void begin(@Nullable ClientConnection reused) {
        deadline.start();
        if (reused == null) {
            connect();
            return;
        }
        pooled = true;
        send(reused);
    }

    private void connect() {
        pooled = false;
        connector.connect(
                address,
                thread,
                (fresh, isRefused) ->
                        connected(fresh, isRefused ? TargetOutcome.CONNECTION_REFUSED : TargetOutcome.REFUSED));
    }

    private void connected(@Nullable ClientConnection fresh, TargetOutcome outcomeIfNone) {
        if (fresh == null) {
            end(outcomeIfNone);
            return;
        }
        if (ended) {
            TargetConnector.abort(fresh);
            return;
        }
        send(fresh);
    }

    /**
     * Checks the caller first. On a busy instance its close may lie unread, and the target would process the request in
     * vain.
     */
    private void send(ClientConnection usable) {
        checkingCaller = true;
        listener.checkCaller(gone -> onOwnThread(() -> callerChecked(usable, gone)));
    }

    private void onOwnThread(Runnable step) {
        if (Thread.currentThread() == thread) {
            step.run();
            return;
        }
        thread.execute(step);
    }

    private void callerChecked(ClientConnection usable, boolean callerGone) {
        checkingCaller = false;
        if (ended) {
            connector.returnConnection(address, usable);
            return;
        }
        if (callerGone || sending.callerWait().isOver(System.nanoTime())) {
            connector.returnConnection(address, usable);
            end(TargetOutcome.CANCELLED);
            return;
        }
        if (sending.isStale(System.nanoTime())) {
            connector.returnConnection(address, usable);
            end(TargetOutcome.NOT_SENT);
            return;
        }
        connection = usable;
        requestSent = false;
        writtenBefore = usable.getStatistics().getWritten();
        readBefore = usable.getStatistics().getRead();
        if (!usable.isOpen() || (pooled && UnreadInput.isPresent(usable))) {
            connectionFailed();
            return;
        }
        deadline.progress(); // the target is not responsible for the time of the check
        FramingLimit.awaitsHead(usable);
        GrammarCheck.of(usable).awaitsHead(sending.method());
        usable.sendRequest(
                HeadConverter.request(spec, sending, System.nanoTime()), callback(usable, this::requestOpened));
    }

    private void requestOpened(ClientConnection carrier, ClientExchange exchange) {
        exchange.setResponseListener(callback(carrier, this::responseOpened));
        BodyWriter.start(exchange.getRequestChannel(), sending.body(), new BodyWriter.Listener() {
            @Override
            public void onProgress() {
                if (isCurrent(carrier)) {
                    deadline.progress();
                }
            }

            @Override
            public void onSent() {
                if (isCurrent(carrier)) {
                    requestSent = true;
                }
            }

            @Override
            public void onFailed() {
                if (isCurrent(carrier)) {
                    connectionFailed();
                }
            }
        });
    }

    private void responseOpened(ClientConnection carrier, ClientExchange exchange) {
        deadline.progress();
        FramingLimit.progressed(carrier);
        ResponseReader opened = ResponseReader.of(exchange, spec, connector, delivery, held, () -> requestSent);
        reader = opened;
        if (opened.isCrossed()) {
            connector.metrics().responsesCrossed.inc();
            log.crossed(opened);
            connectionFailed();
            return;
        }
        if (!opened.isFinal()) {
            log.interimStatus(opened.status());
            connectionFailed();
            return;
        }
        if (opened.isUnmarkedSuccess() && spec.purpose() == AttemptSpec.Purpose.CALL) {
            connector.metrics().responsesInvalid.inc();
            log.unmarkedSuccess(opened.status());
            resumeOnNewConnection(invalidOutcome());
            return;
        }
        TargetStatusNotice notice = opened.notice();
        if (!notice.isNone()) {
            log.notice(notice);
            listener.onNotice(notice);
        }
        if (resumeCount > 0 && !opened.isContinuation()) {
            end(brokenOutcome());
            return;
        }
        if (opened.endsWithConnection() && sending.body().length > 0) {
            EndOfInput.confirm(carrier, () -> requestSent);
        }
        exchange.getResponseChannel().getReadSetter().set(readable -> read(opened));
        read(opened);
    }

    private void read(ResponseReader opened) {
        if (ended || reader != opened) {
            opened.suspend();
            return;
        }
        deadline.progress();
        ResponseReader.Progress progress = readSafely(opened);
        if (ended || reader != opened) {
            // The connection failed during the read, and the failure was already handled by another callback.
            return;
        }
        switch (progress) {
            case MORE -> {}
            // A task that puts itself into the queue of its thread again would keep the thread from its other sockets.
            case AGAIN -> {
                // Otherwise the read listener would read, too, and add another task each time.
                opened.suspend();
                connector.readBarrier(thread).afterReads(() -> read(opened));
            }
            case WHOLE -> end(TargetOutcome.COMPLETED);
            case NOT_STARTED -> end(TargetOutcome.REFUSED);
            case BROKEN -> {
                if (held.isEvicted()) {
                    evict();
                } else {
                    connectionFailed();
                }
            }
            case INVALID -> invalidEvent();
        }
    }

    /** The target goes on to send, but nothing that follows on this connection is read. */
    private void invalidEvent() {
        connector.metrics().responsesInvalid.inc();
        log.invalidEvent(delivery.fault(), delivery.position());
        TargetOutcome outcome = invalidOutcome();
        if (isAnswered()) {
            end(outcome); // nothing is left to fetch
            return;
        }
        resumeOnNewConnection(outcome);
    }

    /** Ends the attempt, since it holds more than any other while the memory for responses is exhausted. */
    private void evict() {
        if (ended) {
            return;
        }
        connector.metrics().responsesEvicted.inc();
        log.evicted(delivery.heldBytes(), connector.heldResponses());
        end(brokenOutcome());
    }

    /** A listener that throws has lost bytes: continuing would give the caller a response with a gap. */
    private ResponseReader.Progress readSafely(ResponseReader opened) {
        try {
            return opened.read();
        } catch (RuntimeException fault) {
            log.deliveryFailed(fault);
            return ResponseReader.Progress.BROKEN;
        }
    }

    /** Handles a failed connection or a response that must not be delivered. */
    private void connectionFailed() {
        if (ended) {
            return;
        }
        if (isAnswered()) {
            end(TargetOutcome.COMPLETED);
            return;
        }
        if (!isNothingSent()) {
            resumeOnNewConnection(failureOutcome());
            return;
        }
        if (!pooled) {
            end(TargetOutcome.REFUSED);
            return;
        }
        connector.metrics().connectionsFoundDead.inc();
        discard();
        connect();
    }

    /** The outcome of a failed connection; reports a response that violates the grammar of HTTP. */
    private TargetOutcome failureOutcome() {
        ClientConnection failed = connection;
        ResponseFault fault = failed == null ? null : GrammarCheck.of(failed).fault();
        if (fault == null) {
            return brokenOutcome();
        }
        connector.metrics().responsesInvalid.inc();
        log.invalidResponse(fault);
        return invalidOutcome();
    }

    /** Whether an engine's stream was delivered up to its end mark. Only comments may follow it, so nothing can be missing. */
    private boolean isAnswered() {
        return spec.isEngineCall() && delivery.isEndDelivered();
    }

    /** Queries the state of the request, to resume its response over a new connection. */
    private void resumeOnNewConnection(TargetOutcome outcomeIfNotResumable) {
        if (!spec.isQueryable() || !delivery.isResumable()) {
            end(outcomeIfNotResumable);
            return;
        }
        abandonConnection();
        EngineState.query(connector, spec, thread, state -> resume(state, outcomeIfNotResumable));
    }

    private void resume(EngineState state, TargetOutcome outcomeIfNotResumable) {
        if (ended) {
            return;
        }
        lastState = state;
        boolean progressed = delivery.deliveredChunks() > chunksAtResume;
        if (!state.isResumable() || (resumeCount > 0 && !progressed)) {
            end(outcomeIfNotResumable);
            return;
        }
        resumeCount++;
        chunksAtResume = delivery.deliveredChunks();
        sending = spec.resumeFrom(chunksAtResume);
        connector.metrics().responsesResumed.inc();
        log.resumed(chunksAtResume, outcomeIfNotResumable);
        pooled = false;
        deadline.start();
        connector.connect(address, thread, (fresh, isRefused) -> connected(fresh, outcomeIfNotResumable));
    }

    /** Stops using the connection; it is closed only when the attempt ends. */
    private void abandonConnection() {
        deadline.stop();
        sentOnAbandoned = true;
        countBytes();
        ClientConnection abandoned = connection;
        if (abandoned != null) {
            abandonedConnections.add(abandoned);
        }
        connection = null;
        reader = null;
        delivery.discardIncomplete();
    }

    private boolean isNothingSent() {
        ClientConnection used = connection;
        return !sentOnAbandoned && (used == null || used.getStatistics().getWritten() == writtenBefore);
    }

    private boolean isCurrent(ClientConnection carrier) {
        return !ended && connection == carrier;
    }

    private TargetOutcome brokenOutcome() {
        return delivery.hasDelivered() ? TargetOutcome.BROKEN_IN_ANSWER : TargetOutcome.BROKEN_BEFORE_ANSWER;
    }

    private TargetOutcome invalidOutcome() {
        return delivery.hasDelivered() ? TargetOutcome.INVALID_IN_ANSWER : TargetOutcome.INVALID_BEFORE_ANSWER;
    }

    private TargetOutcome silentOutcome() {
        return delivery.hasDelivered() ? TargetOutcome.SILENT_IN_ANSWER : TargetOutcome.SILENT_BEFORE_ANSWER;
    }

    private void onSilence() {
        if (ended) {
            return;
        }
        if (checkingCaller) {
            deadline.start();
        } else if (isNothingSent()) {
            end(TargetOutcome.REFUSED);
        } else if (isAnswered()) {
            end(TargetOutcome.COMPLETED);
        } else if (spec.isQueryable()) {
            long progressCount = deadline.progressCount();
            EngineState.query(connector, spec, thread, state -> onEngineState(state, progressCount));
        } else if (listener.onSilent()) {
            silentAtCount = deadline.progressCount();
            deadline.repeat();
        } else {
            end(silentOutcome());
        }
    }

    /** Bytes that arrived during the query take precedence over its result. */
    private void onEngineState(EngineState state, long progressCountAtQuery) {
        if (ended || connection == null) {
            return;
        }
        if (deadline.progressCount() > progressCountAtQuery) {
            deadline.start();
            return;
        }
        lastState = state;
        EngineStallPolicy.Verdict verdict = stallPolicy.evaluate(state, delivery.deliveredChunks());
        log.silent(state, delivery.deliveredChunks(), verdict);
        switch (verdict) {
            case WAIT -> deadline.start();
            case WAIT_BRIEFLY -> deadline.startBrief(BRIEF_WAIT_MS);
            case LEAVE_CONNECTION -> resumeAfterSilence(state);
            case GIVE_UP -> end(silentOutcome());
        }
    }

    private void resumeAfterSilence(EngineState state) {
        if (!delivery.isResumable()) {
            end(silentOutcome());
            return;
        }
        abandonConnection();
        resume(state, silentOutcome());
    }

    private void end(TargetOutcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        deadline.stop();
        countBytes();
        held.close();
        releaseConnections(outcome);
        Usage usage = usage();
        int status = reader == null ? 0 : reader.status();
        connector.metrics().ended(spec.purpose(), outcome);
        log.ended(outcome, status, usage, pooled, deadline, delivery.position());
        listener.onEnd(outcome, usage);
    }

    private void releaseConnections(TargetOutcome outcome) {
        releaseConnection(outcome);
        abandonedConnections.forEach(this::abort);
        if (outcome != TargetOutcome.SILENT_BEFORE_ANSWER && outcome != TargetOutcome.SILENT_IN_ANSWER) {
            return;
        }
        connector.pool().closeIdle(address);
        EngineState state = lastState;
        if (state != null && state.isHeld()) {
            // Closing a silent connection may not reach the engine, which would continue a request without a caller.
            EngineState.cancel(connector, spec, thread);
        }
    }

    private void releaseConnection(TargetOutcome outcome) {
        ResponseReader opened = reader;
        boolean reusable = opened != null && opened.isReusable();
        boolean responseRead = outcome == TargetOutcome.COMPLETED || outcome == TargetOutcome.REFUSED;
        ClientConnection used = connection;
        if (used != null && responseRead && reusable && requestSent && used.isOpen()) {
            connector.returnConnection(address, used);
            return;
        }
        discard();
    }

    private void discard() {
        ClientConnection used = connection;
        connection = null;
        if (used != null) {
            abort(used);
        }
    }

    private void abort(ClientConnection used) {
        connector.metrics().connectionsDiscarded.inc();
        TargetConnector.abort(used);
    }

    private void countBytes() {
        ClientConnection used = connection;
        if (used != null) {
            long read = used.getStatistics().getRead() - readBefore;
            long written = used.getStatistics().getWritten() - writtenBefore;
            connector.metrics().bytes(spec.purpose(), read + written);
        }
    }

    private Usage usage() {
        TokenUsage tokens = delivery.usage();
        long targetTimeMs = connector.nowMs() - startedAtMs;
        return Usage.of(tokens.promptTokens(), tokens.cachedPromptTokens(), tokens.outputTokens(), targetTimeMs);
    }

    private ClientCallback<ClientExchange> callback(ClientConnection carrier, ExchangeStep step) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                if (isCurrent(carrier)) {
                    step.proceed(carrier, exchange);
                }
            }

            @Override
            public void failed(IOException e) {
                if (isCurrent(carrier)) {
                    connectionFailed();
                }
            }
        };
    }

    private interface ExchangeStep {
        void proceed(ClientConnection carrier, ClientExchange exchange);
    }
}
