package org.marjoramswitch.testkit.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.marjoramswitch.testkit.engine.Generation.State;
import org.marjoramswitch.testkit.engine.Generation.TokenListener;
import org.marjoramswitch.testkit.http.ResponseStream;

/** Writes one generation's answer to one caller: as server-sent events, or whole at its end. */
final class ChatResponse implements TokenListener {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final ResponseStream stream;
    private final String answerId;
    private final int flushSteps;
    private final int breakAfterTokens;
    private int sentTokens;
    private boolean broken;

    private ChatResponse(ResponseStream stream, String answerId, int fromToken, int flushSteps, int breakAfterTokens) {
        this.stream = stream;
        this.answerId = answerId;
        this.sentTokens = fromToken;
        this.flushSteps = flushSteps;
        this.breakAfterTokens = breakAfterTokens;
    }

    static ChatResponse whole(ResponseStream stream, String answerId, int fromToken, int flushSteps) {
        return new ChatResponse(stream, answerId, fromToken, flushSteps, Integer.MAX_VALUE);
    }

    /** Cuts the connection after so many tokens. */
    static ChatResponse breaking(ResponseStream stream, String answerId, int flushSteps, int breakAfterTokens) {
        return new ChatResponse(stream, answerId, 0, flushSteps, breakAfterTokens);
    }

    @Override
    public void onToken(Generation generation) {
        int tokens = generation.tokens();
        boolean due = tokens == 1 || tokens - sentTokens >= flushSteps || tokens >= breakAfterTokens;
        if (broken || !due || !generation.request().streaming()) {
            return;
        }
        sendTokens(generation, tokens);
        if (tokens >= breakAfterTokens) {
            broken = true;
            stream.breakOff();
        }
    }

    @Override
    public void onEnd(Generation generation) {
        if (broken) {
            return;
        }
        if (generation.state() == State.CANCELLED) {
            stream.breakOff();
            return;
        }
        if (generation.request().streaming()) {
            endStream(generation);
        } else {
            sendWhole(generation);
        }
    }

    private void endStream(Generation generation) {
        sendTokens(generation, generation.tokens());
        if (breakAfterTokens < Integer.MAX_VALUE) {
            stream.breakOff();
            return;
        }
        ObjectNode last = JSON.createObjectNode().put("id", answerId).put("object", "chat.completion.chunk");
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
                    .append(answerId)
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

    private void sendWhole(Generation generation) {
        ChatRequest request = generation.request();
        ObjectNode json = JSON.createObjectNode()
                .put("id", answerId)
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
        stream.announceLength(body.length);
        stream.append(java.util.Arrays.copyOf(body, body.length / 2));
        stream.breakOff();
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
