package org.marjoramswitch.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * A parsed chat request.
 *
 * @param id identifies the request in cancel, resume and state calls
 * @param idInPrompt the caller's own request id, given as {@code request-id=} in the prompt; null if absent
 * @param prefixHash hash of the prompt prefix, used in cache events
 * @param textSeed seed of the generated text
 * @param outputTokens length of the output, which callers cannot know in advance
 */
record ChatRequest(
        String id,
        @Nullable String idInPrompt,
        String customer,
        String model,
        boolean streaming,
        int promptTokens,
        int prefixTokens,
        long prefixHash,
        long textSeed,
        int outputTokens) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String NO_CUSTOMER = "none";
    private static final Pattern ID_IN_PROMPT = Pattern.compile("request-id=([A-Za-z0-9._-]+)");
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long WORD_MIX = 0x9E3779B97F4A7C15L;
    private static final long WORDS = 36 * 36 * 36;
    private static final int CHARS_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 4_096;
    /** Request field with which a test sets the exact output length. */
    private static final String EXACT_LENGTH_FIELD = "x_output_tokens";

    /**
     * Returns the id by which executions are counted. A router may assign a new id to each attempt, while the id in the
     * caller's prompt stays the same.
     */
    String executionId() {
        return idInPrompt == null ? id : idInPrompt;
    }

    /** Returns the output text from {@code fromToken} (inclusive) to {@code toToken} (exclusive). */
    String text(int fromToken, int toToken) {
        return IntStream.range(fromToken, toToken).mapToObj(this::token).collect(Collectors.joining());
    }

    /**
     * Returns one output token. The first token is the id in the prompt, if any, and the others are derived from the
     * prompt, so that a response delivered to the wrong request can be detected.
     */
    String token(int index) {
        if (index == 0 && idInPrompt != null) {
            return " " + idInPrompt;
        }
        long mixed = (textSeed + index) * WORD_MIX;
        return " " + Integer.toString((int) Math.floorMod(mixed >>> 20, WORDS), 36);
    }

    /** Throws an IOException if the body is not a chat request. */
    static ChatRequest parse(String id, String customer, byte[] body, EngineOptions options) throws IOException {
        JsonNode json = JSON.readTree(body);
        if (!json.path("messages").isArray()) {
            throw new IOException("request has no messages array");
        }
        StringBuilder prompt = new StringBuilder();
        collectStrings(json.path("messages"), prompt);
        String text = prompt.toString();
        String prefix = text.substring(0, Math.min(text.length(), options.prefixChars));
        long textSeed = options.seed * 31 + hash(text);
        return new ChatRequest(
                id,
                idInPrompt(text),
                customer.isEmpty() ? json.path("user").asText(NO_CUSTOMER) : customer,
                json.path("model").asText("default"),
                json.path("stream").asBoolean(false),
                tokensIn(text),
                tokensIn(prefix),
                hash(prefix),
                textSeed,
                outputTokens(json, textSeed, options));
    }

    /** Appends all strings of the messages in document order. */
    private static void collectStrings(JsonNode node, StringBuilder into) {
        if (node.isTextual()) {
            into.append(node.textValue());
        }
        node.forEach(child -> collectStrings(child, into));
    }

    private static @Nullable String idInPrompt(String prompt) {
        Matcher matcher = ID_IN_PROMPT.matcher(prompt);
        return matcher.find() ? matcher.group(1) : null;
    }

    private static int outputTokens(JsonNode json, long textSeed, EngineOptions options) {
        int maxTokens =
                json.path("max_completion_tokens").asInt(json.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
        int exactTokens = json.path(EXACT_LENGTH_FIELD).asInt(0);
        int wantedTokens = exactTokens > 0 ? exactTokens : logNormal(textSeed, options);
        return Math.max(1, Math.min(maxTokens, wantedTokens));
    }

    /** Samples the output length with a Box-Muller transform of two uniform numbers drawn from the seed. */
    private static int logNormal(long seed, EngineOptions options) {
        SplittableRandom random = new SplittableRandom(seed);
        double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
        double normal = radius * Math.cos(2 * Math.PI * random.nextDouble());
        return (int) Math.round(options.medianTokens * Math.exp(options.sigma * normal));
    }

    private static int tokensIn(String text) {
        return (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    /** FNV-1a over UTF-16 code units. The router hashes prefixes in the same way, so that the hashes match. */
    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}
