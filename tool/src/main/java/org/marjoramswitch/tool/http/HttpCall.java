package org.marjoramswitch.tool.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** An HTTP request to send; {@code path} includes the query string. */
@SuppressWarnings("ArrayRecordComponent") // calls are never compared, and the body is not copied
public record HttpCall(String method, String path, Map<String, String> headers, byte[] body) {
    private static final byte[] NO_BODY = new byte[0];

    public static HttpCall get(String path, Map<String, String> headers) {
        return new HttpCall("GET", path, Map.copyOf(headers), NO_BODY);
    }

    public static HttpCall post(String path, Map<String, String> headers, String body) {
        return new HttpCall("POST", path, Map.copyOf(headers), body.getBytes(StandardCharsets.UTF_8));
    }
}
