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

/** Chooses the headers that pass the router. */
final class ForwardedHeaders {
    /** Names the customer towards targets. */
    static final String CUSTOMER = "x-customer";

    /** Headers of one connection (RFC 9110, section 7.6.1) and of its framing. */
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

    /** Headers that speak to the router; a customer's API key above all is no target's business. */
    private static final Set<String> FOR_THE_ROUTER =
            Set.of("authorization", "host", "expect", "request-key", "repeatable", "priority");

    private static final Set<String> OF_THE_SERVER = Set.of("date", "server");

    private ForwardedHeaders() {}

    /** The caller's own word on who it is does not pass: the customer is the one that its API key names. */
    static Map<String, String> toTarget(HeaderMap headers, CustomerId customer) {
        Map<String, String> forwarded = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (HeaderValues values : headers) {
            String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !FOR_THE_ROUTER.contains(name)) {
                forwarded.put(name, String.join(", ", values));
            }
        }
        forwarded.put(CUSTOMER, customer.name());
        return forwarded;
    }

    /** Whether a header, by its lower-case name, is of the connection alone: always, or as the caller's head says. */
    static boolean isHopByHop(String name, HeaderMap head) {
        if (HOP_BY_HOP.contains(name)) {
            return true;
        }
        HeaderValues named = head.get(Headers.CONNECTION);
        return named != null
                && named.stream()
                        .flatMap(value -> Stream.of(value.split(",")))
                        .anyMatch(token -> token.trim().equalsIgnoreCase(name));
    }

    static Map<String, String> toCaller(Map<String, String> headers) {
        Map<String, String> forwarded = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach((name, value) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(lower) && !OF_THE_SERVER.contains(lower)) {
                forwarded.put(name, value);
            }
        });
        return forwarded;
    }
}
