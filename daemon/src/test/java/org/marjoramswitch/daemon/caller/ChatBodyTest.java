package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.testkit.engine.ModelEngine;

class ChatBodyTest {
    private static ChatBody parse(String text) throws MalformedCallException {
        return ChatBody.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsFieldsInAnyOrderAndIgnoresNestedOnes() throws Exception {
        ChatBody body = parse("{\"x\":{\"model\":\"no\",\"y\":[1,{}]},\"messages\":[],\"stream\":true,"
                + "\"max_completion_tokens\":7,\"model\":\"m\"}");
        assertEquals(new ChatBody("m", true, 7, 0), body);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[] | $: an object is needed",
                "{} | $.model: is missing",
                "{\"model\":\"m\"} | $.messages: is missing",
                "{\"model\":7} | $.model: a string is needed",
                "{\"messages\":{}} | $.messages: an array is needed",
                "{\"stream\":1} | $.stream: true or false is needed",
                "{\"max_tokens\":-1} | $.max_tokens: must not be negative",
                "{\"max_tokens\":1.5} | $.max_tokens: a whole number is needed",
                "{\"model\":\"m\",\"messages\":[]} 1 | $: there is more after the object"
            })
    void errorMessageNamesTheField(String text, String message) {
        assertEquals(
                message,
                assertThrows(MalformedCallException.class, () -> parse(text)).getMessage());
    }

    // The engine identifies a prefix in its cache events by a hash. If the router's hash differed, no event would
    // match a request, and only a lower cache hit rate would show it.
    @Test
    void routerAndEngineComputeTheSamePrefixHash() throws Exception {
        String text = "{\"model\":\"m\",\"max_tokens\":1,\"messages\":[{\"role\":\"system\",\"content\":\""
                + "Muster list é ".repeat(60) + "\"},{\"role\":\"user\",\"content\":\"hi\"}]}";
        HttpClient client = HttpClient.newHttpClient();
        try (ModelEngine engine =
                ModelEngine.start(EngineOptions.defaults().stepMs(1).cacheEvents(0, 0))) {
            URI base = URI.create("http://127.0.0.1:" + engine.port());
            HttpRequest chat = HttpRequest.newBuilder(base.resolve("/v1/chat/completions"))
                    .POST(HttpRequest.BodyPublishers.ofString(text))
                    .build();
            assertEquals(200, client.send(chat, BodyHandlers.ofString()).statusCode());
            HttpRequest events = HttpRequest.newBuilder(base.resolve("/v1/cache/events?after=0"))
                    .build();
            JsonNode published = Json.MAPPER.readTree(
                    client.send(events, BodyHandlers.ofString()).body());
            String prefix = published.at("/events/0/prefix").asText();
            assertEquals(prefix, Long.toHexString(parse(text).prefixHash()));
        }
    }
}
