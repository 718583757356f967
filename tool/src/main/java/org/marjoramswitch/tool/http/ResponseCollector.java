package org.marjoramswitch.tool.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Buffers a call's response and completes a future with it when the call ends. */
final class ResponseCollector implements CallListener {
    private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();

    CompletableFuture<HttpResponse> response() {
        return response;
    }

    @Override
    public void onHead(int newStatus, Map<String, String> newHeaders) {
        status = newStatus;
        headers = newHeaders;
    }

    @Override
    public void onBytes(byte[] bytes) {
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd(CallEnd end) {
        response.complete(new HttpResponse(end, status, headers, body.toString(StandardCharsets.UTF_8)));
    }
}
