package org.marjoramswitch.daemon.target;

import java.io.ByteArrayOutputStream;
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
 * attempt. Both are bounded by {@link #MAX_BUFFERED_BYTES}: a larger response is delivered as it arrives and can no
 * longer be resumed.
 */
final class ResponseDelivery {
    static final int MAX_BUFFERED_BYTES = 1 << 20;

    private final AttemptListener listener;
    private final SseScanner scanner = new SseScanner();
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream(0);
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean headDelivered;
    private boolean bytesDelivered;
    private boolean resumable = true;
    private long reportedTokens;
    private TokenUsage bodyUsage = TokenUsage.NONE;

    ResponseDelivery(AttemptListener listener) {
        this.listener = listener;
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

    /** Accepts bytes of a model engine's stream and delivers complete events. */
    void acceptStream(byte[] bytes) {
        int completeEventBytes = scanner.scan(bytes);
        buffered.write(bytes, 0, completeEventBytes);
        if (completeEventBytes > 0) {
            flush();
            listener.onPosition(scanner.lastEventId());
        }
        buffered.write(bytes, completeEventBytes, bytes.length - completeEventBytes);
        flushIfTooLarge();
        reportProgress();
    }

    /** Accepts bytes of a response that is delivered only once it is complete; see {@link #bufferedBytes()}. */
    void buffer(byte[] bytes) {
        buffered.writeBytes(bytes);
        flushIfTooLarge();
    }

    /** Delivers bytes of any other response as they arrive. */
    void passThrough(byte[] bytes) {
        resumable = false;
        deliver(bytes);
    }

    byte[] bufferedBytes() {
        return buffered.toByteArray();
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
        buffered.reset();
        scanner.discardIncomplete();
    }

    private void flushIfTooLarge() {
        if (buffered.size() > MAX_BUFFERED_BYTES) {
            resumable = false;
            flush();
        }
    }

    private void flush() {
        if (buffered.size() > 0) {
            byte[] bytes = buffered.toByteArray();
            buffered.reset();
            deliver(bytes);
        }
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
