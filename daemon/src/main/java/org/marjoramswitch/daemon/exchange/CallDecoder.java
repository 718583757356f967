package org.marjoramswitch.daemon.exchange;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PromptPart;

/** Decodes the platform's request headers and creates the headers for the target. */
public interface CallDecoder {
    /** @param headers keyed by lower-case name */
    CallMetadata read(Map<String, String> headers);

    /** The lower-case names of the headers that {@link #read} needs to tell a request's tokens, timeout and routing id. */
    default Set<String> sizeHeaders() {
        return Set.of();
    }

    /**
     * Returns the headers to forward to the target.
     *
     * @param headers the caller's headers without hop-by-hop headers
     * @param customer null on a route that needs no API key
     */
    Map<String, String> forTarget(Map<String, String> headers, @Nullable CustomerId customer);

    /** Formats the value of the Retry-After header. */
    String retryAfter(long retryAfterMs);

    /**
     * Properties of a request that the caller declares in headers.
     *
     * @param requestId identifies the request in logs and at the target; empty if not given
     * @param timeoutMs how long the caller waits for the response; 0 if not given
     * @param prompt the prompt's parts in order
     * @param maxOutputTokens limit of the response's tokens; 0 if not given
     * @param expectedOutputTokens the caller's estimate; 0 if not given
     * @param lastEventId the last event of a stream that the caller received; empty if it received none
     * @param resumedRequestId the request whose response began the stream that is resumed; empty if not given
     */
    record CallMetadata(
            String requestId,
            long timeoutMs,
            List<PromptPart> prompt,
            long maxOutputTokens,
            long expectedOutputTokens,
            String lastEventId,
            String resumedRequestId) {
        /** The id that selects the pool of a split route: a stream is continued by the pool that began it. */
        public String routingId() {
            return resumedRequestId.isEmpty() ? requestId : resumedRequestId;
        }

        /** Whether the caller resumes a stream of which it has received a part. */
        public boolean resumes() {
            return !lastEventId.isEmpty() || !resumedRequestId.isEmpty();
        }
    }
}
