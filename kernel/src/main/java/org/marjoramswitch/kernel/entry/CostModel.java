package org.marjoramswitch.kernel.entry;

import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetKind;

/** Computes the cost of attempts in weighted tokens; a plain service costs one token per millisecond of target time. */
final class CostModel {
    private CostModel() {}

    /** The cost of an ended attempt. */
    static long settled(PoolSettings pool, Usage usage) {
        if (pool.kind() == TargetKind.PLAIN_SERVICE) {
            return Math.max(1, usage.targetTimeMs());
        }
        long computedPrompt = Math.max(0, usage.promptTokens() - usage.cachedPromptTokens());
        return Math.round(pool.promptTokenCost() * computedPrompt + pool.outputTokenCost() * usage.outputTokens());
    }

    /**
     * The cost of a running attempt. The cached share of the prompt is unknown until the end, so the prompt counts in
     * full.
     */
    static long running(PoolSettings pool, RequestSpec spec, long outputTokens) {
        if (pool.kind() == TargetKind.PLAIN_SERVICE) {
            return 0;
        }
        return Math.round(pool.promptTokenCost() * spec.promptTokens() + pool.outputTokenCost() * outputTokens);
    }
}
