package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Scans a stream of server-sent events without modifying it: counts data chunks and detects the end mark.
 *
 * <p>Bytes may be split anywhere. At most {@link #MAX_LINE_BYTES} of a line are kept, to bound memory; a longer line is
 * truncated and still counts as a chunk. An event is complete once the empty line after it has been received.
 *
 * <p>Each data chunk counts as one output token until a chunk with a usage object reports the number, which then takes
 * precedence. The two differ if an engine sends a first chunk that has only a role, or several tokens in one chunk.
 */
final class SseScanner {
    static final int MAX_LINE_BYTES = 16 << 10;
    private static final int INITIAL_LINE_BYTES = 256;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data:";
    private static final String ID = "id:";
    private static final String DONE = "[DONE]";
    private static final String USAGE = "\"usage\"";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream(INITIAL_LINE_BYTES);
    private long completeChunks;
    private long pendingChunks;
    private boolean done;
    private TokenUsage usage = TokenUsage.NONE;
    private String eventId = "";
    private String lastEventId = "";

    /** Returns the number of leading bytes up to the end of the last complete event; 0 if no event ends in them. */
    int scan(byte[] bytes) {
        int completeEventBytes = 0;
        int lineStart = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                append(bytes, lineStart, i);
                lineStart = i + 1;
                if (endLine()) {
                    completeEventBytes = lineStart;
                }
            }
        }
        append(bytes, lineStart, bytes.length);
        return completeEventBytes;
    }

    /** Whether the stream's end mark has been received. */
    boolean isDone() {
        return done;
    }

    /** Number of data chunks in complete events so far. */
    long completeChunks() {
        return completeChunks;
    }

    /** The most recent id as of the last complete event; empty if no event had one. */
    String lastEventId() {
        return lastEventId;
    }

    long outputTokens() {
        return usage.isKnown() ? usage.outputTokens() : completeChunks;
    }

    /** The last usage that the stream reported; {@link TokenUsage#NONE} before the first. */
    TokenUsage usage() {
        return usage;
    }

    /** Drops an event that has begun but is not complete. */
    void discardIncomplete() {
        line.reset();
        pendingChunks = 0;
    }

    private void append(byte[] bytes, int from, int to) {
        int count = Math.min(to - from, MAX_LINE_BYTES - line.size());
        if (count > 0) {
            line.write(bytes, from, count);
        }
    }

    /** Returns whether the line ends an event. */
    private boolean endLine() {
        String text = line.toString(StandardCharsets.UTF_8).strip();
        line.reset();
        if (text.isEmpty()) {
            completeChunks += pendingChunks;
            pendingChunks = 0;
            lastEventId = eventId;
            return true;
        }
        if (text.startsWith(DATA)) {
            onData(text.substring(DATA.length()).strip());
        } else if (text.startsWith(ID)) {
            eventId = text.substring(ID.length()).strip();
        }
        return false;
    }

    private void onData(String data) {
        if (data.equals(DONE)) {
            done = true;
            return;
        }
        pendingChunks++;
        if (data.contains(USAGE)) {
            readUsage(data);
        }
    }

    private void readUsage(String data) {
        try {
            usage = TokenUsage.parse(JSON.readTree(data)).orElse(usage);
        } catch (IOException e) {
            // A malformed chunk reports no usage; the previous one is kept.
            return;
        }
    }
}
