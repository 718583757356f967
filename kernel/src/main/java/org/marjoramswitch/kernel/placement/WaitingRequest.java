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
 * @param placementId id chosen by the entry instance
 * @param arrival position in the order of arrival
 * @param objectiveAtMs when its first byte is late
 * @param deadlineMs the caller's deadline
 * @param waitsUntilMs when its entry instance rejects it, because its caller gives up
 * @param size class by the part of the objective that remains after its prefill
 * @param softwareVersion the only version that can serve the request, which continues a stream; empty if any will do
 * @param prefillTokens tokens that the engine with most of the prompt cached would have to prefill
 */
record WaitingRequest(
        InstanceId entry,
        long placementId,
        long arrival,
        CustomerId customer,
        int urgency,
        List<PromptPart> prompt,
        long promptTokens,
        long outputTokens,
        long arrivedAtMs,
        long objectiveAtMs,
        long deadlineMs,
        long waitsUntilMs,
        Set<TargetId> excluded,
        String softwareVersion,
        SizeClass size,
        long prefillTokens) {
    /**
     * Generating a token takes an engine about twice as long as prefilling one; customers are charged in the same
     * ratio.
     */
    private static final long OUTPUT_TOKEN_COST = 2;

    /** Creates a request from its message; {@link #withSize} sets its size. */
    static WaitingRequest of(InstanceId entry, PeerMessage.Place message, long arrival, long nowMs) {
        return new WaitingRequest(
                entry,
                message.placementId(),
                arrival,
                message.customer(),
                message.urgency(),
                message.parts(),
                message.parts().stream().mapToLong(PromptPart::tokens).sum(),
                message.outputTokens(),
                nowMs,
                nowMs + message.objectiveLeftMs(),
                nowMs + message.deadlineLeftMs(),
                nowMs + message.waitLeftMs(),
                Set.copyOf(message.excluded()),
                message.softwareVersion(),
                SizeClass.NOT_COUNTED,
                0);
    }

    WaitingRequest withSize(SizeClass newSize, long newPrefillTokens) {
        return new WaitingRequest(
                entry,
                placementId,
                arrival,
                customer,
                urgency,
                prompt,
                promptTokens,
                outputTokens,
                arrivedAtMs,
                objectiveAtMs,
                deadlineMs,
                waitsUntilMs,
                excluded,
                softwareVersion,
                newSize,
                newPrefillTokens);
    }

    /** Whether the request continues a stream, which only targets of one software version can do. */
    boolean continuesStream() {
        return !softwareVersion.isEmpty();
    }

    /** Whether the target's software version can serve the request. */
    boolean isServedBy(TargetLoad target) {
        return softwareVersion.isEmpty()
                || softwareVersion.equals(target.settings().softwareVersion());
    }

    /** Tokens that the customer is charged. */
    long costTokens() {
        return cost(promptTokens, outputTokens);
    }

    /** Tokens of engine memory that the request occupies. */
    long memoryTokens() {
        return promptTokens + outputTokens;
    }

    static long cost(long promptTokens, long outputTokens) {
        return Math.max(1, promptTokens + OUTPUT_TOKEN_COST * outputTokens);
    }
}
