package org.marjoramswitch.tool.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The latest writes of a document, newest first. The history is written in the same transaction as the document, so it
 * contains exactly the writes that took effect. This resolves the outcome of a write whose response was lost and which
 * another operator has since overwritten.
 *
 * <p>Bounded by {@value #MAX_RECORDS} records and {@value #MAX_BYTES} bytes, since the key-value store limits values to
 * one megabyte; the newest record is always kept.
 */
public record History(List<Change> changes) {
    static final int MAX_RECORDS = 20;
    static final int MAX_BYTES = 400_000;
    static final History EMPTY = new History(List.of());

    /**
     * A write that took effect.
     *
     * @param atMs time of the write by the clock of the operator's machine
     * @param json the document as written
     */
    public record Change(String changeId, long atMs, String operator, String json) {}

    /** Parses a history from its stored value; returns an empty history if the value is malformed. */
    static History parse(String json) {
        try {
            return DocumentJson.read(json, History.class);
        } catch (JsonProcessingException malformed) {
            return EMPTY;
        }
    }

    String toJson() {
        return DocumentJson.write(this);
    }

    boolean holds(String changeId) {
        return changes.stream().anyMatch(change -> change.changeId().equals(changeId));
    }

    History with(Change newest) {
        List<Change> kept = new ArrayList<>(List.of(newest));
        long bytes = bytes(newest);
        for (Change change : changes) {
            bytes += bytes(change);
            if (kept.size() >= MAX_RECORDS || bytes > MAX_BYTES) {
                break;
            }
            kept.add(change);
        }
        return new History(List.copyOf(kept));
    }

    private static long bytes(Change change) {
        return change.json().getBytes(StandardCharsets.UTF_8).length;
    }
}
