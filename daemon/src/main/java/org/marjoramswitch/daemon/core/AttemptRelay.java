package org.marjoramswitch.daemon.core;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.marjoramswitch.daemon.exchange.CallerCheck;
import org.marjoramswitch.daemon.exchange.TargetClient.AttemptListener;
import org.marjoramswitch.daemon.exchange.TargetStatusNotice;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** Passes one attempt's response to the request's caller, and its progress and end to the decision loop. */
final class AttemptRelay implements AttemptListener {
    /** Progress is reported after this many tokens or after {@link #PROGRESS_NS}, whichever comes first. */
    static final long PROGRESS_TOKENS = 16;

    static final long PROGRESS_NS = TimeUnit.MILLISECONDS.toNanos(200);

    private final OpenRequest request;
    private final int attempt;
    private final TargetSettings target;
    private final EventSink events;
    private boolean responding;
    private boolean delivering;
    private long reportedTokens;
    private long reportedNs = System.nanoTime();

    private AttemptRelay(OpenRequest request, int attempt, TargetSettings target, EventSink events) {
        this.request = request;
        this.attempt = attempt;
        this.target = target;
        this.events = events;
    }

    static AttemptRelay of(OpenRequest request, int attempt, TargetSettings target, EventSink events) {
        return new AttemptRelay(request, attempt, target, events);
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        request.onHead(attempt, status, headers);
    }

    @Override
    public void checkCaller(CallerCheck.Result result) {
        request.checkCaller(result);
    }

    @Override
    public void onNotice(TargetStatusNotice notice) {
        if (notice.leaving()) {
            events.offer(new Event.TargetReportedDraining(target.id(), target.startedAtMs()));
        }
        if (notice.backoffMs() > 0) {
            events.offer(new Event.TargetBackoffRequested(target.id(), notice.backoffMs()));
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        boolean delivered = request.onBytes(attempt, bytes);
        // A server error is held back at first and delivered later if its body is long.
        if (!responding || (delivered && !delivering)) {
            responding = true;
            delivering = delivered;
            events.offer(new Event.TargetAnswering(request.id(), delivered));
        }
    }

    @Override
    public void onPosition(String lastEventId) {
        request.onPosition(attempt, lastEventId);
    }

    @Override
    public void onNotContinuable() {
        request.onNotContinuable(attempt);
    }

    @Override
    public void onProgress(long outputTokens) {
        if (outputTokens == reportedTokens) {
            return;
        }
        long nowNs = System.nanoTime();
        if (outputTokens - reportedTokens < PROGRESS_TOKENS && nowNs - reportedNs < PROGRESS_NS) {
            return;
        }
        reportedTokens = outputTokens;
        reportedNs = nowNs;
        events.offer(new Event.TargetProgress(request.id(), outputTokens));
    }

    @Override
    public boolean onSilent() {
        // A granted request has no deadline after which its attempt would end.
        if (request.spec().placement() == null) {
            return false;
        }
        // An event that is lost in a full ring is repeated after the next timeout.
        events.offer(new Event.TargetSilent(request.id(), request.hasResponseBegun()));
        return true;
    }

    @Override
    public void onEnd(TargetOutcome outcome, Usage usage) {
        // The end of a superseded attempt must not be taken for that of the current one: the kernel would free the
        // wrong slot and could dispatch the request again.
        TargetOutcome reported = request.onAttemptEnd(attempt, outcome);
        if (reported != null) {
            events.offer(
                    new Event.TargetEnded(request.id(), reported, usage, request.sinceHandedOverMs(System.nanoTime())));
        }
    }
}
