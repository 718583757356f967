package org.marjoramswitch.daemon.exchange;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PromptPart;

/** Reads what a caller says of its request in headers of the platform's own, and writes the ones for the target. */
public interface CallDecoder {
    /** @param headers with names in lower case */
    CallMetadata read(Map<String, String> headers);

    /**
     * The headers that go on with the call.
     *
     * @param headers the caller's, without those of its connection
     * @param customer null on a route that needs no key
     */
    Map<String, String> forTarget(Map<String, String> headers, @Nullable CustomerId customer);

    /** The value of Retry-After. */
    String retryAfter(long retryAfterMs);

    /**
     * What a caller says of its request.
     *
     * @param requestId names the request in logs and at the target, empty where the caller gave none
     * @param timeoutMs how long the caller will wait, 0 where it does not say
     * @param prompt the prompt's parts in order
     * @param maxOutputTokens the most that the answer may have, 0 where it is not said
     * @param expectedOutputTokens the caller's guess, 0 where there is none
     */
    record CallMetadata(
            String requestId,
            long timeoutMs,
            List<PromptPart> prompt,
            long maxOutputTokens,
            long expectedOutputTokens) {}
}
