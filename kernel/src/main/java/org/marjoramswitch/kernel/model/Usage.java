package org.marjoramswitch.kernel.model;

/**
 * The tokens and time that an attempt used, as reported by the target or counted by the entry.
 *
 * @param targetTimeMs time from sending the request to the last byte of the response
 */
public record Usage(long promptTokens, long cachedPromptTokens, long outputTokens, long targetTimeMs) {
    public static final Usage NONE = new Usage(0, 0, 0, 0);

    public static Usage of(long promptTokens, long cachedPromptTokens, long outputTokens, long targetTimeMs) {
        return new Usage(promptTokens, cachedPromptTokens, outputTokens, targetTimeMs);
    }
}
