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
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.xnio.XnioIoThread;

/**
 * One attempt at a target, from the choice of a connection to the one {@code onEnd}.
 *
 * <p>Every step runs on one IO thread, that of the attempt's connections, so that the state needs no lock and the
 * listener is called in order. A cancel and the deadline are steps like the others.
 *
 * <p><b>May it be said that the request did not run?</b> Only where not a byte of it went out, which the connection's
 * own count of written bytes decides, or where the target says so. A pooled connection may have been closed by the
 * target a moment ago: if that shows before a byte was written, one fresh connection is tried, which repeats nothing;
 * if it shows later, the target may have read the request before it closed, and the outcome is broken.
 *
 * <p><b>Is the answer the request's own, and whole?</b> A connection carries one exchange at a time and is given back
 * to the pool only after an exchange whose request went out whole, whose answer was read whole and echoed the request's
 * id. Anything cut, late, cancelled or crossed closes the connection, so that the rest of one answer is never read as
 * the next one's. An answer whose end the framing does not show (neither length nor chunks) cannot be told from a
 * broken one and counts as broken; a stream of a model engine must also end with its end mark, since an engine that
 * dies can still close its chunks properly.
 *
 * <p><b>Silence.</b> The deadline starts anew with each byte written or read. A model engine may have good reason to be
 * silent: it gives a whole answer only at its end, and works off its own queue first. So it is asked over a new
 * connection what it makes of the request, and {@link EngineStallPolicy} judges.
 *
 * <p><b>Going on.</b> An engine that still has the request, or its whole answer, is asked for the part that did not come,
 * over a new connection. That executes nothing: the request itself is never sent again from here; whether it may be, its
 * entry decides. The connection that is left stays open to the attempt's end, since some engines cancel a request whose
 * connection closes. The attempt goes on once, and once more for each time that this brought the answer further, so it
 * ends also with an engine that promises and never delivers.
 *
 * <p>For example, a firewall forgets the connection after 40 tokens. At the deadline the engine says 900; a moment later,
 * for what may be on its way, 940; then {@code GET /v1/resume/<id>?from=40} brings the rest, and the caller sees one
 * whole answer with a pause in it.
 *
 * <p><b>Memory.</b> The listener takes every byte at once, so the target is never slowed down: what a slow caller leaves
 * unread is held by the listener. It is bounded by the largest answer taken; within the attempt there is one read buffer
 * at a time and what {@link ResponseDelivery} holds.
 */
final class HttpAttempt implements Attempt {
    /** For bytes that are on their way when the engine says that it has sent them. */
    private static final long BRIEF_WAIT_MS = 200;

    private final TargetConnector connector;
    private final AttemptSpec spec;
    private final TargetAddress address;
    private final AttemptListener listener;
    private final XnioIoThread thread;
    private final long startedAtMs;
    private final ProgressDeadline deadline;
    private final EngineStallPolicy patience;

    private final ResponseDelivery delivery;
    private final AttemptLog log;
    private final List<ClientConnection> leftConnections = new ArrayList<>(0);

    private TargetCall sending;
    private @Nullable ClientConnection connection;
    private @Nullable ResponseReader reader;
    private @Nullable EngineState lastState;
    private boolean pooled;
    private boolean sentEarlier;
    private int resumes;
    private long chunksAtResume;
    private long writtenBefore;
    private long readBefore;
    private boolean requestSent;
    private boolean ended;

    private HttpAttempt(TargetConnector connector, AttemptSpec spec, AttemptListener listener, XnioIoThread thread) {
        this.connector = connector;
        this.spec = spec;
        this.address = spec.address();
        this.listener = listener;
        this.thread = thread;
        this.startedAtMs = connector.nowMs();
        this.deadline = ProgressDeadline.of(thread, connector::nowMs, spec.progressTimeoutMs(), this::onSilence);
        this.patience = EngineStallPolicy.of(spec.call().streaming());
        this.delivery = new ResponseDelivery(listener);
        this.log = new AttemptLog(spec);
        this.sending = spec.call();
    }

    /** Starts on a pooled connection where there is one. */
    static HttpAttempt start(TargetConnector connector, AttemptSpec spec, AttemptListener listener) {
        ClientConnection reused = connector.take(spec);
        XnioIoThread thread = reused == null ? connector.anyThread() : reused.getIoThread();
        HttpAttempt attempt = new HttpAttempt(connector, spec, listener, thread);
        thread.execute(() -> attempt.begin(reused));
        return attempt;
    }

    /** Starts on a fresh connection, on the given thread. */
    static HttpAttempt startFresh(
            TargetConnector connector, AttemptSpec spec, AttemptListener listener, XnioIoThread thread) {
        HttpAttempt attempt = new HttpAttempt(connector, spec, listener, thread);
        thread.execute(() -> attempt.begin(null));
        return attempt;
    }

    @Override
    public void cancel() {
        thread.execute(() -> end(TargetOutcome.CANCELLED));
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
        connector.connect(address, thread, fresh -> connected(fresh, TargetOutcome.REFUSED));
    }

    private void connected(@Nullable ClientConnection fresh, TargetOutcome outcomeIfNone) {
        if (fresh == null) {
            end(outcomeIfNone);
            return;
        }
        if (ended) {
            TargetConnector.cut(fresh);
            return;
        }
        send(fresh);
    }

    private void send(ClientConnection usable) {
        if (sending.isExpired(System.nanoTime())) {
            // On a busy instance the decisions' own end of the request may come after its turn here or its connection.
            // Sent
            // now, the target would work for nobody.
            connector.giveBack(address, usable);
            end(TargetOutcome.CANCELLED);
            return;
        }
        connection = usable;
        requestSent = false;
        writtenBefore = usable.getStatistics().getWritten();
        readBefore = usable.getStatistics().getRead();
        if (!usable.isOpen()) {
            broken();
            return;
        }
        usable.sendRequest(
                CallHeaders.request(spec, sending, System.nanoTime()), callback(usable, this::requestOpened));
    }

    private void requestOpened(ClientConnection carrier, ClientExchange exchange) {
        exchange.setResponseListener(callback(carrier, this::answerOpened));
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
                    broken();
                }
            }
        });
    }

    private void answerOpened(ClientConnection carrier, ClientExchange exchange) {
        deadline.progress();
        ResponseReader opened = ResponseReader.of(exchange, spec, connector, delivery);
        reader = opened;
        if (opened.isCrossed()) {
            connector.metrics().answersCrossed.inc();
            log.crossed(opened);
            broken();
            return;
        }
        TargetStatusNotice notice = opened.notice();
        if (!notice.isNone()) {
            log.notice(notice);
            listener.onNotice(notice);
        }
        if (resumes > 0 && !opened.isContinuation()) {
            end(brokenOutcome());
            return;
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
            // The connection failed while it was read, and the failure was told on another way.
            return;
        }
        switch (progress) {
            case MORE -> {}
            case AGAIN -> thread.execute(() -> read(opened));
            case WHOLE -> end(TargetOutcome.COMPLETED);
            case NOT_STARTED -> end(TargetOutcome.REFUSED);
            case BROKEN -> broken();
        }
    }

    /** A listener that fails has lost bytes: going on would give the caller an answer with a hole in it. */
    private ResponseReader.Progress readSafely(ResponseReader opened) {
        try {
            return opened.read();
        } catch (RuntimeException fault) {
            log.lost(fault);
            return ResponseReader.Progress.BROKEN;
        }
    }

    /** The connection failed, or what came on it is not to be trusted. */
    private void broken() {
        if (ended) {
            return;
        }
        if (!nothingSent()) {
            goOnElsewhere(brokenOutcome());
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

    /** Asks what the engine makes of the request, to go on with its answer over another connection. */
    private void goOnElsewhere(TargetOutcome otherwise) {
        if (!spec.isAskable() || !delivery.isSeamless()) {
            end(otherwise);
            return;
        }
        leaveConnection();
        EngineState.ask(connector, spec, thread, state -> goOn(state, otherwise));
    }

    private void goOn(EngineState state, TargetOutcome otherwise) {
        if (ended) {
            return;
        }
        lastState = state;
        boolean broughtFurther = delivery.deliveredChunks() > chunksAtResume;
        if (!state.isResumable() || (resumes > 0 && !broughtFurther)) {
            end(otherwise);
            return;
        }
        resumes++;
        chunksAtResume = delivery.deliveredChunks();
        sending = spec.resumeFrom(chunksAtResume);
        connector.metrics().answersResumed.inc();
        log.resumed(chunksAtResume, otherwise);
        pooled = false;
        deadline.start();
        connector.connect(address, thread, fresh -> connected(fresh, otherwise));
    }

    /** Gives up the connection for this attempt, but closes it only at the attempt's end. */
    private void leaveConnection() {
        deadline.stop();
        sentEarlier = true;
        countBytes();
        ClientConnection left = connection;
        if (left != null) {
            leftConnections.add(left);
        }
        connection = null;
        reader = null;
        delivery.dropUnfinished();
    }

    private boolean nothingSent() {
        ClientConnection used = connection;
        return !sentEarlier && (used == null || used.getStatistics().getWritten() == writtenBefore);
    }

    private boolean isCurrent(ClientConnection carrier) {
        return !ended && connection == carrier;
    }

    private TargetOutcome brokenOutcome() {
        return delivery.hasBegun() ? TargetOutcome.BROKEN_IN_ANSWER : TargetOutcome.BROKEN_BEFORE_ANSWER;
    }

    private TargetOutcome silentOutcome() {
        return delivery.hasBegun() ? TargetOutcome.SILENT_IN_ANSWER : TargetOutcome.SILENT_BEFORE_ANSWER;
    }

    private void onSilence() {
        if (ended) {
            return;
        }
        if (nothingSent()) {
            end(TargetOutcome.REFUSED);
        } else if (spec.isAskable()) {
            long progressCount = deadline.progressCount();
            EngineState.ask(connector, spec, thread, state -> judgeSilence(state, progressCount));
        } else {
            end(silentOutcome());
        }
    }

    /** Bytes that came while the target was asked count for more than what it said. */
    private void judgeSilence(EngineState state, long progressCountWhenAsked) {
        if (ended || connection == null) {
            return;
        }
        if (deadline.progressCount() > progressCountWhenAsked) {
            deadline.start();
            return;
        }
        lastState = state;
        EngineStallPolicy.Verdict verdict = patience.judge(state, delivery.deliveredChunks());
        log.silent(state, delivery.deliveredChunks(), verdict);
        switch (verdict) {
            case WAIT -> deadline.start();
            case WAIT_BRIEFLY -> deadline.startBrief(BRIEF_WAIT_MS);
            case LEAVE_CONNECTION -> leaveSilentConnection(state);
            case GIVE_UP -> end(silentOutcome());
        }
    }

    private void leaveSilentConnection(EngineState state) {
        if (!delivery.isSeamless()) {
            end(silentOutcome());
            return;
        }
        leaveConnection();
        goOn(state, silentOutcome());
    }

    private void end(TargetOutcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        deadline.stop();
        countBytes();
        settleConnections(outcome);
        Usage usage = usage();
        int status = reader == null ? 0 : reader.status();
        connector.metrics().ended(spec.purpose(), outcome);
        log.ended(outcome, status, usage, pooled);
        listener.onEnd(outcome, usage);
    }

    private void settleConnections(TargetOutcome outcome) {
        settleConnection(outcome);
        leftConnections.forEach(this::cut);
        if (outcome != TargetOutcome.SILENT_BEFORE_ANSWER && outcome != TargetOutcome.SILENT_IN_ANSWER) {
            return;
        }
        connector.pool().distrust(address);
        EngineState state = lastState;
        if (state != null && state.isHeld()) {
            // On a silent connection the close does not reach the engine, which would work on for nobody.
            EngineState.cancel(connector, spec, thread);
        }
    }

    private void settleConnection(TargetOutcome outcome) {
        ResponseReader opened = reader;
        boolean readWhole = opened != null && opened.isReusable();
        boolean answered = outcome == TargetOutcome.COMPLETED || outcome == TargetOutcome.REFUSED;
        ClientConnection used = connection;
        if (used != null && answered && readWhole && requestSent && used.isOpen()) {
            connector.giveBack(address, used);
            return;
        }
        discard();
    }

    private void discard() {
        ClientConnection used = connection;
        connection = null;
        if (used != null) {
            cut(used);
        }
    }

    private void cut(ClientConnection used) {
        connector.metrics().connectionsDiscarded.inc();
        TargetConnector.cut(used);
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
                    broken();
                }
            }
        };
    }

    private interface ExchangeStep {
        void proceed(ClientConnection carrier, ClientExchange exchange);
    }
}
