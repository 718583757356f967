package org.marjoramswitch.kernel.model;

import java.util.List;

/**
 * The properties of a request by which an arbiter selects its target and its start time. Requests without a placement
 * spec are granted by counts of waiting requests, see {@link org.marjoramswitch.kernel.arbiter.Arbiter}.
 *
 * @param prompt the prompt's parts in order, empty for a call to a plain service
 * @param outputTokens expected output tokens
 * @param objectiveAtMs the latency objective: the time by which the first byte of the response should arrive
 * @param attempts maximum number of targets that may execute the request
 * @param resumable whether another target can continue a partial response
 */
public record PlacementSpec(
        List<PromptPart> prompt, long outputTokens, long objectiveAtMs, int attempts, boolean resumable) {
    /** Creates the spec of a call to a plain service. */
    public static PlacementSpec plain(long objectiveAtMs, int attempts) {
        return new PlacementSpec(List.of(), 0, objectiveAtMs, attempts, false);
    }

    public long promptTokens() {
        return prompt.stream().mapToLong(PromptPart::tokens).sum();
    }
}
