package org.marjoramswitch.kernel.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;

/**
 * Reads and writes JSON in a canonical form: sorted members, no white space, so that equal content has equal text.
 * Parsing rejects duplicate members and trailing text.
 */
final class CanonicalJson {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .build();

    private CanonicalJson() {}

    static JsonNode parse(String json) throws JsonProcessingException {
        return MAPPER.readTree(json);
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static String write(JsonNode node) {
        try {
            // ORDER_MAP_ENTRIES_BY_KEYS does not apply to a JsonNode, which keeps its insertion order.
            return MAPPER.writeValueAsString(MAPPER.treeToValue(node, Object.class));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
