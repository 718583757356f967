package org.marjoramswitch.testsuite.path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.marjoramswitch.daemon.settings.HostPort;

/** Client of one customer, connected to one instance. */
final class TestCaller {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final HostPort address;
    private final String apiKey;

    private TestCaller(HostPort address, String apiKey) {
        this.address = address;
        this.apiKey = apiKey;
    }

    static TestCaller of(HostPort address, String apiKey) {
        return new TestCaller(address, apiKey);
    }

    /** A call's result as the caller sees it; {@code broken} if the connection ended early. */
    record Response(int status, String contentType, String body, long retryAfterSeconds, boolean broken) {
        boolean isSuccessful() {
            return !broken && status == 200;
        }

        /** Returns true if the response is truncated, so that the end mark is missing. */
        boolean isTruncated() {
            return status == 200 && !body.contains("[DONE]");
        }

        /** The problem body's {@code run} member; empty if there is none. */
        String run() {
            try {
                return contentType.startsWith("application/problem+json")
                        ? JSON.readTree(body).path("run").asText()
                        : "";
            } catch (IOException malformed) {
                throw new IllegalStateException(body, malformed);
            }
        }

        /** Text of a chat response, streamed or not. */
        String text() {
            StringBuilder text = new StringBuilder();
            for (String line : body.split("\n")) {
                String json = line.startsWith("data:") ? line.substring(5).trim() : line.trim();
                if (json.startsWith("{")) {
                    appendText(json, text);
                }
            }
            return text.toString();
        }

        private static void appendText(String json, StringBuilder text) {
            try {
                JsonNode choice = JSON.readTree(json).path("choices").path(0);
                text.append(choice.path("delta").path("content").asText());
                text.append(choice.path("message").path("content").asText());
            } catch (IOException malformed) {
                throw new IllegalStateException(json, malformed);
            }
        }
    }

    /** Body of a chat request that requests exactly this many output tokens. */
    static byte[] chatBody(String prompt, int outputTokens, boolean stream) {
        ObjectNode body = JSON.createObjectNode();
        body.put("model", TestFleet.MODEL).put("stream", stream).put("x_output_tokens", outputTokens);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    CompletableFuture<Response> chat(byte[] body, String... headers) {
        return send(request("/v1/chat/completions", headers)
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build());
    }

    /** Calls the plain service; {@code callKey} lets it count executions. */
    CompletableFuture<Response> service(String callKey, String... headers) {
        return send(request("/services/" + TestFleet.SERVICE + "/notes", headers)
                .header("X-Call-Key", callKey)
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build());
    }

    JsonNode address() {
        Response response = send(request("/v1/address").GET().build()).join();
        try {
            return JSON.readTree(response.body());
        } catch (IOException malformed) {
            throw new IllegalStateException(response.body(), malformed);
        }
    }

    private HttpRequest.Builder request(String path, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + apiKey);
        return headers.length == 0 ? builder : builder.headers(headers);
    }

    /** Sends a request and keeps the received part of a truncated response. */
    private static CompletableFuture<Response> send(HttpRequest request) {
        ResponseRecorder recorder = new ResponseRecorder();
        return CLIENT.sendAsync(request, recorder::onHead).handle((response, fault) -> recorder.response(fault));
    }

    private static final class ResponseRecorder {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private HttpResponse.ResponseInfo head;

        private synchronized HttpResponse.BodySubscriber<Void> onHead(HttpResponse.ResponseInfo info) {
            head = info;
            return HttpResponse.BodySubscribers.ofByteArrayConsumer(part -> part.ifPresent(this::add));
        }

        private synchronized void add(byte[] part) {
            bytes.writeBytes(part);
        }

        private synchronized Response response(Throwable fault) {
            if (head == null) {
                return new Response(0, "", String.valueOf(fault), -1, true);
            }
            return new Response(
                    head.statusCode(),
                    head.headers().firstValue("content-type").orElse(""),
                    bytes.toString(StandardCharsets.UTF_8),
                    head.headers().firstValueAsLong("retry-after").orElse(-1),
                    fault != null);
        }
    }
}
