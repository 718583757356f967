package org.marjoramswitch.daemon.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;

/** Serializes a failure as a problem body (RFC 9457). */
final class Problem {
    static final String CONTENT_TYPE = "application/problem+json";
    private static final String URN_PREFIX = "urn:marjoramswitch:error:";
    private static final long SECOND_MS = 1_000;

    private Problem() {}

    static byte[] body(Failure failure, long requestId) {
        return Json.bytes(node(failure, requestId));
    }

    static ObjectNode node(Failure failure, long requestId) {
        ObjectNode node = Json.object();
        node.put("type", urn(failure.type()));
        node.put("title", title(failure.type()));
        node.put("status", failure.type().httpStatus());
        node.put("detail", failure.message());
        node.put("run", failure.run().wireName());
        if (failure.retryAfterMs() > 0) {
            node.put("retryAfterMs", failure.retryAfterMs());
        }
        if (requestId != 0) {
            node.put("requestId", requestId);
        }
        return node;
    }

    /** The value of Retry-After; 0 if the failure gives none. Rounded up, so that no retry comes too early. */
    static long retryAfterSeconds(Failure failure) {
        return (failure.retryAfterMs() + SECOND_MS - 1) / SECOND_MS;
    }

    static String urn(ErrorType type) {
        return URN_PREFIX + type.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String title(ErrorType type) {
        String words = type.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return Character.toUpperCase(words.charAt(0)) + words.substring(1);
    }
}
