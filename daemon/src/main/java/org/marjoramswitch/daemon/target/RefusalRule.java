package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;

/** Judges whether a target's answer says that the request was not started. */
@FunctionalInterface
public interface RefusalRule {
    /** Header names are in lower case. */
    boolean saysNotStarted(int status, Map<String, String> headers, byte[] body);

    /** Whether an answer with the status can be a refusal at all, so that its body is worth holding back. */
    default boolean mayRefuse(int status) {
        return isOverload(status);
    }

    private static boolean isOverload(int status) {
        return status == 503 || status == 429;
    }

    /**
     * Status 503 or 429 with the header {@code X-Run: not-run}, or with a JSON body whose {@code run} member is
     * {@code not-run} or whose {@code error.code} or {@code error.type} is {@code not_started}. The bare status is not
     * enough: a proxy or an overloaded engine also sends it for a request that it has begun.
     */
    static RefusalRule explicit() {
        ObjectMapper json = new ObjectMapper();
        return (status, headers, body) ->
                isOverload(status) && ("not-run".equals(headers.get("x-run")) || bodySaysSo(json, body));
    }

    private static boolean bodySaysSo(ObjectMapper json, byte[] body) {
        try {
            JsonNode answer = json.readTree(body);
            JsonNode error = answer.path("error");
            return "not-run".equals(answer.path("run").asText())
                    || "not_started".equals(error.path("code").asText())
                    || "not_started".equals(error.path("type").asText());
        } catch (IOException e) {
            return false;
        }
    }
}
