package org.marjoramswitch.tool.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/** Reads and writes settings documents as JSON; the change id is the member {@code changeId}. */
final class DocumentJson {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final String CHANGE_ID = "changeId";

    private DocumentJson() {}

    /** Returns null if the text is not a JSON object. */
    static @Nullable ObjectNode parse(String json) {
        try {
            return JSON.readTree(json) instanceof ObjectNode object ? object : null;
        } catch (JsonProcessingException malformed) {
            return null;
        }
    }

    /** Returns the change id; empty if the document has none or is not a JSON object. */
    static String changeId(String json) {
        ObjectNode document = parse(json);
        return document == null ? "" : document.path(CHANGE_ID).asText("");
    }

    /** Returns the document's text with its change id replaced by this one. */
    static String withChangeId(ObjectNode document, String changeId) {
        ObjectNode changed = JSON.createObjectNode().put(CHANGE_ID, changeId);
        document.properties().forEach(member -> {
            if (!member.getKey().equals(CHANGE_ID)) {
                changed.set(member.getKey(), member.getValue());
            }
        });
        return write(changed);
    }

    /** Returns a copy of the document without its change id, for comparisons. */
    static JsonNode content(ObjectNode document) {
        return document.deepCopy().without(CHANGE_ID);
    }

    static String write(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException notWritable) {
            throw new IllegalArgumentException(notWritable);
        }
    }

    static <T> T read(String json, Class<T> type) throws JsonProcessingException {
        return JSON.readValue(json, type);
    }
}
