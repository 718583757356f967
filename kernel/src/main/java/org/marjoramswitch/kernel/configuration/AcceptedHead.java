package org.marjoramswitch.kernel.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The value at {@link SettingsKeys#HEAD}: {@code {"digest":"…","generation":7,"revisionByTeam":{"ops":12}}}.
 *
 * @param digest SHA-256 over the generation and all bodies
 * @param revisionByTeam the highest revision among each team's drafts that the generation considers
 */
public record AcceptedHead(long generation, String digest, SortedMap<String, Long> revisionByTeam) {
    private static final String GENERATION = "generation";
    private static final String DIGEST = "digest";
    private static final String REVISION_BY_TEAM = "revisionByTeam";

    public String toJson() {
        ObjectNode root = CanonicalJson.object();
        root.put(GENERATION, generation);
        root.put(DIGEST, digest);
        ObjectNode revisions = root.putObject(REVISION_BY_TEAM);
        revisionByTeam.forEach(revisions::put);
        return CanonicalJson.write(root);
    }

    /** Parses a stored head; null if the value is not a valid head. */
    public static @Nullable AcceptedHead parse(String json) {
        JsonNode root;
        try {
            root = CanonicalJson.parse(json);
        } catch (JsonProcessingException e) {
            return null;
        }
        long generation = root.path(GENERATION).asLong();
        String digest = root.path(DIGEST).asText();
        if (generation <= 0 || digest.isEmpty()) {
            return null;
        }
        SortedMap<String, Long> revisions = new TreeMap<>();
        root.path(REVISION_BY_TEAM)
                .properties()
                .forEach(member ->
                        revisions.put(member.getKey(), member.getValue().asLong()));
        return new AcceptedHead(generation, digest, revisions);
    }
}
