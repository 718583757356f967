package org.marjoramswitch.daemon.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Optional;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Value of a claim's entry in the store.
 *
 * @param claimId unique across all claims, so that a claim whose response was lost can recognize its own entry
 * @param requestKey the key of the request that holds the caller's key
 * @param instance the entry instance of that request, which knows its outcome
 * @param incarnation the incarnation of that instance
 */
public record ClaimValue(String claimId, String requestKey, InstanceId instance, long incarnation) {
    private static final ObjectMapper JSON = new ObjectMapper();

    String toJson() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("claim", claimId)
                .put("request", requestKey)
                .put("instance", instance.name())
                .put("incarnation", incarnation)
                .toString();
    }

    /** Empty if the text is not a claim. */
    static Optional<ClaimValue> parse(String text) {
        try {
            JsonNode body = JSON.readTree(text);
            String claimId = body.path("claim").asText("");
            String instance = body.path("instance").asText("");
            if (claimId.isEmpty() || instance.isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(new ClaimValue(
                    claimId,
                    body.path("request").asText(""),
                    InstanceId.of(instance),
                    body.path("incarnation").asLong()));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
