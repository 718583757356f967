package org.marjoramswitch.testkit.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** HTTP status and JSON body of the gateway's response to one call. */
record GatewayReply(int status, ObjectNode body) {
    private static final int INVALID_ARGUMENT = 3;
    private static final int NOT_FOUND = 5;
    private static final int RESOURCE_EXHAUSTED = 8;
    private static final int UNAVAILABLE = 14;

    static GatewayReply ok(ObjectNode body) {
        return new GatewayReply(200, body);
    }

    static GatewayReply invalid(String message) {
        return error(400, INVALID_ARGUMENT, message);
    }

    static GatewayReply leaseNotFound() {
        return error(404, NOT_FOUND, "etcdserver: requested lease not found");
    }

    static GatewayReply tooManyRequests() {
        return error(429, RESOURCE_EXHAUSTED, "etcdserver: too many requests");
    }

    static GatewayReply unavailable() {
        return error(503, UNAVAILABLE, "etcdserver: request timed out");
    }

    private static GatewayReply error(int status, int code, String message) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("error", message).put("code", code).put("message", message);
        return new GatewayReply(status, body);
    }
}
