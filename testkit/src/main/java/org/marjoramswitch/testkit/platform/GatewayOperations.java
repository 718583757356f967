package org.marjoramswitch.testkit.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Executes the gateway's JSON requests on the table and builds responses in the format of etcd's gateway. */
final class GatewayOperations {
    private static final int MAX_TXN_OPERATIONS = 128;

    private final KeyValueTable table;

    private GatewayOperations(KeyValueTable table) {
        this.table = table;
    }

    static GatewayOperations on(KeyValueTable table) {
        return new GatewayOperations(table);
    }

    GatewayReply range(JsonNode request) {
        return GatewayReply.ok(rangeBody(request));
    }

    GatewayReply put(JsonNode request) {
        if (unknownLease(request)) {
            return GatewayReply.leaseNotFound();
        }
        ObjectNode body = putBody(request);
        table.commit();
        return GatewayReply.ok(withHeader(body));
    }

    GatewayReply deleteRange(JsonNode request) {
        ObjectNode body = deleteBody(request);
        table.commit();
        return GatewayReply.ok(withHeader(body));
    }

    GatewayReply txn(JsonNode request) {
        GatewayReply error = checkTxn(request, new HashSet<>());
        if (error != null) {
            return error;
        }
        ObjectNode body = txnBody(request);
        table.commit();
        return GatewayReply.ok(withHeader(body));
    }

    GatewayReply grant(JsonNode request, long nowMs) {
        long ttlSeconds = request.path("TTL").asLong();
        if (ttlSeconds <= 0) {
            return GatewayReply.invalid("etcdserver: too small lease TTL");
        }
        long id = table.grant(request.path("ID").asLong(), ttlSeconds, nowMs);
        return GatewayReply.ok(withHeader(object().put("ID", Long.toString(id)).put("TTL", Long.toString(ttlSeconds))));
    }

    GatewayReply keepAlive(JsonNode request, long nowMs) {
        long id = request.path("ID").asLong();
        long ttlSeconds = table.renew(id, nowMs);
        ObjectNode result = withHeader(object().put("ID", Long.toString(id)));
        if (ttlSeconds > 0) {
            result.put("TTL", Long.toString(ttlSeconds));
        }
        ObjectNode body = object();
        body.set("result", result);
        return GatewayReply.ok(body);
    }

    GatewayReply revoke(JsonNode request) {
        return table.revoke(request.path("ID").asLong())
                ? GatewayReply.ok(withHeader(object()))
                : GatewayReply.leaseNotFound();
    }

    ObjectNode withHeader(ObjectNode body) {
        body.set(
                "header",
                object().put("cluster_id", "1")
                        .put("member_id", "1")
                        .put("revision", Long.toString(table.revision()))
                        .put("raft_term", "1"));
        return body;
    }

    static ObjectNode entryBody(StoredEntry entry) {
        ObjectNode body = object().put("key", encode(entry.key()));
        if (!entry.value().isEmpty()) {
            body.put("value", encode(entry.value()));
        }
        putNonZero(body, "create_revision", entry.createRevision());
        putNonZero(body, "mod_revision", entry.modRevision());
        putNonZero(body, "version", entry.version());
        putNonZero(body, "lease", entry.leaseId());
        return body;
    }

    static String decode(JsonNode field) {
        return new String(Base64.getDecoder().decode(field.asText("")), ISO_8859_1);
    }

    private static String encode(String bytes) {
        return Base64.getEncoder().encodeToString(bytes.getBytes(ISO_8859_1));
    }

    private boolean unknownLease(JsonNode put) {
        long leaseId = put.path("lease").asLong();
        return leaseId != 0 && !table.hasLease(leaseId);
    }

    private @Nullable GatewayReply checkTxn(JsonNode txn, Set<String> putKeys) {
        if (txn.path("success").size() > MAX_TXN_OPERATIONS
                || txn.path("failure").size() > MAX_TXN_OPERATIONS
                || txn.path("compare").size() > MAX_TXN_OPERATIONS) {
            return GatewayReply.invalid("etcdserver: too many operations in txn request");
        }
        for (String branch : new String[] {"success", "failure"}) {
            for (JsonNode operation : txn.path(branch)) {
                GatewayReply error = checkOperation(operation, putKeys);
                if (error != null) {
                    return error;
                }
            }
        }
        return null;
    }

    private @Nullable GatewayReply checkOperation(JsonNode operation, Set<String> putKeys) {
        JsonNode nested = operation.path("request_txn");
        if (!nested.isMissingNode()) {
            return checkTxn(nested, putKeys);
        }
        JsonNode put = operation.path("request_put");
        if (put.isMissingNode()) {
            return null;
        }
        if (!putKeys.add(put.path("key").asText())) {
            return GatewayReply.invalid("etcdserver: duplicate key given in txn request");
        }
        return unknownLease(put) ? GatewayReply.leaseNotFound() : null;
    }

    private ObjectNode txnBody(JsonNode txn) {
        boolean succeeded = true;
        for (JsonNode compare : txn.path("compare")) {
            succeeded &= isSatisfied(compare);
        }
        ObjectNode body = object();
        if (succeeded) {
            body.put("succeeded", true);
        }
        ArrayNode responses = body.putArray("responses");
        for (JsonNode operation : txn.path(succeeded ? "success" : "failure")) {
            responses.add(execute(operation));
        }
        return body;
    }

    private ObjectNode execute(JsonNode operation) {
        ObjectNode response = object();
        if (operation.has("request_put")) {
            response.set("response_put", putBody(operation.path("request_put")));
        } else if (operation.has("request_delete_range")) {
            response.set("response_delete_range", deleteBody(operation.path("request_delete_range")));
        } else if (operation.has("request_txn")) {
            response.set("response_txn", txnBody(operation.path("request_txn")));
        } else {
            response.set("response_range", rangeBody(operation.path("request_range")));
        }
        return response;
    }

    private boolean isSatisfied(JsonNode compare) {
        StoredEntry entry = table.get(decode(compare.path("key")));
        int order =
                switch (compare.path("target").asText("VERSION")) {
                    case "CREATE" ->
                        Long.compare(
                                entry == null ? 0 : entry.createRevision(),
                                compare.path("create_revision").asLong());
                    case "MOD" ->
                        Long.compare(
                                entry == null ? 0 : entry.modRevision(),
                                compare.path("mod_revision").asLong());
                    case "VALUE" -> entry == null ? -1 : entry.value().compareTo(decode(compare.path("value")));
                    case "LEASE" ->
                        Long.compare(
                                entry == null ? 0 : entry.leaseId(),
                                compare.path("lease").asLong());
                    default ->
                        Long.compare(
                                entry == null ? 0 : entry.version(),
                                compare.path("version").asLong());
                };
        return switch (compare.path("result").asText("EQUAL")) {
            case "GREATER" -> order > 0;
            case "LESS" -> order < 0;
            case "NOT_EQUAL" -> order != 0;
            default -> order == 0;
        };
    }

    private ObjectNode rangeBody(JsonNode request) {
        ObjectNode body = withHeader(object());
        ArrayNode entries = JsonNodeFactory.instance.arrayNode();
        for (StoredEntry entry : table.range(decode(request.path("key")), decode(request.path("range_end")))) {
            entries.add(entryBody(entry));
        }
        if (!entries.isEmpty()) {
            body.set("kvs", entries);
            body.put("count", Integer.toString(entries.size()));
        }
        return body;
    }

    private ObjectNode putBody(JsonNode request) {
        table.put(
                decode(request.path("key")),
                decode(request.path("value")),
                request.path("lease").asLong());
        return object();
    }

    private ObjectNode deleteBody(JsonNode request) {
        int deleted = table.delete(decode(request.path("key")), decode(request.path("range_end")));
        ObjectNode body = object();
        putNonZero(body, "deleted", deleted);
        return body;
    }

    private static void putNonZero(ObjectNode body, String field, long value) {
        if (value != 0) {
            body.put(field, Long.toString(value));
        }
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }
}
