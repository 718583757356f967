package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/** Token counts from the usage object of an OpenAI-compatible response. */
record TokenUsage(long promptTokens, long cachedPromptTokens, long outputTokens) {
    static final TokenUsage NONE = new TokenUsage(0, 0, 0);
    private static final ObjectMapper JSON = new ObjectMapper();

    boolean isKnown() {
        return outputTokens > 0 || promptTokens > 0;
    }

    /** Returns the response's usage, or empty if it has none. */
    static Optional<TokenUsage> parse(JsonNode response) {
        JsonNode usage = response.path("usage");
        if (!usage.isObject()) {
            return Optional.empty();
        }
        return Optional.of(new TokenUsage(
                atLeastZero(usage.path("prompt_tokens")),
                atLeastZero(usage.path("prompt_tokens_details").path("cached_tokens")),
                atLeastZero(usage.path("completion_tokens"))));
    }

    /** Returns the usage in a JSON response body; {@link #NONE} if there is none or the body is malformed. */
    static TokenUsage parseBody(byte[] body) {
        try {
            return parse(JSON.readTree(body)).orElse(NONE);
        } catch (IOException e) {
            return NONE;
        }
    }

    private static long atLeastZero(JsonNode number) {
        return Math.max(0, number.asLong());
    }
}
