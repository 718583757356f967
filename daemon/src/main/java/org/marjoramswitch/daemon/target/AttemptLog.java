package org.marjoramswitch.daemon.target;

import org.marjoramswitch.daemon.exchange.TargetStatusNotice;
import org.marjoramswitch.daemon.http.ResponseFault;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.target.EngineStallPolicy.Verdict;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;

/** Writes the log lines of one attempt. */
final class AttemptLog {
    private static final KeyValueLog LOG = KeyValueLog.of(HttpAttempt.class);
    private static final String TARGET = "target";
    private static final String REQUEST = "request";
    private static final String LAST_EVENT_ID = "last-event-id";
    private static final String NONE = "-";

    private final AttemptSpec spec;

    AttemptLog(AttemptSpec spec) {
        this.spec = spec;
    }

    void crossed(ResponseReader response) {
        LOG.warn(
                "answer_crossed",
                TARGET,
                spec.target().id(),
                REQUEST,
                spec.requestId(),
                "answered",
                String.valueOf(response.echoedId()));
    }

    void invalidResponse(ResponseFault fault) {
        LOG.warn("response_invalid", TARGET, spec.target().id(), REQUEST, spec.requestId(), "fault", fault);
    }

    void evicted(long bufferedBytes, HeldResponses responses) {
        LOG.warn(
                "response_evicted",
                TARGET,
                spec.target().id(),
                REQUEST,
                spec.requestId(),
                "bufferedBytes",
                bufferedBytes,
                "heldBytes",
                responses.heldBytes(),
                "maxBytes",
                responses.maxBytes());
    }

    void invalidEvent(EventFault fault, String position) {
        LOG.warn(
                "invalid_event",
                TARGET,
                spec.target().id(),
                REQUEST,
                spec.requestId(),
                "fault",
                fault,
                "after",
                position.isEmpty() ? NONE : position);
    }

    void unmarkedSuccess(int status) {
        LOG.warn(
                "success_unmarked",
                TARGET,
                spec.target().id(),
                REQUEST,
                spec.requestId(),
                "status",
                status,
                "header",
                spec.protocol().successHeader());
    }

    /** Logs the status of an interim response other than 100, which is not supported. */
    void interimStatus(int status) {
        LOG.warn("response_status_invalid", TARGET, spec.target().id(), REQUEST, spec.requestId(), "status", status);
    }

    void notice(TargetStatusNotice notice) {
        LOG.info(
                "target_notice",
                TARGET,
                spec.target().id(),
                REQUEST,
                spec.requestId(),
                "leaving",
                notice.leaving(),
                "rest_ms",
                notice.backoffMs());
    }

    void deliveryFailed(RuntimeException fault) {
        LOG.error(
                fault,
                "answer_lost",
                "error",
                ErrorType.INTERNAL.number(),
                TARGET,
                spec.target().id(),
                REQUEST,
                spec.requestId());
    }

    void silent(EngineState state, long receivedChunks, Verdict verdict) {
        LOG.info(
                "target_silent",
                TARGET,
                spec.target().id(),
                REQUEST,
                spec.requestId(),
                "state",
                state.phase(),
                "generated_tokens",
                state.tokens(),
                "received_chunks",
                receivedChunks,
                "verdict",
                verdict);
    }

    void resumed(long fromChunk, TargetOutcome insteadOf) {
        LOG.info(
                "answer_resumed",
                TARGET,
                spec.target().id(),
                REQUEST,
                spec.requestId(),
                "from_chunk",
                fromChunk,
                "instead_of",
                insteadOf);
    }

    void ended(
            TargetOutcome outcome,
            int status,
            Usage usage,
            boolean pooled,
            ProgressDeadline deadline,
            String position) {
        Object[] fields = {
            TARGET,
            spec.target().id(),
            REQUEST,
            spec.requestId(),
            "outcome",
            outcome,
            "status",
            status,
            "output_tokens",
            usage.outputTokens(),
            "target_time_ms",
            usage.targetTimeMs(),
            "pooled",
            pooled,
            "silent_ms",
            deadline.silentMs(),
            "timer_late_ms",
            deadline.firedLateMs(),
            "continues_after",
            spec.call().headers().getOrDefault(LAST_EVENT_ID, NONE),
            "last_event_id",
            position.isEmpty() ? NONE : position
        };
        if (outcome.targetFault()) {
            LOG.info(spec.purpose().endEvent(), fields);
        } else {
            LOG.debug(spec.purpose().endEvent(), fields);
        }
    }
}
