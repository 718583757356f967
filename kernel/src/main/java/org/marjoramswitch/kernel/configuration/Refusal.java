package org.marjoramswitch.kernel.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.ErrorType;

/**
 * The value at {@link SettingsKeys#refusal}: {@code {"drafts":{"base":12},"faults":[{"document":"base",
 * "pointer":"/customers/acme/weight","type":"SETTINGS_INVALID","number":200,"reason":"…"}]}}.
 *
 * @param revisionByDocument the revisions of the checked drafts
 */
public record Refusal(SortedMap<String, Long> revisionByDocument, List<SettingsFault> faults) {
    private static final String DRAFTS = "drafts";
    private static final String FAULTS = "faults";
    private static final String DOCUMENT = "document";
    private static final String POINTER = "pointer";
    private static final String TYPE = "type";
    private static final String NUMBER = "number";
    private static final String REASON = "reason";

    public String toJson() {
        ObjectNode root = CanonicalJson.object();
        ObjectNode drafts = root.putObject(DRAFTS);
        revisionByDocument.forEach(drafts::put);
        ArrayNode nodes = root.putArray(FAULTS);
        faults.forEach(fault -> nodes.addObject()
                .put(DOCUMENT, fault.document())
                .put(POINTER, fault.pointer())
                .put(TYPE, fault.type().name())
                .put(NUMBER, fault.type().number())
                .put(REASON, fault.detail()));
        return CanonicalJson.write(root);
    }

    /** Parses a stored refusal; null if the value is not valid JSON. */
    public static @Nullable Refusal parse(String team, String json) {
        JsonNode root;
        try {
            root = CanonicalJson.parse(json);
        } catch (JsonProcessingException e) {
            return null;
        }
        SortedMap<String, Long> revisions = new TreeMap<>();
        root.path(DRAFTS)
                .properties()
                .forEach(draft -> revisions.put(draft.getKey(), draft.getValue().asLong()));
        List<SettingsFault> faults = new ArrayList<>();
        for (JsonNode fault : root.path(FAULTS)) {
            faults.add(new SettingsFault(
                    team,
                    fault.path(DOCUMENT).asText(),
                    fault.path(POINTER).asText(),
                    type(fault.path(TYPE).asText()),
                    fault.path(REASON).asText()));
        }
        return new Refusal(revisions, List.copyOf(faults));
    }

    /** Maps a type written by a newer acceptor and unknown here to {@link ErrorType#SETTINGS_INVALID}. */
    private static ErrorType type(String name) {
        for (ErrorType type : ErrorType.values()) {
            if (type.name().equals(name)) {
                return type;
            }
        }
        return ErrorType.SETTINGS_INVALID;
    }
}
