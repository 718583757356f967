package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Scans a stream of server-sent events without modifying it: finds the ends of events, has them checked, counts data chunks and
 * detects the end mark.
 *
 * <p>Bytes may be split anywhere. Lines end with LF, CR LF or CR. At most {@link #MAX_LINE_BYTES} of a line are kept, to bound
 * memory; a longer line is truncated and still counts as a chunk. An event is complete once the empty line after it has been
 * received.
 *
 * <p>Each data chunk counts as one output token until a chunk with a usage object reports the number, which then takes
 * precedence. The two differ if an engine sends a first chunk that has only a role, or several tokens in one chunk.
 */
final class SseScanner {
    static final int MAX_LINE_BYTES = 16 << 10;
    private static final int INITIAL_LINE_BYTES = 256;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data:";
    private static final String USAGE = "\"usage\"";

    private final EventCheck check;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(INITIAL_LINE_BYTES);
    private EventFault fault = EventFault.NONE;
    private boolean truncated;
    private boolean lastWasCr;
    /** Whether the last line that ended was empty, so that no event has begun. */
    private boolean betweenEvents = true;

    private long completeChunks;
    private long pendingChunks;
    private boolean done;
    private boolean pendingDone;
    private TokenUsage usage = TokenUsage.NONE;
    private TokenUsage pendingUsage = TokenUsage.NONE;

    private SseScanner(EventCheck check) {
        this.check = check;
    }

    static SseScanner of(EventCheck check) {
        return new SseScanner(check);
    }

    /**
     * Returns the number of leading bytes up to the end of the last complete event; 0 if no event ends in them. Stops at a
     * fault, see {@link #fault}; the events before it are complete.
     */
    int scan(byte[] bytes) {
        int completeEventBytes = 0;
        int lineStart = 0;
        for (int i = 0; i < bytes.length; i++) {
            byte next = bytes[i];
            boolean secondOfCrLf = next == '\n' && lastWasCr;
            lastWasCr = next == '\r';
            if (secondOfCrLf) {
                lineStart = i + 1;
                completeEventBytes = betweenEvents ? lineStart : completeEventBytes;
                continue;
            }
            if (next != '\n' && next != '\r') {
                continue;
            }
            append(bytes, lineStart, i);
            lineStart = i + 1;
            endLine();
            if (fault != EventFault.NONE) {
                return completeEventBytes;
            }
            completeEventBytes = betweenEvents ? lineStart : completeEventBytes;
        }
        append(bytes, lineStart, bytes.length);
        return completeEventBytes;
    }

    /** The fault at which the scan has stopped. */
    EventFault fault() {
        return fault;
    }

    /** Whether a part of the event that is not complete may be passed on. */
    boolean allowsPart() {
        return check.allowsPart(keptLine());
    }

    /** Whether the stream's end mark has been received; the empty line after it may be missing. */
    boolean isDone() {
        return done || pendingDone;
    }

    /** Whether the event of the stream's end mark is complete. */
    boolean isEndComplete() {
        return done;
    }

    /** Number of data chunks in complete events so far. */
    long completeChunks() {
        return completeChunks;
    }

    /** The id of the last complete event that the check has identified; empty if there is none. */
    String lastEventId() {
        return check.lastEventId();
    }

    long outputTokens() {
        return usage.isKnown() ? usage.outputTokens() : completeChunks;
    }

    /** The highest usage that a complete event reported; {@link TokenUsage#NONE} before the first. */
    TokenUsage usage() {
        return usage;
    }

    /** Drops an event that has begun but is not complete, and its fault; the remainder follows from another connection. */
    void discardIncomplete() {
        resetLine();
        fault = EventFault.NONE;
        pendingChunks = 0;
        pendingDone = false;
        pendingUsage = TokenUsage.NONE;
        lastWasCr = false;
        betweenEvents = true;
        check.discardIncomplete();
    }

    private void append(byte[] bytes, int from, int to) {
        int count = Math.min(to - from, MAX_LINE_BYTES - line.size());
        if (count > 0) {
            line.write(bytes, from, count);
        }
        truncated |= count < to - from;
    }

    private void endLine() {
        String text = keptLine();
        boolean lineTruncated = truncated;
        resetLine();
        betweenEvents = text.isEmpty();
        if (betweenEvents) {
            endEvent();
            return;
        }
        fault = check.line(text, lineTruncated);
        if (text.startsWith(DATA)) {
            onData(text.substring(DATA.length()).strip());
        }
    }

    private void resetLine() {
        line.reset();
        truncated = false;
    }

    private String keptLine() {
        return line.toString(StandardCharsets.UTF_8);
    }

    private void endEvent() {
        fault = check.end();
        if (fault != EventFault.NONE) {
            return;
        }
        completeChunks += pendingChunks;
        pendingChunks = 0;
        done |= pendingDone;
        pendingDone = false;
        usage = pendingUsage.isBelow(usage) ? usage : pendingUsage;
        pendingUsage = TokenUsage.NONE;
    }

    private void onData(String data) {
        if (data.equals(ChatChunks.END_MARK)) {
            pendingDone = true;
            return;
        }
        pendingChunks++;
        if (data.contains(USAGE)) {
            readUsage(data);
        }
    }

    private void readUsage(String data) {
        try {
            pendingUsage = TokenUsage.parse(JSON.readTree(data)).orElse(pendingUsage);
        } catch (IOException e) {
            // A malformed chunk reports no usage; the previous one is kept.
            return;
        }
    }
}
