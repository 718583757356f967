package org.marjoramswitch.daemon.caller;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.marjoramswitch.kernel.model.CustomerId;

/** Selects the headers that the router forwards. */
final class ForwardedHeaders {
    /** Identifies the customer to targets. */
    static final String CUSTOMER = "x-customer";

    /** Hop-by-hop headers (RFC 9110, section 7.6.1) and message framing. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length");

    /** Headers addressed to the router. Above all, a customer's API key must not reach a target. */
    private static final Set<String> ROUTER_HEADERS =
            Set.of("authorization", "host", "expect", "request-key", "repeatable", "priority");

    private static final Set<String> SERVER_HEADERS = Set.of("date", "server");

    private ForwardedHeaders() {}

    /** Overwrites a customer header from the caller with the customer that the API key identifies. */
    static Map<String, String> toTarget(HeaderMap headers, CustomerId customer) {
        Map<String, String> forwarded = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (HeaderValues values : headers) {
            String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !ROUTER_HEADERS.contains(name)) {
                forwarded.put(name, String.join(", ", values));
            }
        }
        forwarded.put(CUSTOMER, customer.name());
        return forwarded;
    }

    /**
     * Whether a header is hop-by-hop, by definition or because the Connection header lists it.
     *
     * @param name in lower case
     */
    static boolean isHopByHop(String name, HeaderMap head) {
        if (HOP_BY_HOP.contains(name)) {
            return true;
        }
        HeaderValues connectionHeader = head.get(Headers.CONNECTION);
        return connectionHeader != null
                && connectionHeader.stream()
                        .flatMap(value -> Stream.of(value.split(",")))
                        .anyMatch(token -> token.trim().equalsIgnoreCase(name));
    }

    static Map<String, String> toCaller(Map<String, String> headers) {
        Map<String, String> forwarded = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach((name, value) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(lower) && !SERVER_HEADERS.contains(lower)) {
                forwarded.put(name, value);
            }
        });
        return forwarded;
    }
}
