package org.marjoramswitch.kernel.placement;

import java.util.List;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * A request that an arbiter placed at a target and that has not ended.
 *
 * @param targetStartedAtMs the start of the target that the request was placed at
 * @param prompt empty where another arbiter placed the request
 * @param readingTokens what the target had to read of its prompt, a fetched token counted as a part of one
 * @param tokensAhead what the target had to read before its first byte, its own tokens included
 */
record RunningRequest(
        CustomerId customer,
        TargetId target,
        long targetStartedAtMs,
        List<PromptPart> prompt,
        long promptTokens,
        long outputTokens,
        long readingTokens,
        double tokensAhead,
        long startedAtMs,
        boolean answering) {
    /** A request that this arbiter places at a target. */
    static RunningRequest placed(WaitingRequest request, TargetChoice.Chosen chosen, double tokensAhead, long nowMs) {
        return new RunningRequest(
                request.customer(),
                chosen.target().settings().id(),
                chosen.target().settings().startedAtMs(),
                request.prompt(),
                request.promptTokens(),
                request.outputTokens(),
                chosen.readingTokens(),
                tokensAhead,
                nowMs,
                false);
    }

    /** A request that another arbiter placed at the target. */
    static RunningRequest takenOver(PeerMessage.HeldPlacement held, TargetLoad target, long nowMs) {
        return new RunningRequest(
                held.customer(),
                held.target(),
                target.settings().startedAtMs(),
                List.of(),
                held.promptTokens(),
                held.outputTokens(),
                held.answering() ? 0 : held.promptTokens(),
                0,
                nowMs,
                held.answering());
    }

    long memoryTokens() {
        return promptTokens + outputTokens;
    }

    long costTokens() {
        return WaitingRequest.cost(promptTokens, outputTokens);
    }

    RunningRequest nowAnswering() {
        return new RunningRequest(
                customer,
                target,
                targetStartedAtMs,
                prompt,
                promptTokens,
                outputTokens,
                readingTokens,
                tokensAhead,
                startedAtMs,
                true);
    }
}
