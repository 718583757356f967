package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Reads along with a stream of server-sent events, without changing it: counts its data chunks and sees its end.
 *
 * <p>Bytes may be split anywhere. A line is gathered up to {@link #MAX_LINE_BYTES}; the rest of a longer one is passed
 * over, so that memory stays bounded, and it still counts as a chunk. An event is whole once the empty line after it
 * has come.
 *
 * <p>Each data chunk counts as one output token until a chunk with a usage object names the number, which then holds.
 * The two differ where an engine sends a first chunk that has only a role, or several tokens in one.
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
    private long wholeChunks;
    private long unfinishedChunks;
    private boolean done;
    private TokenUsage usage = TokenUsage.NONE;
    private String eventId = "";
    private String lastEventId = "";

    /** Returns how many of the bytes, with what came before, end with a whole event. */
    int scan(byte[] bytes) {
        int wholeEvents = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] != '\n') {
                gather(bytes[i]);
            } else if (endLine()) {
                wholeEvents = i + 1;
            }
        }
        return wholeEvents;
    }

    /** Whether the stream's end mark has come. */
    boolean isDone() {
        return done;
    }

    /** Data chunks in whole events so far. */
    long wholeChunks() {
        return wholeChunks;
    }

    /** The id of the last whole event, empty where no event had one. */
    String lastEventId() {
        return lastEventId;
    }

    long outputTokens() {
        return usage.isKnown() ? usage.outputTokens() : wholeChunks;
    }

    /** The last usage that the stream named; {@link TokenUsage#NONE} before. */
    TokenUsage usage() {
        return usage;
    }

    /** Forgets the event that has begun and not ended. */
    void dropUnfinished() {
        line.reset();
        unfinishedChunks = 0;
    }

    private void gather(byte next) {
        if (line.size() < MAX_LINE_BYTES) {
            line.write(next);
        }
    }

    /** Returns whether the line ends an event. */
    private boolean endLine() {
        String text = line.toString(StandardCharsets.UTF_8).strip();
        line.reset();
        if (text.isEmpty()) {
            wholeChunks += unfinishedChunks;
            unfinishedChunks = 0;
            lastEventId = eventId;
            return true;
        }
        if (text.startsWith(DATA)) {
            takeData(text.substring(DATA.length()).strip());
        } else if (text.startsWith(ID)) {
            eventId = text.substring(ID.length()).strip();
        }
        return false;
    }

    private void takeData(String data) {
        if (data.equals(DONE)) {
            done = true;
            return;
        }
        unfinishedChunks++;
        if (data.contains(USAGE)) {
            readUsage(data);
        }
    }

    private void readUsage(String data) {
        try {
            usage = TokenUsage.in(JSON.readTree(data)).orElse(usage);
        } catch (IOException e) {
            // A chunk that cannot be read says nothing of the usage: what was known before stands.
            return;
        }
    }
}
