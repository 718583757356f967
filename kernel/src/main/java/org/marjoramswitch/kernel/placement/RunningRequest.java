package org.marjoramswitch.kernel.placement;

import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * A request that an arbiter placed at a target and that has not ended.
 *
 * @param unreadTokens what the target had to read of its prompt
 * @param tokensAhead what the target had to read before its first byte, its own tokens included
 */
record RunningRequest(
        CustomerId customer,
        TargetId target,
        long promptTokens,
        long outputTokens,
        long unreadTokens,
        double tokensAhead,
        long startedAtMs,
        boolean answering) {
    long memoryTokens() {
        return promptTokens + outputTokens;
    }

    long costTokens() {
        return WaitingRequest.cost(promptTokens, outputTokens);
    }

    RunningRequest nowAnswering() {
        return new RunningRequest(
                customer, target, promptTokens, outputTokens, unreadTokens, tokensAhead, startedAtMs, true);
    }
}
