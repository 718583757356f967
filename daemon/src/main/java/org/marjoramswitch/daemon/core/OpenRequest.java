package org.marjoramswitch.daemon.core;

import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.CallerCheck;
import org.marjoramswitch.daemon.exchange.CallerWait;
import org.marjoramswitch.daemon.exchange.ResponseListener;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.exchange.TargetClient.Attempt;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetOutcome;

/**
 * Tracks one request from arrival to end and passes the responses of its attempts to its caller.
 *
 * <p>Responses arrive on the target client's threads and failures on the decision thread; the lock of this object
 * serializes them, so that the caller receives at most one head, its bytes and exactly one end. Only the newest attempt
 * reaches the caller: a response of an older one that arrives late or interleaved with the new one's is dropped here,
 * whatever the state of its connection.
 *
 * <p>A head is held back until the first byte or the end of the response. Until then the caller has received nothing,
 * so another attempt can still provide the response. For the same reason, if the request is repeatable, a response that
 * reports a server error is held back completely.
 *
 * <p>A resumable response continues with the next attempt after the last complete event that the caller received. The
 * caller receives one response, with the head of the first attempt.
 */
final class OpenRequest {
    private static final String LAST_EVENT_ID = "last-event-id";
    private static final String CONTENT_TYPE = "content-type";
    private static final int FIRST_SERVER_ERROR = 500;
    /** A longer response is delivered as it arrives, without a further attempt. */
    private static final int MAX_HELD_ERROR_BYTES = 16 << 10;

    private final RequestSpec spec;
    private final TargetCall call;
    private final ResponseListener caller;
    private final HeldErrors heldErrors;
    private final AtomicBoolean callerGone = new AtomicBoolean();

    /** Written by the decision thread, read by the I/O threads. */
    private volatile @Nullable Attempt runningAttempt;

    // Confined to the decision thread.
    private boolean decided;
    private boolean endOutstanding;

    private int attempt;
    private boolean attemptRunning;
    private boolean headDelivered;
    private boolean handedOver;
    private long handedOverNs;
    private boolean completed;
    private boolean ended;
    private @Nullable Head heldHead;
    /** Body of a server error response, held back until no further attempt will follow. */
    private final ByteArrayOutputStream heldError = new ByteArrayOutputStream(0);

    private int deliveredStatus;
    private String deliveredMediaType = "";
    /** Whether the current attempt's status or media type differs from that already sent to the caller. */
    private boolean mismatched;

    private String deliveredEventId = "";
    /** Whether the caller has bytes after the last complete event, or of a response that is no stream of events. */
    private boolean endsWithoutPosition;

    private OpenRequest(RequestSpec spec, TargetCall call, ResponseListener caller, HeldErrors heldErrors) {
        this.spec = spec;
        this.call = call;
        this.caller = caller;
        this.heldErrors = heldErrors;
    }

    static OpenRequest of(RequestSpec spec, TargetCall call, ResponseListener caller, HeldErrors heldErrors) {
        return new OpenRequest(spec, call, caller, heldErrors);
    }

    long id() {
        return spec.requestId();
    }

    RequestSpec spec() {
        return spec;
    }

    /** Returns true only on the first call. */
    boolean markCallerGone() {
        return callerGone.compareAndSet(false, true);
    }

    /**
     * Makes {@code number} the current attempt. Returns false if the request has ended, or if the caller has received a
     * part of a response that cannot be continued.
     */
    synchronized boolean beginAttempt(int attemptNumber) {
        if (ended || (headDelivered && !isContinuable())) {
            return false;
        }
        attempt = attemptNumber;
        attemptRunning = true;
        heldHead = null;
        clearHeldError();
        mismatched = false;
        caller.onSent();
        return true;
    }

    void setRunning(Attempt started) {
        runningAttempt = started;
    }

    /** Records that the kernel has ended the request. */
    void markDecided() {
        decided = true;
    }

    /** Sets whether the end of an attempt is still to come through the event ring. */
    void setEndOutstanding(boolean outstanding) {
        endOutstanding = outstanding;
    }

    /** Whether neither the kernel nor an attempt will report anything more. */
    boolean isDone() {
        return decided && !endOutstanding;
    }

    /** Cancels the running attempt, if any. May be called on any thread. */
    void cancelRunning() {
        Attempt running = runningAttempt;
        if (running != null) {
            running.cancel();
        }
    }

    /** Ends the running attempt, if any, once the parts of its response that have arrived were read. */
    void expireRunning() {
        Attempt running = runningAttempt;
        if (running != null) {
            running.expire();
        }
    }

    /** Ends the running attempt, if any, unless its target has sent something since it was reported as silent. */
    void endSilentAttempt() {
        Attempt running = runningAttempt;
        if (running != null) {
            running.endSilent();
        }
    }

    /** Checks whether the caller has disconnected, according to an earlier report or to its connection. */
    void checkCaller(CallerCheck.Result result) {
        if (callerGone.get()) {
            result.accept(true);
            return;
        }
        caller.checkCaller(result);
    }

    /**
     * Time since a part of the response was last handed over to the caller's thread, which writes it; {@link
     * Event#NO_PROGRESS} if none was.
     */
    synchronized long sinceHandedOverMs(long nowNs) {
        return handedOver ? TimeUnit.NANOSECONDS.toMillis(nowNs - handedOverNs) : Event.NO_PROGRESS;
    }

    /** Time since the caller was last sent a part of the response; {@link Event#NO_PROGRESS} if it has received none. */
    long sinceProgressMs(long nowNs) {
        CallerWait wait = call.callerWait();
        return wait.hasProgressed() ? wait.sinceProgressMs(nowNs) : Event.NO_PROGRESS;
    }

    synchronized boolean wasSent() {
        return attempt > 0;
    }

    synchronized void onHead(int attemptNumber, int status, Map<String, String> headers) {
        if (!isCurrent(attemptNumber)) {
            return;
        }
        mismatched = headDelivered
                && (status != deliveredStatus || !mediaType(headers).equals(deliveredMediaType));
        if (!headDelivered) {
            heldHead = new Head(status, headers);
        }
    }

    synchronized void onNotContinuable(int attemptNumber) {
        if (isCurrent(attemptNumber) && !mismatched) {
            endsWithoutPosition = true;
        }
    }

    synchronized void onPosition(int attemptNumber, String lastEventId) {
        if (!isCurrent(attemptNumber) || mismatched) {
            return;
        }
        endsWithoutPosition = false;
        if (!lastEventId.isEmpty()) {
            deliveredEventId = lastEventId;
            caller.onPosition(lastEventId);
        }
    }

    /** Returns whether the bytes were delivered to the caller. */
    synchronized boolean onBytes(int attemptNumber, byte[] bytes) {
        if (!isCurrent(attemptNumber) || mismatched) {
            return false;
        }
        if (holdsBackError()) {
            if (hold(bytes)) {
                return false;
            }
            passOnHeldError();
        }
        releaseHead();
        handedOver = true;
        handedOverNs = System.nanoTime();
        caller.onBytes(bytes);
        return true;
    }

    /**
     * Ends the attempt and, if its response is complete, the caller's response.
     *
     * @return the outcome to report to the kernel; null for a superseded attempt
     */
    synchronized @Nullable TargetOutcome onAttemptEnd(int attemptNumber, TargetOutcome outcome) {
        if (attemptNumber != attempt || !attemptRunning) {
            return null;
        }
        attemptRunning = false;
        if (outcome != TargetOutcome.COMPLETED) {
            return outcome;
        }
        if (mismatched) {
            return TargetOutcome.INVALID_IN_ANSWER;
        }
        if (holdsBackError()) {
            return TargetOutcome.SERVER_ERROR;
        }
        deliverEnd();
        return mayHoldBackError(deliveredStatus) ? TargetOutcome.SERVER_ERROR_DELIVERED : outcome;
    }

    /** Delivers a server error response that was held back; called when no further attempt will follow. */
    synchronized void releaseError() {
        if (ended || !holdsBackError()) {
            return;
        }
        passOnHeldError();
        deliverEnd();
    }

    private void passOnHeldError() {
        releaseHead();
        if (heldError.size() > 0) {
            caller.onBytes(heldError.toByteArray());
            clearHeldError();
        }
    }

    /** Holds back a part of a server error; returns false if it is to be delivered instead. */
    private boolean hold(byte[] bytes) {
        if (heldError.size() + bytes.length > MAX_HELD_ERROR_BYTES || !heldErrors.tryHold(bytes.length)) {
            return false;
        }
        heldError.writeBytes(bytes);
        return true;
    }

    private void clearHeldError() {
        heldErrors.release(heldError.size());
        heldError.reset();
    }

    /** The call of the next attempt; requests the events after the last one that the caller received, if any. */
    synchronized TargetCall nextCall() {
        return deliveredEventId.isEmpty() ? call : call.withHeader(LAST_EVENT_ID, deliveredEventId);
    }

    private void deliverEnd() {
        if (ended) {
            return;
        }
        releaseHead();
        ended = true;
        completed = true;
        caller.onComplete();
    }

    private boolean holdsBackError() {
        Head head = heldHead;
        return !headDelivered && head != null && mayHoldBackError(head.status());
    }

    private boolean mayHoldBackError(int status) {
        return status >= FIRST_SERVER_ERROR && spec.placement() != null && spec.repeatable();
    }

    /** Another attempt continues a stream after a complete event; a part of an event, another body or an error cannot be. */
    private boolean isContinuable() {
        PlacementSpec placement = spec.placement();
        return placement != null
                && placement.resumable()
                && !endsWithoutPosition
                && deliveredStatus < FIRST_SERVER_ERROR;
    }

    /** Delivers the failure to the caller; returns false if the caller already has an end. */
    synchronized boolean fail(Failure failure) {
        if (ended) {
            return false;
        }
        ended = true;
        clearHeldError();
        caller.onFailure(failure);
        return true;
    }

    /** Fails the request as not run if it was never sent, otherwise as unknown. */
    synchronized boolean failBySending(ErrorType type, String detail) {
        return fail(attempt > 0 ? Failure.unknown(type, detail) : Failure.notRun(type, 0, detail));
    }

    /** Whether the caller has received a part of the response, maybe of an earlier attempt. */
    synchronized boolean hasResponseBegun() {
        return headDelivered;
    }

    /** Whether the caller has received a complete response. */
    synchronized boolean isCompleted() {
        return completed;
    }

    private boolean isCurrent(int attemptNumber) {
        return attemptNumber == attempt && attemptRunning && !ended;
    }

    private void releaseHead() {
        if (headDelivered) {
            return;
        }
        headDelivered = true;
        Head head = heldHead;
        if (head != null) {
            deliveredStatus = head.status();
            deliveredMediaType = mediaType(head.headers());
            caller.onHead(head.status(), head.headers());
        }
    }

    /** The content type without its parameters; empty if there is none. */
    private static String mediaType(Map<String, String> headers) {
        String type = headers.getOrDefault(CONTENT_TYPE, "");
        int parameters = type.indexOf(';');
        return (parameters < 0 ? type : type.substring(0, parameters)).strip().toLowerCase(Locale.ROOT);
    }

    /** A response head that has not been delivered yet. */
    private record Head(int status, Map<String, String> headers) {}
}
