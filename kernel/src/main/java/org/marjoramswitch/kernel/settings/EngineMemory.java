package org.marjoramswitch.kernel.settings;

/**
 * Memory of a model engine.
 *
 * @param tokens capacity in tokens for running requests and cached prompt parts; 0 if unknown
 * @param fetchMsPerToken transfer time of one cached token from another engine; 0 if engines do not fetch
 */
public record EngineMemory(long tokens, double fetchMsPerToken) {
    public static final EngineMemory UNKNOWN = new EngineMemory(0, 0);

    /** Memory of engines that prefill all prompt tokens that they have not cached. */
    public static EngineMemory of(long tokens) {
        return new EngineMemory(tokens, 0);
    }

    /** Memory of engines that fetch cached prompt parts from one another. */
    public static EngineMemory fetching(long tokens, double fetchMsPerToken) {
        return new EngineMemory(tokens, fetchMsPerToken);
    }

    public boolean fetches() {
        return fetchMsPerToken > 0;
    }
}
