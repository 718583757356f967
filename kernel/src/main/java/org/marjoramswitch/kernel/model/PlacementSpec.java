package org.marjoramswitch.kernel.model;

import java.util.List;

/**
 * What an arbiter needs to know of a request to choose its target and its time. A request without it is granted by
 * numbers of waiting requests, see {@link org.marjoramswitch.kernel.arbiter.Arbiter}.
 *
 * @param prompt the prompt's parts in order, empty for a call to a plain service
 * @param outputTokens what is expected of the answer
 * @param objectiveAtMs the time by which the first byte of the answer is worth its full value
 * @param attempts the most targets that may execute the request
 * @param resumable whether another target can go on with an answer that broke off
 */
public record PlacementSpec(
        List<PromptPart> prompt, long outputTokens, long objectiveAtMs, int attempts, boolean resumable) {
    /** A call to a plain service. */
    public static PlacementSpec plain(long objectiveAtMs, int attempts) {
        return new PlacementSpec(List.of(), 0, objectiveAtMs, attempts, false);
    }

    public long promptTokens() {
        return prompt.stream().mapToLong(PromptPart::tokens).sum();
    }
}
