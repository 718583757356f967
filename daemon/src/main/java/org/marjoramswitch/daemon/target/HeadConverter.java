package org.marjoramswitch.daemon.target;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.Protocols;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.marjoramswitch.daemon.exchange.TargetCall;

/** Converts the heads of requests and responses between the caller's and the target's connection. */
final class HeadConverter {
    private static final String HOST = "host";
    /** Hop-by-hop headers and headers set for each connection; in lower case. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    /** Objects for a header in the client's map and in the converted one. */
    private static final int HEADER_OBJECTS_BYTES = 256;

    private HeadConverter() {}

    static ClientRequest request(AttemptSpec spec, TargetCall call, long nowNs) {
        TargetProtocol protocol = spec.protocol();
        ClientRequest request = new ClientRequest()
                .setMethod(HttpString.tryFromString(call.method()))
                .setPath(call.path())
                .setProtocol(Protocols.HTTP_1_1);
        HeaderMap headers = request.getRequestHeaders();
        call.headers().forEach((name, value) -> {
            String lowerCase = lowerCase(name);
            boolean callerHost = protocol.forwarding() && lowerCase.equals(HOST);
            if (callerHost || !NOT_FORWARDED.contains(lowerCase)) {
                headers.put(HttpString.tryFromString(name), value);
            }
        });
        if (!headers.contains(Headers.HOST)) {
            headers.put(Headers.HOST, spec.address().toString());
        }
        headers.put(HttpString.tryFromString(protocol.idHeader()), spec.requestId());
        protocol.headers()
                .of(spec.target(), call, call.callerWait().untilDeadlineMs(nowNs))
                .forEach((name, value) -> headers.put(HttpString.tryFromString(name), value));
        if (call.body().length > 0 || !Methods.GET.equalToString(call.method())) {
            headers.put(Headers.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }

    /** Estimates the memory of a head that was received. */
    static long heldBytes(HeaderMap received) {
        long bytes = 0;
        for (HeaderValues values : received) {
            for (String value : values) {
                bytes += values.getHeaderName().length() + value.length() + HEADER_OBJECTS_BYTES;
            }
        }
        return bytes;
    }

    /** Returns names in lower case; the values of a repeated header are joined by commas. */
    static Map<String, String> response(HeaderMap received) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (HeaderValues values : received) {
            String name = lowerCase(values.getHeaderName().toString());
            if (name.equals("content-length") || !NOT_FORWARDED.contains(name)) {
                headers.put(name, String.join(", ", values));
            }
        }
        return headers;
    }

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
