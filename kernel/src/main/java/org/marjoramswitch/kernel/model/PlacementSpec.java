package org.marjoramswitch.kernel.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The properties of a request by which an arbiter selects its target and its start time. Requests without a placement
 * spec are granted by counts of waiting requests, see {@link org.marjoramswitch.kernel.arbiter.Arbiter}.
 *
 * @param prompt the prompt's parts in order, empty for a call to a plain service
 * @param outputTokens expected output tokens
 * @param objectiveAtMs the latency objective: the time by which the first byte of the response should arrive
 * @param attempts maximum number of targets that may execute the request
 * @param resumable whether another target can continue a partial response
 * @param stream the stream of a resumable response; null if later requests cannot refer to it
 */
public record PlacementSpec(
        List<PromptPart> prompt,
        long outputTokens,
        long objectiveAtMs,
        int attempts,
        boolean resumable,
        @Nullable StreamSpec stream) {
    /** Creates the spec of a request whose response later requests cannot refer to. */
    public PlacementSpec(
            List<PromptPart> prompt, long outputTokens, long objectiveAtMs, int attempts, boolean resumable) {
        this(prompt, outputTokens, objectiveAtMs, attempts, resumable, null);
    }

    /** Creates the spec of a call to a plain service. */
    public static PlacementSpec plain(long objectiveAtMs, int attempts) {
        return new PlacementSpec(List.of(), 0, objectiveAtMs, attempts, false);
    }

    /** Returns the spec with this stream. */
    public PlacementSpec withStream(@Nullable StreamSpec newStream) {
        return new PlacementSpec(prompt, outputTokens, objectiveAtMs, attempts, resumable, newStream);
    }

    /** Whether the caller has received a part of the response in response to an earlier request. */
    public boolean resumesStream() {
        return stream != null && stream.resumed();
    }

    public long promptTokens() {
        return prompt.stream().mapToLong(PromptPart::tokens).sum();
    }
}
