package org.marjoramswitch.kernel.settings;

/**
 * The memory of a model engine.
 *
 * @param tokens how many tokens running requests and kept prompt parts may take; 0 where not known
 * @param fetchMsPerToken what the transfer of one kept token from another engine takes; 0 where engines do not fetch
 */
public record EngineMemory(long tokens, double fetchMsPerToken) {
    public static final EngineMemory UNKNOWN = new EngineMemory(0, 0);

    /** Engines that read for themselves whatever they do not keep. */
    public static EngineMemory of(long tokens) {
        return new EngineMemory(tokens, 0);
    }

    /** Engines that fetch kept prompt parts from one another. */
    public static EngineMemory fetching(long tokens, double fetchMsPerToken) {
        return new EngineMemory(tokens, fetchMsPerToken);
    }

    public boolean fetches() {
        return fetchMsPerToken > 0;
    }
}
