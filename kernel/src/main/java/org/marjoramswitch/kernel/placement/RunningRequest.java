package org.marjoramswitch.kernel.placement;

import java.util.List;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * A request that an arbiter placed at a target and that has not ended.
 *
 * @param targetStartedAtMs start time of the target at which the request was placed
 * @param prompt empty if another arbiter placed the request
 * @param prefillTokens prompt tokens that the target had to prefill, a fetched token counted as a fraction of one
 * @param tokensAhead tokens that the target had to prefill before the first byte, including the request's own
 */
record RunningRequest(
        CustomerId customer,
        TargetId target,
        long targetStartedAtMs,
        List<PromptPart> prompt,
        long promptTokens,
        long outputTokens,
        long prefillTokens,
        double tokensAhead,
        long startedAtMs,
        boolean responseStarted) {
    /**
     * Creates a request that this arbiter places at a target.
     *
     * @param prefillTokens prompt tokens that the target counts as pending
     */
    static RunningRequest placed(
            WaitingRequest request, TargetChoice.Chosen chosen, long prefillTokens, double tokensAhead, long nowMs) {
        return new RunningRequest(
                request.customer(),
                chosen.target().settings().id(),
                chosen.target().settings().startedAtMs(),
                request.prompt(),
                request.promptTokens(),
                request.outputTokens(),
                prefillTokens,
                tokensAhead,
                nowMs,
                false);
    }

    /** Creates a request that another arbiter placed at the target. */
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

    RunningRequest withResponseStarted() {
        return new RunningRequest(
                customer,
                target,
                targetStartedAtMs,
                prompt,
                promptTokens,
                outputTokens,
                prefillTokens,
                tokensAhead,
                startedAtMs,
                true);
    }
}
