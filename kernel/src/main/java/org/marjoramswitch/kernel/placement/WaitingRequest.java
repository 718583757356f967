package org.marjoramswitch.kernel.placement;

import java.util.List;
import java.util.Set;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * A request that waits at an arbiter.
 *
 * @param ask the entry's name for it
 * @param arrival its place in the order of arrival
 * @param objectiveAtMs when its first byte is late
 * @param endAtMs when its entry refuses it by itself
 * @param size what its prompt leaves of its objective
 * @param readingTokens what the engine that keeps most of its prompt would have to read
 */
record WaitingRequest(
        InstanceId entry,
        long ask,
        long arrival,
        CustomerId customer,
        int urgency,
        List<PromptPart> prompt,
        long promptTokens,
        long outputTokens,
        long arrivedAtMs,
        long objectiveAtMs,
        long endAtMs,
        Set<TargetId> excluded,
        SizeClass size,
        long readingTokens) {
    /** A generated token takes an engine about twice the time of a read one; customers are charged by the same measure. */
    private static final long OUTPUT_TOKEN_COST = 2;

    /** A question as it came; its size is not assessed yet. */
    static WaitingRequest of(InstanceId entry, PeerMessage.Place asked, long arrival, long nowMs) {
        return new WaitingRequest(
                entry,
                asked.ask(),
                arrival,
                asked.customer(),
                asked.urgency(),
                asked.parts(),
                asked.parts().stream().mapToLong(PromptPart::tokens).sum(),
                asked.outputTokens(),
                nowMs,
                nowMs + asked.objectiveLeftMs(),
                nowMs + asked.waitLeftMs(),
                Set.copyOf(asked.excluded()),
                SizeClass.NOT_COUNTED,
                0);
    }

    WaitingRequest assessed(SizeClass newSize, long newReadingTokens) {
        return new WaitingRequest(
                entry,
                ask,
                arrival,
                customer,
                urgency,
                prompt,
                promptTokens,
                outputTokens,
                arrivedAtMs,
                objectiveAtMs,
                endAtMs,
                excluded,
                newSize,
                newReadingTokens);
    }

    /** What its customer is charged. */
    long costTokens() {
        return cost(promptTokens, outputTokens);
    }

    /** The memory that it takes at an engine. */
    long memoryTokens() {
        return promptTokens + outputTokens;
    }

    static long cost(long promptTokens, long outputTokens) {
        return Math.max(1, promptTokens + OUTPUT_TOKEN_COST * outputTokens);
    }
}
