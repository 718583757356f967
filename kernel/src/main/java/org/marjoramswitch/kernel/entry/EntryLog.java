package org.marjoramswitch.kernel.entry;

import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.Decision;
import org.marjoramswitch.kernel.crash.PoisonRequests;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.DeclineReason;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.StreamSpec;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Builds the log records of an entry's decisions, each with the values it is based on. */
final class EntryLog {
    private EntryLog() {}

    /** Logs that a request is sent to a target. */
    static Action dispatched(
            EntryRequest request,
            TargetId target,
            CellId cell,
            String reason,
            String softwareVersion,
            boolean prefixHeld,
            long nowMs) {
        RequestSpec spec = request.spec();
        return new Action.Decided(Decision.of(
                "dispatch",
                "request",
                spec.requestId(),
                "customer",
                spec.customer(),
                "cell",
                cell,
                "target",
                target,
                "attempt",
                request.attempts(),
                "sequence",
                request.sequence(),
                "reason",
                reason,
                "softwareVersion",
                softwareVersion,
                "resumes",
                resumes(spec),
                "prefixHeld",
                prefixHeld,
                "fetchFrom",
                request.fetchFrom() == null ? "-" : request.fetchFrom(),
                "waitedMs",
                nowMs - request.arrivedAtMs(),
                "sinceProgressMs",
                nowMs - request.progressedAtMs()));
    }

    /** The key of the stream's beginning if the caller resumes one, "unnamed" if it does not name the beginning. */
    private static String resumes(RequestSpec spec) {
        StreamSpec stream = spec.placement() == null ? null : spec.placement().stream();
        if (stream == null || !stream.resumed()) {
            return "-";
        }
        return stream.beginningKey() == 0 ? "unnamed" : Long.toHexString(stream.beginningKey());
    }

    /** Logs that a caller has received no part of its response for its progress timeout. */
    static Action callerTimedOut(EntryRequest request, long nowMs) {
        return withoutProgress("caller_timed_out", request, nowMs);
    }

    /** The caller of a running request has received nothing for its progress timeout, and has not disconnected. */
    static Action callerOverdue(EntryRequest request, long nowMs) {
        return withoutProgress("caller_overdue", request, nowMs);
    }

    /** The attempt at a silent target is ended, since a slot at another target is reserved. */
    static Action silentAttemptReplaced(EntryRequest request, TargetId silent, TargetId next) {
        return new Action.Decided(Decision.of(
                "silent_attempt_replaced", "request", request.spec().requestId(), "target", silent, "next", next));
    }

    /** The attempt at a silent target goes on, since no usable slot at another target was free. */
    static Action replacementRejected(EntryRequest request, TargetId silent, String reason) {
        return new Action.Decided(Decision.of(
                "replacement_rejected", "request", request.spec().requestId(), "target", silent, "reason", reason));
    }

    /** @param replaceable whether another target may serve the request or continue its response */
    static Action responseStalled(EntryRequest request, TargetId target, boolean answerBegun, boolean replaceable) {
        return new Action.Decided(Decision.of(
                "response_stalled",
                "request",
                request.spec().requestId(),
                "target",
                target,
                "attempts",
                request.attempts(),
                "answerBegun",
                answerBegun,
                "replaceable",
                replaceable));
    }

    private static Action withoutProgress(String event, EntryRequest request, long nowMs) {
        return new Action.Decided(Decision.of(
                event,
                "request",
                request.spec().requestId(),
                "customer",
                request.spec().customer(),
                "target",
                request.target() == null ? "-" : request.target(),
                "attempts",
                request.attempts(),
                "sinceProgressMs",
                nowMs - request.progressedAtMs()));
    }

    /** Logs that a placed request is not sent to its target. */
    static Action sendRejected(EntryRequest request, TargetId target, SendAdmission.Verdict verdict) {
        return new Action.Decided(Decision.of(
                "send_rejected",
                "request",
                request.spec().requestId(),
                "customer",
                request.spec().customer(),
                "target",
                target,
                "reason",
                verdict));
    }

    /** Logs that a request was rejected on arrival. */
    static Action refused(RequestSpec spec, Failure refusal) {
        return new Action.Decided(Decision.of(
                "refuse",
                "request",
                spec.requestId(),
                "customer",
                spec.customer(),
                "pool",
                spec.pool(),
                "reason",
                refusal.type(),
                "retryAfterMs",
                refusal.retryAfterMs()));
    }

    /** Logs that a grant is not used. */
    static Action declined(PeerMessage.Grant grant, DeclineReason reason) {
        return notUsed(grant, reason);
    }

    /** Logs that a grant is returned as a fault, since its target has refused the connections of all waiting requests. */
    static Action returnedAsFault(PeerMessage.Grant grant) {
        return notUsed(grant, TargetOutcome.CONNECTION_REFUSED);
    }

    private static Action notUsed(PeerMessage.Grant grant, Enum<?> reason) {
        return new Action.Decided(Decision.of(
                "decline",
                "cell",
                grant.cell(),
                "sequence",
                grant.sequence(),
                "customer",
                grant.customer(),
                "target",
                grant.target(),
                "reason",
                reason));
    }

    /** Logs that a target requested a backoff. */
    static Action targetInBackoff(TargetId target, long backoffMs) {
        return new Action.Decided(Decision.of("target_rests", "target", target, "restMs", backoffMs));
    }

    /** Logs that a request or prompt part is blocked. */
    static Action blocked(long digest, PoisonRequests poisonRequests, long blockedForMs) {
        return new Action.Decided(Decision.of(
                "request_blocked",
                "digest",
                Long.toHexString(digest),
                "promptPart",
                poisonRequests.isPromptPart(digest),
                "endedTargets",
                poisonRequests.crashCount(digest),
                "blockedForMs",
                blockedForMs));
    }
}
