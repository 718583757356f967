package org.marjoramswitch.daemon.caller;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Fields of a chat completion's body that the router needs; the body is forwarded to the engine unchanged.
 *
 * @param maxTokens the caller's limit of output tokens; 0 if not given
 * @param prefixHash hash of the prompt's first characters; 0 if there is no text
 */
record ChatBody(String model, boolean stream, long maxTokens, long prefixHash) {
    private static final Set<String> LIMIT_FIELDS = Set.of("max_tokens", "max_completion_tokens");

    /** Parses the complete body, so that malformed bodies are not forwarded to engines. */
    static ChatBody parse(byte[] body) throws MalformedCallException {
        try (JsonParser parser = Json.MAPPER.createParser(body)) {
            return new Reader(parser).read();
        } catch (JsonProcessingException e) {
            throw new MalformedCallException("body is not JSON: " + messageOf(e) + locationOf(e));
        } catch (IOException e) {
            throw new MalformedCallException("body is not JSON: " + e.getMessage());
        }
    }

    /** The message without the parser's note about its source, which does not help the caller. */
    private static String messageOf(JsonProcessingException e) {
        String message = String.valueOf(e.getOriginalMessage());
        int noteStart = message.indexOf(" (start marker at");
        return noteStart < 0 ? message : message.substring(0, noteStart);
    }

    private static String locationOf(JsonProcessingException e) {
        return e.getLocation() == null
                ? ""
                : " at line " + e.getLocation().getLineNr() + " column "
                        + e.getLocation().getColumnNr();
    }

    /** Streaming parser; builds no tree. */
    private static final class Reader {
        private final JsonParser parser;
        private final PromptPrefix prefix = PromptPrefix.create();
        private @Nullable String model;
        private boolean stream;
        private long maxTokens;
        private boolean hasMessages;

        Reader(JsonParser parser) {
            this.parser = parser;
        }

        ChatBody read() throws IOException, MalformedCallException {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedCallException("$: an object is needed");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String field = parser.currentName();
                parser.nextToken();
                readField(field);
            }
            if (parser.nextToken() != null) {
                throw new MalformedCallException("$: there is more after the object");
            }
            return body();
        }

        private ChatBody body() throws MalformedCallException {
            if (model == null) {
                throw new MalformedCallException("$.model: is missing");
            }
            if (!hasMessages) {
                throw new MalformedCallException("$.messages: is missing");
            }
            return new ChatBody(model, stream, maxTokens, prefix.hash());
        }

        private void readField(String field) throws IOException, MalformedCallException {
            if (field.equals("model")) {
                expect(JsonToken.VALUE_STRING, "$.model: a string is needed");
                model = parser.getText();
            } else if (field.equals("stream")) {
                stream = readBoolean();
            } else if (LIMIT_FIELDS.contains(field)) {
                maxTokens = readLimit(field);
            } else if (field.equals("messages")) {
                readMessages();
            } else {
                parser.skipChildren();
            }
        }

        private boolean readBoolean() throws MalformedCallException {
            JsonToken token = parser.currentToken();
            if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE && token != JsonToken.VALUE_NULL) {
                throw new MalformedCallException("$.stream: true or false is needed");
            }
            return token == JsonToken.VALUE_TRUE;
        }

        private long readLimit(String field) throws IOException, MalformedCallException {
            if (parser.currentToken() == JsonToken.VALUE_NULL) {
                return maxTokens;
            }
            expect(JsonToken.VALUE_NUMBER_INT, "$." + field + ": a whole number is needed");
            long limit = parser.getLongValue();
            if (limit < 0) {
                throw new MalformedCallException("$." + field + ": must not be negative");
            }
            return limit;
        }

        private void readMessages() throws IOException, MalformedCallException {
            expect(JsonToken.START_ARRAY, "$.messages: an array is needed");
            hasMessages = true;
            int depth = 1;
            while (depth > 0) {
                JsonToken token = parser.nextToken();
                if (token == null) {
                    return; // the next read reports the missing end
                }
                depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
                if (token == JsonToken.VALUE_STRING && !prefix.isFull()) {
                    prefix.add(parser.getText());
                }
            }
        }

        private void expect(JsonToken token, String message) throws MalformedCallException {
            if (parser.currentToken() != token) {
                throw new MalformedCallException(message);
            }
        }
    }
}
