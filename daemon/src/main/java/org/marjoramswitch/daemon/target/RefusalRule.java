package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;

/** Determines whether a target's response reports that the request was not started. */
@FunctionalInterface
public interface RefusalRule {
    /** @param headers header names are in lower case */
    boolean saysNotStarted(int status, Map<String, String> headers, byte[] body);

    /** Whether a response with the status may be a rejection, so that it is buffered to its end. */
    default boolean mayRefuse(int status) {
        return isOverload(status);
    }

    private static boolean isOverload(int status) {
        return status == 503 || status == 429;
    }

    /**
     * Status 503 or 429 with the header {@code X-Run: not-run}, or with a JSON body whose {@code run} member is
     * {@code not-run} or whose {@code error.code} or {@code error.type} is {@code not_started}. The status alone is not
     * sufficient: a proxy or an overloaded engine also sends it for a request that has been started.
     */
    static RefusalRule explicit() {
        ObjectMapper json = new ObjectMapper();
        return (status, headers, body) ->
                isOverload(status) && ("not-run".equals(headers.get("x-run")) || bodySaysNotStarted(json, body));
    }

    private static boolean bodySaysNotStarted(ObjectMapper json, byte[] body) {
        try {
            JsonNode response = json.readTree(body);
            JsonNode error = response.path("error");
            return "not-run".equals(response.path("run").asText())
                    || "not_started".equals(error.path("code").asText())
                    || "not_started".equals(error.path("type").asText());
        } catch (IOException e) {
            return false;
        }
    }
}
