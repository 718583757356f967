package org.marjoramswitch.daemon.target;

import java.util.Map;
import org.marjoramswitch.daemon.exchange.TargetClient.AttemptListener;

/**
 * Delivers an attempt's response to its listener in units from which another connection can resume.
 *
 * <p>The head is delivered together with the first bytes, or at the end of a complete but empty response, so that a
 * response that fails in between has delivered nothing.
 *
 * <p>A model engine's stream is delivered in complete events: a partial event stays buffered, so that the stream can be
 * resumed over another connection from the number of delivered chunks, without gap or overlap. An engine's
 * non-streaming response is buffered to its end, since a partial JSON object is useless and would prevent another
 * attempt. A rejection is buffered, too, since another target may execute the request. What is larger than {@link
 * #MAX_EVENT_BYTES}, {@link #MAX_BUFFERED_BYTES} or {@link #MAX_REJECTION_BYTES} is delivered as it arrives and can no longer be
 * resumed.
 *
 * <p>An event that the target's protocol does not allow ends the delivery before a byte of it: the caller cannot tell it from
 * an event of its request, and its id would become the position after which another target continues. The remainder of an
 * engine's stream can be resumed from the last chunk before it.
 */
final class ResponseDelivery {
    static final int MAX_BUFFERED_BYTES = 1 << 20;

    /** A longer event is delivered as it arrives. */
    static final int MAX_EVENT_BYTES = 256 << 10;

    /** A rejection is short; a longer response with such a status is delivered like any other. */
    static final int MAX_REJECTION_BYTES = 64 << 10;

    private final AttemptListener listener;
    private final SseScanner scanner;
    private final PendingBytes buffered = new PendingBytes();
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean headDelivered;
    private boolean bytesDelivered;
    private boolean resumable = true;
    /** Whether a part of the event that is not complete has been delivered. */
    private boolean partialEventDelivered;

    private boolean endDelivered;
    private EventFault fault = EventFault.NONE;
    private long reportedTokens;
    private TokenUsage bodyUsage = TokenUsage.NONE;

    ResponseDelivery(AttemptListener listener, EventCheck eventCheck) {
        this.listener = listener;
        this.scanner = SseScanner.of(eventCheck);
    }

    /** Sets the head of the response or of its continuation; ignored once a head has been delivered. */
    void head(int responseStatus, Map<String, String> responseHeaders) {
        status = responseStatus;
        headers = responseHeaders;
    }

    /** Whether a byte of the response has been delivered. */
    boolean hasDelivered() {
        return bytesDelivered;
    }

    /** Whether the remainder of the response may arrive over another connection. */
    boolean isResumable() {
        return resumable;
    }

    /** Number of data chunks of a stream that have been delivered. */
    long deliveredChunks() {
        return scanner.completeChunks();
    }

    /** The id of the last complete event; empty if there is none. */
    String position() {
        return scanner.lastEventId();
    }

    long outputTokens() {
        return usage().outputTokens();
    }

    /** Token usage so far: as reported by the target, otherwise as counted from the chunks. */
    TokenUsage usage() {
        TokenUsage reported = scanner.usage();
        return bodyUsage.isKnown()
                ? bodyUsage
                : new TokenUsage(reported.promptTokens(), reported.cachedPromptTokens(), scanner.outputTokens());
    }

    /** Whether the stream's end mark has been received. */
    boolean hasEndMark() {
        return scanner.isDone();
    }

    /** Whether the stream has been delivered up to its end mark. */
    boolean isEndDelivered() {
        return endDelivered;
    }

    /** The fault of the event that has ended the delivery. */
    EventFault fault() {
        return fault;
    }

    /** Accepts bytes of a stream and delivers complete events; returns false at an event with a {@link #fault}. */
    boolean acceptStream(byte[] bytes) {
        int completeEventBytes = scanner.scan(bytes);
        buffered.add(bytes, 0, completeEventBytes);
        if (completeEventBytes > 0) {
            flush();
            partialEventDelivered = false;
            listener.onPosition(scanner.lastEventId());
            endDelivered = scanner.isEndComplete();
        }
        reportProgress();
        fault = scanner.fault();
        if (fault != EventFault.NONE) {
            return false;
        }
        buffered.add(bytes, completeEventBytes, bytes.length - completeEventBytes);
        if (buffered.size() > MAX_EVENT_BYTES && !scanner.allowsPart()) {
            fault = EventFault.TOO_LARGE;
            return false;
        }
        if (flushIfLargerThan(MAX_EVENT_BYTES)) {
            partialEventDelivered = true;
            listener.onNotContinuable();
        }
        return true;
    }

    /** Accepts bytes of a response that is delivered only once it is complete; see {@link #bufferedBytes()}. */
    void buffer(byte[] bytes) {
        buffer(bytes, MAX_BUFFERED_BYTES);
    }

    /** Accepts bytes of a response that may be a rejection; see {@link #bufferedBytes()}. */
    void bufferRejection(byte[] bytes) {
        buffer(bytes, MAX_REJECTION_BYTES);
    }

    private void buffer(byte[] bytes, int maxBytes) {
        if (!resumable) {
            deliver(bytes);
            return;
        }
        buffered.add(bytes, 0, bytes.length);
        if (flushIfLargerThan(maxBytes)) {
            listener.onNotContinuable();
        }
    }

    /** Delivers bytes of any other response as they arrive. */
    void passThrough(byte[] bytes) {
        resumable = false;
        deliver(bytes);
        listener.onNotContinuable();
    }

    byte[] bufferedBytes() {
        return buffered.toByteArray();
    }

    boolean isBufferEmpty() {
        return buffered.isEmpty();
    }

    /** Whether the bytes of a stream so far end within an event. */
    boolean isWithinEvent() {
        return partialEventDelivered || !buffered.isEmpty();
    }

    /** The memory of the buffered bytes. */
    long heldBytes() {
        return buffered.allocatedBytes();
    }

    /** Delivers what is still buffered, at the end of a complete response. */
    void end(boolean readUsage) {
        if (readUsage) {
            bodyUsage = TokenUsage.parseBody(buffered.toByteArray());
        }
        flush();
        deliverHead();
    }

    /** Drops a partial event or body of a connection that is abandoned. */
    void discardIncomplete() {
        buffered.clear();
        scanner.discardIncomplete();
        fault = EventFault.NONE;
    }

    private boolean flushIfLargerThan(int maxBytes) {
        if (buffered.size() <= maxBytes) {
            return false;
        }
        resumable = false;
        flush();
        return true;
    }

    private void flush() {
        buffered.drainTo(this::deliver);
    }

    private void deliver(byte[] bytes) {
        deliverHead();
        bytesDelivered = true;
        listener.onBytes(bytes);
    }

    private void deliverHead() {
        if (!headDelivered) {
            headDelivered = true;
            listener.onHead(status, headers);
        }
    }

    private void reportProgress() {
        long tokens = scanner.outputTokens();
        if (tokens > reportedTokens) {
            reportedTokens = tokens;
            listener.onProgress(tokens);
        }
    }
}
