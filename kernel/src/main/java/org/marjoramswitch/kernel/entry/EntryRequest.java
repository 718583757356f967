package org.marjoramswitch.kernel.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.crash.CrashSuspects;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;

/** State of a request at its entry instance, from arrival to end. */
final class EntryRequest {
    static final long NOT_BEGUN = Long.MAX_VALUE;
    /** Shorter than the shortest ejection, after which a target that may have restarted is probed with any request. */
    private static final long REFUSAL_VALID_MS = 500;

    private final RequestSpec spec;
    private final CrashSuspects suspects;
    private final boolean isTrial;
    private final long arrivedAtMs;
    private final Set<TargetId> failedAt = new HashSet<>();
    private final Map<TargetId, Long> connectionRefusedAtMs = new HashMap<>();
    /** When the caller last received a part of the response, as far as reported; when the request was read before. */
    private long progressedAtMs;

    private int attempts;
    private int refusedConnections;
    private @Nullable TargetId target;
    private long sentAtMs;
    private @Nullable CellId cell;
    private @Nullable TargetId fetchFrom;
    private long sequence;
    private long startWithinMs = PeerMessage.Placed.ANY_TIME;
    private long costTokens;
    private long reportedTokens;
    private boolean callerGone;
    private boolean expired;
    /** Whether a retry was taken from the budget in advance. */
    private boolean retryReserved;

    private long retryReservedAtMs;
    /** Whether this entry has ended the last attempt because its target is silent, or is about to. */
    private boolean silentAttemptEnded;
    /** When the running attempt's response began; {@link #NOT_BEGUN} before. */
    private long responseBeganAtMs = NOT_BEGUN;

    private int executions;
    private int listWaits;
    /** The software version of the target of the running attempt; empty if unknown. */
    private String targetVersion = "";
    /** The software version at which the request's stream must continue; null if any will do. */
    private @Nullable String streamVersion;
    /** The number of the attempt that set {@link #streamVersion}; 0 if the stream began in an earlier request. */
    private int streamAttempt;
    /** The number of the attempt whose response first reached the caller; 0 if none has. */
    private int deliveredAttempt;

    /** @param isTrial whether the request is a trial of a poison request or prompt part whose block has ended */
    EntryRequest(RequestSpec spec, CrashSuspects suspects, boolean isTrial, long arrivedAtMs) {
        this.spec = spec;
        this.suspects = suspects;
        this.isTrial = isTrial;
        this.arrivedAtMs = arrivedAtMs;
        this.progressedAtMs = spec.progressTimeoutMs() == 0 ? arrivedAtMs : spec.readAtMs();
    }

    RequestSpec spec() {
        return spec;
    }

    CrashSuspects suspects() {
        return suspects;
    }

    boolean isTrial() {
        return isTrial;
    }

    long arrivedAtMs() {
        return arrivedAtMs;
    }

    /** When the caller last received a part of the response, as far as reported; when the request was read before. */
    long progressedAtMs() {
        return progressedAtMs;
    }

    /** @param sinceProgressMs see {@link Event.TargetEnded#sinceProgressMs} */
    void progressReported(long sinceProgressMs, long nowMs) {
        if (sinceProgressMs != Event.NO_PROGRESS) {
            progressedAtMs = Math.max(progressedAtMs, nowMs - sinceProgressMs);
        }
    }

    /**
     * Until when the caller waits, as far as its progress has been reported: until its deadline, and no longer than its
     * progress timeout without a part of the response.
     */
    long waitsUntilMs() {
        long timeoutMs = spec.progressTimeoutMs();
        return timeoutMs == 0 ? spec.deadlineMs() : Math.min(spec.deadlineMs(), progressedAtMs + timeoutMs);
    }

    int attempts() {
        return attempts;
    }

    /** The attempts without those whose connections were refused. */
    int connectedAttempts() {
        return attempts - refusedConnections;
    }

    /** The target of the running attempt; null while the request waits. */
    @Nullable
    TargetId target() {
        return target;
    }

    /** When the last attempt was sent; 0 before the first. */
    long sentAtMs() {
        return sentAtMs;
    }

    /** The cell that accounts for the running attempt; null while the request waits. */
    @Nullable
    CellId cell() {
        return cell;
    }

    /** The target from which the running attempt's target fetches cached prompt parts; null if there is none. */
    @Nullable
    TargetId fetchFrom() {
        return fetchFrom;
    }

    void fetchFrom(@Nullable TargetId source) {
        fetchFrom = source;
    }

    /** The sequence number under which the cell's arbiter accounts for the running attempt. */
    long sequence() {
        return sequence;
    }

    /** Switches to the sequence number that a registration assigns: the negated request id. */
    void useRegistrationSequence() {
        sequence = -spec.requestId();
        reportedTokens = costTokens;
    }

    long costTokens() {
        return costTokens;
    }

    void costTokens(long tokens) {
        costTokens = tokens;
    }

    /** The cost last reported to the arbiter. */
    long reportedTokens() {
        return reportedTokens;
    }

    void markReported() {
        reportedTokens = costTokens;
    }

    boolean callerGone() {
        return callerGone;
    }

    void markCallerGone() {
        callerGone = true;
    }

    /** Whether the request's deadline passed during an attempt, which is about to end. */
    boolean isExpired() {
        return expired;
    }

    /** Returns true only on the first call. */
    boolean markExpired() {
        boolean first = !expired;
        expired = true;
        return first;
    }

    boolean hasReservedRetry() {
        return retryReserved;
    }

    void reserveRetry(long nowMs) {
        retryReserved = true;
        retryReservedAtMs = nowMs;
    }

    /** When a retry was last reserved. */
    long retryReservedAtMs() {
        return retryReservedAtMs;
    }

    /** Whether a retry was reserved; it is used up. */
    boolean takeReservedRetry() {
        boolean reserved = retryReserved;
        retryReserved = false;
        return reserved;
    }

    /** Whether this entry has ended the last attempt because its target is silent, or is about to. */
    boolean isSilentAttemptEnded() {
        return silentAttemptEnded;
    }

    void silentAttemptEnded(boolean ended) {
        silentAttemptEnded = ended;
    }

    Set<TargetId> failedTargets() {
        return failedAt;
    }

    boolean hasFailedAt(TargetId candidate) {
        return failedAt.contains(candidate);
    }

    /** Records that the target of the running attempt refused the connection. */
    void connectionRefusedAt(long nowMs) {
        if (target != null) {
            connectionRefusedAtMs.put(target, nowMs);
        }
    }

    /** Whether the target has refused a connection for this request within the last {@value #REFUSAL_VALID_MS} ms. */
    boolean wasRefusedBy(TargetId candidate, long nowMs) {
        Long refusedAtMs = connectionRefusedAtMs.get(candidate);
        return refusedAtMs != null && nowMs - refusedAtMs < REFUSAL_VALID_MS;
    }

    /** The software version at which the request's stream must continue; null if any will do. */
    @Nullable
    String streamVersion() {
        return streamVersion;
    }

    /** Confines the request to the version at which an earlier request began its stream. */
    void resumeAt(String softwareVersion) {
        if (!softwareVersion.isEmpty()) {
            streamVersion = softwareVersion;
        }
    }

    /** Whether a part of the response has reached the caller, so that the request can no longer be rejected, only broken off. */
    boolean isPartDelivered() {
        return deliveredAttempt > 0;
    }

    /** The response has begun; from now on only targets of the same version can continue it. */
    void streamStarted() {
        if (deliveredAttempt == 0) {
            deliveredAttempt = attempts;
        }
        if (streamVersion == null && !targetVersion.isEmpty()) {
            streamVersion = targetVersion;
            streamAttempt = attempts;
        }
    }

    /** The running attempt has ended without a part of its response reaching the caller. */
    void nothingDelivered() {
        if (deliveredAttempt == attempts) {
            deliveredAttempt = 0;
        }
        if (streamAttempt == attempts) {
            streamVersion = null;
            streamAttempt = 0;
        }
    }

    /** When the running attempt's response began; {@link #NOT_BEGUN} before. */
    long responseBeganAtMs() {
        return responseBeganAtMs;
    }

    void responseBegan(long nowMs) {
        responseBeganAtMs = nowMs;
    }

    void attemptStarted(TargetId atTarget, String softwareVersion, CellId inCell, long grantSequence, long nowMs) {
        attempts++;
        silentAttemptEnded = false;
        target = atTarget;
        sentAtMs = nowMs;
        responseBeganAtMs = NOT_BEGUN;
        targetVersion = softwareVersion;
        cell = inCell;
        sequence = grantSequence;
        costTokens = 0;
        reportedTokens = 0;
    }

    /**
     * Whether any attempt may have executed the request. Stays true when a later attempt is rejected: a caller that
     * received "not run" after a broken first and a rejected second attempt would repeat what the first one executed.
     */
    boolean mayHaveRun() {
        return executions > 0;
    }

    void markMayHaveRun() {
        executions++;
    }

    /** The number of attempts that may have executed the request. */
    int executions() {
        return executions;
    }

    /** How often the request has waited for an arbiter whose list of targets is behind. */
    int listWaits() {
        return listWaits;
    }

    void countListWait() {
        listWaits++;
    }

    /** Excludes a target that was selected but cannot be used; nothing was sent to it. */
    void excludeUnusable(TargetId unused) {
        failedAt.add(unused);
    }

    /** Assigns the running attempt to its target's new cell, whose arbiter receives it with the next registration. */
    void movedTo(@Nullable CellId newCell) {
        cell = newCell;
        useRegistrationSequence();
    }

    /** How long after its dispatch the running attempt may be sent. */
    long startWithinMs() {
        return startWithinMs;
    }

    void startWithinMs(long limitMs) {
        startWithinMs = limitMs;
    }

    /** Counts the running attempt as one whose connection was refused. */
    void connectionRefused() {
        refusedConnections++;
    }

    /** Returns the request to the waiting state after a failed attempt. */
    void attemptFailed() {
        if (target != null) {
            failedAt.add(target);
        }
        attemptNotSent();
    }

    /** Returns the request to the waiting state after an attempt that was not sent. */
    void attemptNotSent() {
        startWithinMs = PeerMessage.Placed.ANY_TIME;
        target = null;
        cell = null;
        fetchFrom = null;
    }
}
