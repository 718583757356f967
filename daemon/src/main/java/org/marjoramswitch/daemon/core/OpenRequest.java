package org.marjoramswitch.daemon.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.ResponseListener;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.exchange.TargetClient.Attempt;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetOutcome;

/**
 * One request from its arrival to its end, and the gate between its attempts at targets and its caller.
 *
 * <p>Answers come from the target client's threads and failures from the deciding thread; the lock of this object
 * makes them one sequence, in which the caller hears one head, its bytes and exactly one end. Only the newest attempt
 * gets through: an answer of an older one that comes late or crosses the new one's is dropped here, whatever state its
 * connection is in.
 *
 * <p>A head is held back until the first byte or the whole answer is there. Until then the caller has seen nothing, so
 * that another attempt may still answer it. For the same reason an answer that reports a failure of the target is held
 * back whole where the request may be repeated.
 *
 * <p>An answer that may be resumed goes on with the next attempt from the last whole event that the caller got. The
 * caller sees one answer, with the head of the first.
 */
final class OpenRequest {
    private static final String LAST_EVENT_ID = "last-event-id";
    private static final int FIRST_SERVER_ERROR = 500;

    private final RequestSpec spec;
    private final TargetCall call;
    private final ResponseListener caller;
    private final AtomicBoolean callerGone = new AtomicBoolean();

    // Only the deciding thread uses these three.
    private @Nullable Attempt running;
    private boolean decided;
    private boolean endOutstanding;

    private int attempt;
    private boolean attemptRunning;
    private boolean answering;
    private boolean answered;
    private boolean over;
    private @Nullable Head heldHead;
    /** The body of an answer that reports a failure, kept until it is clear that no other attempt will do better. */
    private final List<byte[]> heldError = new ArrayList<>();

    private int answeredStatus;
    /** The running attempt's answer is no continuation of the one that the caller is reading. */
    private boolean strange;

    private String position = "";

    private OpenRequest(RequestSpec spec, TargetCall call, ResponseListener caller) {
        this.spec = spec;
        this.call = call;
        this.caller = caller;
    }

    static OpenRequest of(RequestSpec spec, TargetCall call, ResponseListener caller) {
        return new OpenRequest(spec, call, caller);
    }

    long id() {
        return spec.requestId();
    }

    RequestSpec spec() {
        return spec;
    }

    /** True the first time only. */
    boolean markCallerGone() {
        return callerGone.compareAndSet(false, true);
    }

    /** Makes {@code number} the only attempt that is listened to; false where the caller has its end already. */
    synchronized boolean beginAttempt(int number) {
        if (over || (answering && !isResumable())) {
            return false;
        }
        attempt = number;
        attemptRunning = true;
        heldHead = null;
        heldError.clear();
        strange = false;
        caller.onSent();
        return true;
    }

    void setRunning(Attempt started) {
        running = started;
    }

    /** The kernel has ended the request. */
    void markDecided() {
        decided = true;
    }

    /** The end of an attempt is due, or no longer, in the ring of events. */
    void setEndOutstanding(boolean outstanding) {
        endOutstanding = outstanding;
    }

    /** True once nothing more is to come, neither from the kernel nor from an attempt. */
    boolean isDone() {
        return decided && !endOutstanding;
    }

    void cancelRunning() {
        if (running != null) {
            running.cancel();
        }
    }

    synchronized boolean wasSent() {
        return attempt > 0;
    }

    synchronized void onHead(int number, int status, Map<String, String> headers) {
        if (!isCurrent(number)) {
            return;
        }
        strange = answering && status != answeredStatus;
        if (!answering) {
            heldHead = new Head(status, headers);
        }
    }

    synchronized void onPosition(int number, String lastEventId) {
        if (isCurrent(number) && !strange && !lastEventId.isEmpty()) {
            position = lastEventId;
        }
    }

    synchronized void onBytes(int number, byte[] bytes) {
        if (!isCurrent(number) || strange) {
            return;
        }
        if (holdsError()) {
            heldError.add(bytes);
            return;
        }
        releaseHead();
        caller.onBytes(bytes);
    }

    /**
     * Ends the attempt and, where it brought a whole answer, the caller's wait.
     *
     * @return the outcome as the decisions are to hear it, null for an attempt that is void
     */
    synchronized @Nullable TargetOutcome onAttemptEnd(int number, TargetOutcome outcome) {
        if (number != attempt || !attemptRunning) {
            return null;
        }
        attemptRunning = false;
        if (outcome != TargetOutcome.COMPLETED) {
            return outcome;
        }
        if (strange) {
            return TargetOutcome.BROKEN_IN_ANSWER;
        }
        if (holdsError()) {
            return TargetOutcome.SERVER_ERROR;
        }
        deliverEnd();
        return outcome;
    }

    /** No other attempt will follow: an answer that reports a failure and was held back goes to the caller. */
    synchronized void releaseError() {
        if (over || !holdsError()) {
            return;
        }
        releaseHead();
        heldError.forEach(caller::onBytes);
        heldError.clear();
        deliverEnd();
    }

    /** The call of the next attempt: the whole of it, or the rest after what the caller has read. */
    synchronized TargetCall nextCall() {
        return position.isEmpty() ? call : call.withHeader(LAST_EVENT_ID, position);
    }

    private void deliverEnd() {
        if (over) {
            return;
        }
        releaseHead();
        over = true;
        answered = true;
        caller.onComplete();
    }

    private boolean holdsError() {
        Head head = heldHead;
        return !answering
                && head != null
                && head.status() >= FIRST_SERVER_ERROR
                && spec.placement() != null
                && spec.repeatable();
    }

    private boolean isResumable() {
        PlacementSpec placement = spec.placement();
        return placement != null && placement.resumable();
    }

    /** The failure reaches the caller unless an end already has. */
    synchronized boolean fail(Failure failure) {
        if (over) {
            return false;
        }
        over = true;
        caller.onFailure(failure);
        return true;
    }

    /** Fails the request as not run where it was never sent, and otherwise as unknown. */
    synchronized boolean failBySending(ErrorType type, String detail) {
        return fail(attempt > 0 ? Failure.unknown(type, detail) : Failure.notRun(type, 0, detail));
    }

    /** True once the caller has the target's whole answer. */
    synchronized boolean answered() {
        return answered;
    }

    private boolean isCurrent(int number) {
        return number == attempt && attemptRunning && !over;
    }

    private void releaseHead() {
        if (answering) {
            return;
        }
        answering = true;
        Head head = heldHead;
        if (head != null) {
            answeredStatus = head.status();
            caller.onHead(head.status(), head.headers());
        }
    }

    /** A head that has not gone to the caller yet. */
    private record Head(int status, Map<String, String> headers) {}
}
