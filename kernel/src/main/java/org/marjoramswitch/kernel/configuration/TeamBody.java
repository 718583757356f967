package org.marjoramswitch.kernel.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The accepted documents of one team. The JSON text is canonical, so that two acceptors with the same input write the
 * same bytes: {@code {"documents":{"<document>":{"content":{…},"modRevision":12,"sha256":"…"}},"generation":7}}.
 *
 * @param generation the generation in which this body last changed
 */
record TeamBody(long generation, SortedMap<String, AcceptedDocument> documents) {
    private static final String DOCUMENTS = "documents";
    private static final String GENERATION = "generation";
    private static final String CONTENT = "content";
    private static final String MOD_REVISION = "modRevision";
    private static final String SHA256 = "sha256";
    private static final String SUPERSEDED = "superseded";

    static final TeamBody EMPTY = new TeamBody(0, new TreeMap<>());

    /** The highest revision among the considered drafts; 0 if there are none. */
    long revision() {
        return documents.values().stream()
                .map(AcceptedDocument::draft)
                .mapToLong(draft -> draft == null ? 0 : draft.modRevision())
                .max()
                .orElse(0);
    }

    /** The active content by document, as {@link TeamReader} expects it. */
    SortedMap<String, JsonNode> contents() {
        SortedMap<String, JsonNode> contents = new TreeMap<>();
        documents.forEach((name, document) -> {
            JsonNode content = document.content();
            if (content != null) {
                contents.put(name, content);
            }
        });
        return contents;
    }

    String toJson() {
        ObjectNode root = CanonicalJson.object();
        root.put(GENERATION, generation);
        ObjectNode nodes = root.putObject(DOCUMENTS);
        documents.forEach((name, document) -> write(document, nodes.putObject(name)));
        return CanonicalJson.write(root);
    }

    private static void write(AcceptedDocument document, ObjectNode node) {
        if (document.content() != null) {
            node.set(CONTENT, document.content());
        }
        DraftVersion draft = document.draft();
        if (draft != null) {
            node.put(MOD_REVISION, draft.modRevision());
            node.put(SHA256, draft.sha256());
        }
        if (document.superseded()) {
            node.put(SUPERSEDED, true);
        }
    }

    static TeamBody parse(String json) throws JsonProcessingException {
        JsonNode root = CanonicalJson.parse(json);
        SortedMap<String, AcceptedDocument> documents = new TreeMap<>();
        root.path(DOCUMENTS).properties().forEach(member -> documents.put(member.getKey(), read(member.getValue())));
        return new TeamBody(root.path(GENERATION).asLong(), documents);
    }

    private static AcceptedDocument read(JsonNode node) {
        return new AcceptedDocument(
                node.get(CONTENT), draft(node), node.path(SUPERSEDED).asBoolean(false));
    }

    private static @Nullable DraftVersion draft(JsonNode node) {
        if (!node.has(SHA256)) {
            return null;
        }
        return new DraftVersion(
                node.path(MOD_REVISION).asLong(), node.path(SHA256).asText());
    }
}
