package org.marjoramswitch.daemon.target;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import org.marjoramswitch.daemon.exchange.TargetClient.AttemptListener;

/**
 * Hands an attempt's answer to its listener, in parts that another connection can go on from.
 *
 * <p>The head goes out together with the first bytes, or at a whole but empty end, so that an answer that breaks in
 * between has shown the listener nothing.
 *
 * <p>A model engine's stream goes out by whole events: a chunk cut in the middle stays here, so that the stream can be
 * resumed from the number of chunks that went out, on another connection, without a seam. An engine's whole answer is
 * held to its end, since half of a JSON object is of no use to anyone and would stand in the way of another attempt. Both
 * are bounded by {@link #MAX_HELD_BYTES}: what is larger goes out as it comes, and can no longer be resumed.
 */
final class ResponseDelivery {
    /** How much of an answer is held back. */
    static final int MAX_HELD_BYTES = 1 << 20;

    private final AttemptListener listener;
    private final SseScanner scanner = new SseScanner();
    private final ByteArrayOutputStream held = new ByteArrayOutputStream(0);
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean headDelivered;
    private boolean bytesDelivered;
    private boolean seamless = true;
    private long reportedTokens;
    private TokenUsage wholeUsage = TokenUsage.NONE;

    ResponseDelivery(AttemptListener listener) {
        this.listener = listener;
    }

    /** The head of the answer, or of its continuation, of which nothing is shown if the first has gone out. */
    void head(int answerStatus, Map<String, String> answerHeaders) {
        status = answerStatus;
        headers = answerHeaders;
    }

    /** Whether a byte of the answer has gone to the listener. */
    boolean hasBegun() {
        return bytesDelivered;
    }

    /** Whether the rest of the answer may come over another connection. */
    boolean isSeamless() {
        return seamless;
    }

    /** Chunks of a stream that have gone to the listener. */
    long deliveredChunks() {
        return scanner.wholeChunks();
    }

    long outputTokens() {
        return usage().outputTokens();
    }

    /** What the answer has cost so far, as the target named it or as its chunks were counted. */
    TokenUsage usage() {
        TokenUsage named = scanner.usage();
        return wholeUsage.isKnown()
                ? wholeUsage
                : new TokenUsage(named.promptTokens(), named.cachedPromptTokens(), scanner.outputTokens());
    }

    /** Whether the stream has given its end mark. */
    boolean hasEndMark() {
        return scanner.isDone();
    }

    /** A part of a model engine's stream. */
    void stream(byte[] bytes) {
        int wholeEvents = scanner.scan(bytes);
        held.write(bytes, 0, wholeEvents);
        if (wholeEvents > 0) {
            flush();
            listener.onPosition(scanner.lastEventId());
        }
        held.write(bytes, wholeEvents, bytes.length - wholeEvents);
        flushIfTooLarge();
        reportProgress();
    }

    /** A part of an answer that is given whole; see {@link #heldBytes()}. */
    void hold(byte[] bytes) {
        held.writeBytes(bytes);
        flushIfTooLarge();
    }

    /** A part of any other answer. */
    void pass(byte[] bytes) {
        seamless = false;
        deliver(bytes);
    }

    /** What is held back now. */
    byte[] heldBytes() {
        return held.toByteArray();
    }

    /** The answer is whole: the rest of it goes out. */
    void end(boolean readUsage) {
        if (readUsage) {
            wholeUsage = TokenUsage.inBody(held.toByteArray());
        }
        flush();
        deliverHead();
    }

    /** The connection is given up: what it left unfinished is dropped. */
    void dropUnfinished() {
        held.reset();
        scanner.dropUnfinished();
    }

    private void flushIfTooLarge() {
        if (held.size() > MAX_HELD_BYTES) {
            seamless = false;
            flush();
        }
    }

    private void flush() {
        if (held.size() > 0) {
            byte[] bytes = held.toByteArray();
            held.reset();
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
