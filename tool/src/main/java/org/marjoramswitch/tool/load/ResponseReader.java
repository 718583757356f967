package org.marjoramswitch.tool.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.tool.http.CallEnd;
import org.marjoramswitch.tool.http.CallListener;

/**
 * Reads the response to one attempt and classifies it.
 *
 * <p>A model's response is complete if it has a finish reason and, when streamed, the {@code [DONE]} event; a service's
 * response is complete at the end of its framing. The {@link ResponseCheck} decides whether it belongs to this request.
 *
 * <p>Thread-safety: confined to the connection's I/O thread, except for {@link #lastReceivedNs}.
 */
final class ResponseReader implements CallListener {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MILLIS_PER_SECOND = 1_000;

    private final RequestPlan plan;
    private final ResponseCheck responseCheck;
    private final long startedNs;
    private final LongSupplier clockNs;
    private final LongConsumer tokenGapsNs;
    private final Consumer<AttemptResult> results;
    private final EventStreamReader events = new EventStreamReader(this::onEvent);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final StringBuilder content = new StringBuilder();
    private volatile long lastReceivedNs;
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean eventStream;
    private boolean finished;
    private boolean endMark;
    private @Nullable JsonNode streamError;
    private long firstTokenNs = -1;
    private long lastTokenNs;

    ResponseReader(
            RequestPlan plan,
            ResponseCheck responseCheck,
            long startedNs,
            LongSupplier clockNs,
            LongConsumer tokenGapsNs,
            Consumer<AttemptResult> results) {
        this.plan = plan;
        this.responseCheck = responseCheck;
        this.startedNs = startedNs;
        this.lastReceivedNs = startedNs;
        this.clockNs = clockNs;
        this.tokenGapsNs = tokenGapsNs;
        this.results = results;
    }

    /** Time of the last received byte, or the start of the attempt if there was none. Safe from any thread. */
    long lastReceivedNs() {
        return lastReceivedNs;
    }

    @Override
    public void onHead(int newStatus, Map<String, String> newHeaders) {
        lastReceivedNs = clockNs.getAsLong();
        status = newStatus;
        headers = newHeaders;
        eventStream = newHeaders.getOrDefault("content-type", "").startsWith("text/event-stream");
    }

    @Override
    public void onBytes(byte[] bytes) {
        lastReceivedNs = clockNs.getAsLong();
        if (eventStream) {
            events.append(bytes);
            return;
        }
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd(CallEnd end) {
        Classification classification = classify(end);
        results.accept(new AttemptResult(
                classification.verdict(),
                end,
                status,
                retryAfterMs(),
                firstTokenNs,
                clockNs.getAsLong(),
                classification.detail()));
    }

    private void onEvent(String payload) {
        if (payload.equals("[DONE]")) {
            endMark = true;
            return;
        }
        JsonNode event = parse(payload);
        if (event == null || event.has("error") || event.has("run")) {
            streamError = event == null ? JSON.createObjectNode() : event;
            return;
        }
        JsonNode choice = event.path("choices").path(0);
        finished |= !choice.path("finish_reason").isMissingNode()
                && !choice.path("finish_reason").isNull();
        String text = choice.path("delta").path("content").asText("");
        if (!text.isEmpty()) {
            content.append(text);
            onToken();
        }
    }

    private void onToken() {
        long nowNs = lastReceivedNs;
        if (firstTokenNs < 0) {
            firstTokenNs = nowNs - startedNs;
        } else {
            tokenGapsNs.accept(nowNs - lastTokenNs);
        }
        lastTokenNs = nowNs;
    }

    private Classification classify(CallEnd end) {
        return switch (end) {
            case NOT_CONNECTED -> Classification.of(AttemptVerdict.NOT_RUN, "not connected");
            case CANCELLED -> Classification.of(AttemptVerdict.SILENT, "silent");
            case BROKEN -> Classification.of(AttemptVerdict.BROKEN, "connection broke, status " + status);
            case COMPLETE -> classifyComplete();
        };
    }

    private Classification classifyComplete() {
        if (status != 200) {
            return classifyProblem(parse(body.toString(StandardCharsets.UTF_8)));
        }
        if (streamError != null) {
            return Classification.of(
                    AttemptVerdict.MARKED, streamError.path("type").asText("error event"));
        }
        if (plan.streaming() != eventStream) {
            return Classification.of(AttemptVerdict.TRUNCATED, "wrong content type");
        }
        return eventStream ? classifyContent(finished && endMark, content.toString()) : classifyBody();
    }

    private Classification classifyBody() {
        String text = body.toString(StandardCharsets.UTF_8);
        if (plan.kind() == RequestPlan.Kind.SERVICE) {
            return classifyContent(true, text);
        }
        JsonNode response = parse(text);
        if (response == null) {
            return Classification.of(AttemptVerdict.TRUNCATED, "body is not JSON");
        }
        JsonNode choice = response.path("choices").path(0);
        boolean complete = choice.path("finish_reason").isTextual();
        return classifyContent(complete, choice.path("message").path("content").asText(""));
    }

    private Classification classifyContent(boolean complete, String text) {
        if (!complete) {
            return Classification.of(AttemptVerdict.TRUNCATED, "no end mark after " + text.length() + " characters");
        }
        return switch (responseCheck.check(plan, text)) {
            case MATCH -> Classification.of(AttemptVerdict.ANSWERED, "");
            case PREFIX -> Classification.of(AttemptVerdict.TRUNCATED, "an end mark after a part of the answer");
            case MISMATCH -> Classification.of(AttemptVerdict.CROSSED, "another request's answer");
        };
    }

    private Classification classifyProblem(@Nullable JsonNode problem) {
        if (problem == null) {
            return Classification.of(AttemptVerdict.UNKNOWN, "status " + status + " without a problem body");
        }
        String type = problem.path("type").asText("status " + status);
        boolean notRun = problem.path("run").asText().equals("not-run");
        return Classification.of(notRun ? AttemptVerdict.NOT_RUN : AttemptVerdict.UNKNOWN, type);
    }

    private long retryAfterMs() {
        String value = headers.get("retry-after");
        if (value == null) {
            return -1;
        }
        try {
            return Long.parseLong(value.strip()) * MILLIS_PER_SECOND;
        } catch (NumberFormatException notSeconds) {
            return -1;
        }
    }

    private static @Nullable JsonNode parse(String text) {
        try {
            JsonNode node = JSON.readTree(text);
            return node.isMissingNode() ? null : node;
        } catch (JsonProcessingException malformed) {
            return null;
        }
    }

    private record Classification(AttemptVerdict verdict, String detail) {
        static Classification of(AttemptVerdict verdict, String detail) {
            return new Classification(verdict, detail);
        }
    }
}
