package org.marjoramswitch.testkit.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.marjoramswitch.testkit.engine.Generation.State;
import org.marjoramswitch.testkit.engine.Generation.TokenListener;
import org.marjoramswitch.testkit.http.ResponseStream;

/** Writes the response of a generation to one caller, either as server-sent events or as one JSON body at the end. */
final class ChatResponse implements TokenListener {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final ResponseStream stream;
    private final String responseId;
    private final int flushSteps;
    private final int breakAfterTokens;
    private int sentTokens;
    private boolean truncated;

    private ChatResponse(
            ResponseStream stream, String responseId, int fromToken, int flushSteps, int breakAfterTokens) {
        this.stream = stream;
        this.responseId = responseId;
        this.sentTokens = fromToken;
        this.flushSteps = flushSteps;
        this.breakAfterTokens = breakAfterTokens;
    }

    static ChatResponse complete(ResponseStream stream, String responseId, int fromToken, int flushSteps) {
        return new ChatResponse(stream, responseId, fromToken, flushSteps, Integer.MAX_VALUE);
    }

    /** Creates a response that closes the connection after {@code breakAfterTokens} tokens. */
    static ChatResponse truncated(ResponseStream stream, String responseId, int flushSteps, int breakAfterTokens) {
        return new ChatResponse(stream, responseId, 0, flushSteps, breakAfterTokens);
    }

    @Override
    public void onToken(Generation generation) {
        int tokens = generation.tokens();
        boolean due = tokens == 1 || tokens - sentTokens >= flushSteps || tokens >= breakAfterTokens;
        if (truncated || !due || !generation.request().streaming()) {
            return;
        }
        sendTokens(generation, tokens);
        if (tokens >= breakAfterTokens) {
            truncated = true;
            stream.closeConnection();
        }
    }

    @Override
    public void onEnd(Generation generation) {
        if (truncated) {
            return;
        }
        if (generation.state() == State.CANCELLED) {
            stream.closeConnection();
            return;
        }
        if (generation.request().streaming()) {
            endStream(generation);
        } else {
            sendComplete(generation);
        }
    }

    private void endStream(Generation generation) {
        sendTokens(generation, generation.tokens());
        if (breakAfterTokens < Integer.MAX_VALUE) {
            stream.closeConnection();
            return;
        }
        ObjectNode last = JSON.createObjectNode().put("id", responseId).put("object", "chat.completion.chunk");
        last.putArray("choices");
        last.set("usage", usage(generation));
        stream.append(("data: " + last + "\n\n").getBytes(StandardCharsets.UTF_8));
        stream.append(DONE);
        stream.end();
    }

    private void sendTokens(Generation generation, int upTo) {
        ChatRequest request = generation.request();
        StringBuilder chunks = new StringBuilder();
        for (int index = sentTokens; index < upTo; index++) {
            boolean last = index == request.outputTokens() - 1;
            chunks.append("data: {\"id\":\"")
                    .append(responseId)
                    .append("\",\"object\":\"chat.completion.chunk\",\"model\":\"")
                    .append(request.model())
                    .append("\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"")
                    .append(request.token(index))
                    .append("\"},\"finish_reason\":")
                    .append(last ? "\"stop\"" : "null")
                    .append("}]}\n\n");
        }
        sentTokens = upTo;
        stream.append(chunks.toString().getBytes(StandardCharsets.UTF_8));
    }

    private void sendComplete(Generation generation) {
        ChatRequest request = generation.request();
        ObjectNode json = JSON.createObjectNode()
                .put("id", responseId)
                .put("object", "chat.completion")
                .put("model", request.model());
        ObjectNode choice = json.putArray("choices").addObject().put("index", 0).put("finish_reason", "stop");
        choice.putObject("message")
                .put("role", "assistant")
                .put("content", request.text(sentTokens, generation.tokens()));
        json.set("usage", usage(generation));
        byte[] body = json.toString().getBytes(StandardCharsets.UTF_8);
        if (breakAfterTokens == Integer.MAX_VALUE) {
            stream.append(body);
            stream.end();
            return;
        }
        stream.setContentLength(body.length);
        stream.append(java.util.Arrays.copyOf(body, body.length / 2));
        stream.closeConnection();
    }

    private static ObjectNode usage(Generation generation) {
        int promptTokens = generation.request().promptTokens();
        ObjectNode usage = JSON.createObjectNode()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", generation.tokens())
                .put("total_tokens", promptTokens + generation.tokens());
        usage.putObject("prompt_tokens_details").put("cached_tokens", generation.cachedTokens());
        return usage;
    }
}
