package org.marjoramswitch.kernel.placement;

import java.util.Collection;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Learns how much memory the requests of a pool need at an engine, for the targets of one cell.
 *
 * <p>Memory is scarce at an engine if the mean memory of a request, times the slots, exceeds the memory. Only there does
 * {@link TargetLoad} count shared prompt parts once and the expected output, and only there does {@link PromptCache}
 * take account of the running requests; elsewhere slots bind first and the sum of all requests is sufficient.
 *
 * <p>The length of a response is learned relative to the length that its caller states. The mean deviation of single
 * responses is added, so that the expectation for few requests is cautious, in the ratio of the error of their sum.
 */
final class EngineMemoryModel {
    /** Requests after which memory counts as scarce; the mean of fewer varies with single large ones. */
    private static final int MIN_REQUESTS = 50;
    /** Weight of the newest request: some hundred requests, less than a second of a large pool. */
    private static final double GAIN = 0.01;
    /** Change of the mean after which it is used, so that a pool at the limit does not change its state with each request. */
    private static final double MIN_CHANGE = 0.1;

    private final boolean enabled;
    private long requests;
    private double meanTokens;
    private double usedMeanTokens;
    private double outputShare = 1;
    private double outputShareError;

    private EngineMemoryModel(boolean enabled) {
        this.enabled = enabled;
    }

    static EngineMemoryModel create(PlacementPolicy policy) {
        return new EngineMemoryModel(policy.has(Mechanism.ENGINE_MEMORY));
    }

    /** Records the memory of a request, its prompt and stated output. */
    void requested(long tokens) {
        requests++;
        meanTokens += Math.max(GAIN, 1.0 / requests) * (tokens - meanTokens);
        boolean changed = Math.abs(meanTokens - usedMeanTokens) > MIN_CHANGE * usedMeanTokens;
        usedMeanTokens = requests >= MIN_REQUESTS && changed ? meanTokens : usedMeanTokens;
    }

    /** Records the length of a complete response. */
    void responded(long statedTokens, long outputTokens) {
        if (statedTokens <= 0) {
            return;
        }
        double share = (double) outputTokens / statedTokens;
        outputShareError += GAIN * (Math.abs(share - outputShare) - outputShareError);
        outputShare += GAIN * (share - outputShare);
    }

    /** The mean memory of a request, without changes of less than a tenth; 0 while too few were observed. */
    long meanTokens() {
        return Math.round(usedMeanTokens);
    }

    /** Whether each of these targets states its memory and a request needs more. */
    boolean isTooLarge(long tokens, Collection<TargetLoad> targets) {
        return enabled
                && !targets.isEmpty()
                && targets.stream()
                        .map(target -> target.settings().memory().tokens())
                        .allMatch(memoryTokens -> memoryTokens > 0 && tokens > memoryTokens);
    }

    /** Whether running requests and cached parts exceed the memory of this engine before its slots are in use. */
    boolean isScarce(TargetSettings target) {
        return enabled
                && target.memory().tokens() > 0
                && target.slots() * usedMeanTokens > target.memory().tokens();
    }

    /** The expected output of several requests with this sum of stated output tokens. */
    double expectedOutputTokens(long statedTokens, int count) {
        return statedTokens * (outputShare + outputShareError / Math.sqrt(Math.max(1, count)));
    }
}
