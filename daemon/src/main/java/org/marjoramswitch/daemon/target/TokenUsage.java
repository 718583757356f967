package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/** Token counts from the usage object of an OpenAI-compatible response. */
record TokenUsage(long promptTokens, long cachedPromptTokens, long outputTokens) {
    static final TokenUsage NONE = new TokenUsage(0, 0, 0);
    /** Far above the context of any model; a larger number would exhaust its customer's share. */
    private static final long MAX_TOKENS = 100_000_000;

    private static final long IMPLAUSIBLE = -1;
    private static final ObjectMapper JSON = new ObjectMapper();

    boolean isKnown() {
        return outputTokens > 0 || promptTokens > 0;
    }

    /** Whether this takes back tokens that {@code earlier} of the same stream has reported. */
    boolean isBelow(TokenUsage earlier) {
        return promptTokens < earlier.promptTokens || outputTokens < earlier.outputTokens;
    }

    /** Returns the response's usage, or empty if it has none or one that no request can have. */
    static Optional<TokenUsage> parse(JsonNode response) {
        JsonNode usage = response.path("usage");
        if (!usage.isObject()) {
            return Optional.empty();
        }
        long prompt = tokens(usage.path("prompt_tokens"));
        long cached = tokens(usage.path("prompt_tokens_details").path("cached_tokens"));
        long output = tokens(usage.path("completion_tokens"));
        boolean implausible = prompt == IMPLAUSIBLE || cached == IMPLAUSIBLE || output == IMPLAUSIBLE;
        return implausible || cached > prompt ? Optional.empty() : Optional.of(new TokenUsage(prompt, cached, output));
    }

    /** Returns the usage in a JSON response body; {@link #NONE} if there is none or the body is malformed. */
    static TokenUsage parseBody(byte[] body) {
        try {
            return parse(JSON.readTree(body)).orElse(NONE);
        } catch (IOException e) {
            return NONE;
        }
    }

    private static long tokens(JsonNode number) {
        if (number.isMissingNode() || number.isNull()) {
            return 0;
        }
        boolean whole = number.isIntegralNumber() && number.canConvertToLong();
        return whole && number.longValue() >= 0 && number.longValue() <= MAX_TOKENS ? number.longValue() : IMPLAUSIBLE;
    }
}
