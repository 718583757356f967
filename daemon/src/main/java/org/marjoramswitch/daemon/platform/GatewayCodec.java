package org.marjoramswitch.daemon.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.daemon.platform.KeyValueStore.Range;

/**
 * Encodes and decodes the JSON of etcd v3's gateway: Base64 keys and values, 64-bit numbers as strings, zeros omitted.
 */
final class GatewayCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private GatewayCodec() {}

    static JsonNode parse(byte[] body) throws IOException {
        return JSON.readTree(body);
    }

    static String keyRequest(String key) {
        return object().put("key", encode(key)).toString();
    }

    static String prefixRequest(String prefix) {
        return object().put("key", encode(prefix))
                .put("range_end", encode(prefixEnd(prefix)))
                .toString();
    }

    static String compareAndSwapRequest(
            Map<String, Long> expectedModRevisions, Map<String, String> puts, List<String> deletes, long leaseId) {
        ObjectNode body = object();
        ArrayNode compares = body.putArray("compare");
        expectedModRevisions.forEach((key, revision) -> compares.add(modRevisionIs(key, revision)));
        ArrayNode operations = body.putArray("success");
        puts.forEach((key, value) -> operations.add(put(key, value, leaseId)));
        deletes.forEach(
                key -> operations.addObject().putObject("request_delete_range").put("key", encode(key)));
        return body.toString();
    }

    /** A transaction with a nested one per key, which creates the key if it does not exist and reads it if it does. */
    static String createEachRequest(Map<String, String> entries, long leaseId) {
        ObjectNode body = object();
        ArrayNode operations = body.putArray("success");
        entries.forEach((key, value) -> {
            ObjectNode nested = operations.addObject().putObject("request_txn");
            nested.putArray("compare").add(modRevisionIs(key, 0));
            nested.putArray("success").add(put(key, value, leaseId));
            nested.putArray("failure").addObject().putObject("request_range").put("key", encode(key));
        });
        return body.toString();
    }

    static String grantRequest(long ttlSeconds) {
        return object().put("TTL", Long.toString(ttlSeconds)).put("ID", "0").toString();
    }

    static String leaseRequest(long leaseId) {
        return object().put("ID", Long.toString(leaseId)).toString();
    }

    static String watchRequest(String prefix, long startRevision) {
        ObjectNode create = object().put("key", encode(prefix))
                .put("range_end", encode(prefixEnd(prefix)))
                .put("start_revision", Long.toString(startRevision))
                .put("progress_notify", true);
        ObjectNode body = object();
        body.set("create_request", create);
        return body.toString();
    }

    static long revision(JsonNode body) {
        return body.path("header").path("revision").asLong();
    }

    static Range range(JsonNode body) {
        List<Entry> entries = new ArrayList<>();
        body.path("kvs").forEach(kv -> entries.add(entry(kv)));
        return new Range(entries, revision(body));
    }

    static @Nullable Entry firstEntry(JsonNode body) {
        JsonNode first = body.path("kvs").path(0);
        return first.isMissingNode() ? null : entry(first);
    }

    /** For each key of a {@link #createEachRequest}, in order, the existing entry, or null if the key was created. */
    static List<@Nullable Entry> createEachResult(JsonNode body) {
        List<@Nullable Entry> existing = new ArrayList<>();
        for (JsonNode response : body.path("responses")) {
            JsonNode nested = response.path("response_txn");
            boolean created = nested.path("succeeded").asBoolean();
            existing.add(
                    created ? null : firstEntry(nested.path("responses").path(0).path("response_range")));
        }
        return existing;
    }

    static Entry entry(JsonNode kv) {
        return new Entry(
                decode(kv.path("key")),
                decode(kv.path("value")),
                kv.path("create_revision").asLong(),
                kv.path("mod_revision").asLong(),
                kv.path("version").asLong(),
                kv.path("lease").asLong());
    }

    /** The message of an error body, or a placeholder if it has none. */
    static String errorMessage(byte[] body) {
        try {
            JsonNode message = JSON.readTree(body).path("message");
            if (message.isTextual()) {
                return message.asText();
            }
        } catch (IOException e) {
            return "unreadable answer";
        }
        return "no message";
    }

    private static ObjectNode modRevisionIs(String key, long revision) {
        return object().put("key", encode(key))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(revision));
    }

    private static ObjectNode put(String key, String value, long leaseId) {
        ObjectNode operation = object();
        operation
                .putObject("request_put")
                .put("key", encode(key))
                .put("value", encode(value))
                .put("lease", Long.toString(leaseId));
        return operation;
    }

    private static String encode(String text) {
        return encode(text.getBytes(UTF_8));
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    private static String decode(JsonNode field) {
        return new String(Base64.getDecoder().decode(field.asText("")), UTF_8);
    }

    /**
     * The first key after all keys with the prefix; for the empty prefix a single zero byte, which means no upper
     * bound.
     */
    private static byte[] prefixEnd(String prefix) {
        byte[] end = prefix.getBytes(UTF_8);
        for (int last = end.length - 1; last >= 0; last--) {
            if (end[last] != (byte) 0xff) {
                end[last]++;
                return Arrays.copyOf(end, last + 1);
            }
        }
        return new byte[] {0};
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }
}
