package org.marjoramswitch.daemon.caller;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.RequestSpec;

/**
 * Request properties that a caller declares in headers.
 *
 * @param urgency from the Priority header (RFC 9218); 3 if it is missing or cannot be parsed
 * @param repeatable null if not given
 */
record CallHeaders(
        int urgency,
        @Nullable Boolean repeatable,
        @Nullable String requestKey,
        @Nullable String idempotencyKey) {
    static final HttpString PRIORITY = HttpString.tryFromString("Priority");
    static final HttpString REPEATABLE = HttpString.tryFromString("Repeatable");
    static final HttpString REQUEST_KEY = HttpString.tryFromString("Request-Key");
    static final HttpString IDEMPOTENCY_KEY = HttpString.tryFromString("Idempotency-Key");

    static CallHeaders read(HeaderMap headers) throws MalformedCallException {
        return new CallHeaders(
                urgency(headers.getFirst(PRIORITY)),
                repeatable(headers.getFirst(REPEATABLE)),
                headers.getFirst(REQUEST_KEY),
                headers.getFirst(IDEMPOTENCY_KEY));
    }

    /** Never fails, because RFC 9218 requires a receiver to ignore what it cannot parse. */
    private static int urgency(@Nullable String priority) {
        if (priority == null) {
            return RequestSpec.DEFAULT_URGENCY;
        }
        for (String member : priority.split(",")) {
            String text = member.trim();
            if (text.length() >= 3 && text.startsWith("u=") && (text.length() == 3 || text.charAt(3) == ';')) {
                int urgency = text.charAt(2) - '0';
                return urgency >= 0 && urgency <= RequestSpec.LOWEST_URGENCY ? urgency : RequestSpec.DEFAULT_URGENCY;
            }
        }
        return RequestSpec.DEFAULT_URGENCY;
    }

    private static @Nullable Boolean repeatable(@Nullable String value) throws MalformedCallException {
        if (value == null) {
            return null;
        }
        return switch (value.trim().toLowerCase(Locale.ROOT)) {
            case "yes" -> Boolean.TRUE;
            case "no" -> Boolean.FALSE;
            default -> throw new MalformedCallException("header Repeatable must be yes or no");
        };
    }
}
